// Cost model that ranks the machines on which a task fits.
#pragma once

#include <optional>

#include "core/cluster_state.hpp"
#include "core/scheduling_constraints.hpp"

namespace dockdyke::core {

// Computes the cost of running a task on a machine, for bin packing. All terms are expressed in seconds of
// the task's time, so that they can be compared with the time to fetch an image.
class PlacementCost {
 public:
  PlacementCost(const ClusterState& state, const SchedulingConstraints& constraints);

  // Returns the cost of running a task of the job on the machine, or std::nullopt if none can run there now.
  // `largest_cpus` is `ClusterState::largest_cpus()`.
  std::optional<double> compute(const Job& job, const Machine& machine, double largest_cpus) const;
  // Returns the seconds that the machine takes to fetch the job's image. The machine's type must be known.
  double image_fetch_s(const Job& job, const Machine& machine) const;

 private:
  const ClusterState& state_;
  const SchedulingConstraints& constraints_;
};

}  // namespace dockdyke::core
