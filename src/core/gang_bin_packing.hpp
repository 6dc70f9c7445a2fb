// Chooses machines that together hold all tasks of a gang.
#pragma once

#include <cstddef>
#include <vector>

#include "core/machine.hpp"

namespace dockdyke::core {

// A machine with capacity for some of the gang's tasks.
struct GangCandidate {
  Machine* machine = nullptr;
  double fetch_s = 0;    // until a task could start there
  double cost = 0;       // by `PlacementCost`
  std::size_t fits = 0;  // tasks
};

// So many tasks of the gang on this machine.
struct GangShare {
  Machine* machine = nullptr;
  std::size_t tasks = 0;
};

// How good a choice is: the gang starts when the slowest fetch is over, and the fewer machines have to be
// heard from the sooner. Smaller is better, in the order of the fields.
struct GangChoiceRank {
  double slowest_fetch_s = 0;
  std::size_t machines = 0;
  double cost = 0;
  auto operator<=>(const GangChoiceRank&) const = default;
};

struct GangChoice {
  std::vector<GangShare> shares;  // empty: the gang does not fit
  GangChoiceRank rank;
};

// Fills the best candidates first, with at most `most_per_zone` tasks in any zone.
GangChoice choose_machines(std::vector<GangCandidate> candidates, std::size_t tasks,
                           std::size_t most_per_zone);

}  // namespace dockdyke::core
