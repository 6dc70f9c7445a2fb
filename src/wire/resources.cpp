#include "wire/resources.hpp"

namespace dockdyke::wire {

namespace {

// Much smaller than any real amount, much larger than the rounding error of summed doubles.
constexpr double kRoundingTolerance = 1e-6;

bool fits(double amount, double capacity) {
  return amount <= capacity + kRoundingTolerance;
}

}  // namespace

Resources& Resources::operator+=(const Resources& other) {
  cpus += other.cpus;
  gpus += other.gpus;
  memory_gb += other.memory_gb;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  cpus -= other.cpus;
  gpus -= other.gpus;
  memory_gb -= other.memory_gb;
  return *this;
}

bool Resources::fits_into(const Resources& capacity) const {
  return fits(cpus, capacity.cpus) && fits(gpus, capacity.gpus) && fits(memory_gb, capacity.memory_gb);
}

}  // namespace dockdyke::wire
