// Minimum resource request over several tasks.
#pragma once

#include <algorithm>
#include <limits>

#include "wire/messages.hpp"

namespace dockdyke::core {

// Computes the minimum of the tasks' CPUs and, separately, of their memory. GPUs are ignored (always 0).
// Without any task the result fits on no machine.
class SmallestRequest {
 public:
  void add(const wire::Resources& task) {
    minimum_ = {std::min(minimum_.cpus, task.cpus), 0, std::min(minimum_.memory_gb, task.memory_gb)};
  }
  const wire::Resources& resources() const { return minimum_; }

 private:
  wire::Resources minimum_{std::numeric_limits<double>::max(), 0, std::numeric_limits<double>::max()};
};

}  // namespace dockdyke::core
