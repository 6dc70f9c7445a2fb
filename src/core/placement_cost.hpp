// How well a machine suits a task: bin packing by cost, all in seconds of a task's time so that unlike things
// can be weighed against an image fetch.
#pragma once

#include <optional>

#include "core/cluster_state.hpp"
#include "core/scheduling_constraints.hpp"

namespace dockdyke::core {

class PlacementCost {
 public:
  PlacementCost(const ClusterState& state, const SchedulingConstraints& constraints);

  // Nothing where a task of the job can't run there now. `largest_cpus` is that of `ClusterState`.
  std::optional<double> of(const Job& job, const Machine& machine, double largest_cpus) const;
  // Seconds that the machine takes to fetch the job's image. The machine's type must be known.
  double fetch_s(const Job& job, const Machine& machine) const;

 private:
  const ClusterState& state_;
  const SchedulingConstraints& constraints_;
};

}  // namespace dockdyke::core
