// How many tasks fit into free room.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "constants.hpp"
#include "wire/messages.hpp"

namespace dockdyke::core {

// How many tasks of this size fit into this room, at most `kDemandTasks`.
inline std::size_t tasks_fitting(const wire::Resources& each, const wire::Resources& room) {
  constexpr double kRounding = 1e-6;
  double count = constants::kMaxDemandTasks;
  const auto bound = [&](double need, double have) {
    if (need > 0) count = std::min(count, std::floor(std::max(0.0, have + kRounding) / need));
  };
  bound(each.cpus, room.cpus);
  bound(each.gpus, room.gpus);
  bound(each.memory_gb, room.memory_gb);
  return static_cast<std::size_t>(count);
}

}  // namespace dockdyke::core
