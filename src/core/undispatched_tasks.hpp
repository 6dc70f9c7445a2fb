// Tasks that are assigned to a machine, but whose start command has not been sent.
#pragma once

#include "core/cluster_state.hpp"
#include "core/scheduling_constraints.hpp"
#include "core/time.hpp"
#include "core/views.hpp"

namespace dockdyke::core {

class UndispatchedTasks {
 public:
  UndispatchedTasks(const ClusterState& state, const SchedulingConstraints& constraints);

  // Returns how many there are, why they are not dispatched, and which of them has waited longest.
  UndispatchedSummary summary(Time now) const;

 private:
  const ClusterState& state_;
  const SchedulingConstraints& constraints_;
};

}  // namespace dockdyke::core
