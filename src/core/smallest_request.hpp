// The smallest amounts that any of several tasks needs.
#pragma once

#include <algorithm>
#include <limits>

#include "wire/messages.hpp"

namespace dockdyke::core {

// Larger than any machine until a task is added.
class SmallestRequest {
 public:
  void add(const wire::Resources& task) {
    least_ = {std::min(least_.cpus, task.cpus), 0, std::min(least_.memory_gb, task.memory_gb)};
  }
  const wire::Resources& size() const { return least_; }

 private:
  wire::Resources least_{std::numeric_limits<double>::max(), 0, std::numeric_limits<double>::max()};
};

}  // namespace dockdyke::core
