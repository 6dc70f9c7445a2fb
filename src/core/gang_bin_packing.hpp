// Selects machines that together have capacity for all tasks of a gang.
#pragma once

#include <cstddef>
#include <vector>

#include "core/machine.hpp"

namespace dockdyke::core {

// A machine with capacity for some of the gang's tasks.
struct GangCandidate {
  Machine* machine = nullptr;
  double start_delay_s = 0;       // until a task could start there
  double cost = 0;                // by `PlacementCost`
  std::size_t task_capacity = 0;  // number of the gang's tasks that fit
};

// The number of the gang's tasks placed on a machine.
struct MachineTasks {
  Machine* machine = nullptr;
  std::size_t tasks = 0;
};

// Ranks placements by these fields in their order; the smallest is the best. The gang starts after the
// longest start delay, and the fewer its machines, the sooner all of them have confirmed the start.
struct GangPlacementRank {
  double start_delay_s = 0;
  std::size_t machines = 0;
  double cost = 0;
  auto operator<=>(const GangPlacementRank&) const = default;
};

struct GangPlacement {
  std::vector<MachineTasks> machine_tasks;  // empty if the gang does not fit
  GangPlacementRank rank;
};

// Fills the best candidates first, with at most `max_tasks_per_zone` tasks in each zone. Returns an empty
// placement if not all tasks fit.
GangPlacement choose_machines(std::vector<GangCandidate> candidates, std::size_t tasks,
                              std::size_t max_tasks_per_zone);

}  // namespace dockdyke::core
