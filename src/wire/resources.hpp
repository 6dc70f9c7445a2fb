// Amounts of CPU, GPU and memory: what a task takes and what a machine has.
#pragma once

namespace dockdyke::wire {

struct Resources {
  double cpus = 0;  // virtual CPUs
  double gpus = 0;
  double memory_gb = 0;

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  friend Resources operator*(Resources each, double count) {
    return {each.cpus * count, each.gpus * count, each.memory_gb * count};
  }

  // Whether each amount is at most that of `capacity`, up to the rounding error of summed decimals.
  bool fits_into(const Resources& capacity) const;
};

}  // namespace dockdyke::wire
