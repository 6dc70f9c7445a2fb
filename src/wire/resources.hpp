// Amounts of CPU, GPU and memory, used for the demand of a task and the capacity of a machine.
#pragma once

namespace dockdyke::wire {

struct Resources {
  double cpus = 0;  // virtual CPUs
  double gpus = 0;
  double memory_gb = 0;

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  friend Resources operator*(Resources resources, double count) {
    return {resources.cpus * count, resources.gpus * count, resources.memory_gb * count};
  }

  // Returns whether each amount is at most that of `capacity`, with a tolerance for rounding errors.
  bool fits_into(const Resources& capacity) const;
};

}  // namespace dockdyke::wire
