// Tasks that are assigned to a machine, but whose start command has not been sent. No worker can have them,
// so they may be assigned to another machine at once.
#pragma once

#include "core/cluster_state.hpp"
#include "core/scheduling_constraints.hpp"
#include "core/task_lifecycle.hpp"
#include "core/time.hpp"
#include "core/views.hpp"

namespace dockdyke::core {

class UndispatchedTasks {
 public:
  UndispatchedTasks(const ClusterState& state, const SchedulingConstraints& constraints,
                    TaskLifecycle& lifecycle);

  // Releases the machine's undispatched tasks if it gets no start commands any more. To be called whenever
  // this may have changed, and periodically, since a machine becomes unresponsive by the passage of time.
  void release_if_obstructed(Machine& machine, Time now);
  // Returns how many there are, why they are not dispatched, and which of them has waited longest.
  UndispatchedSummary summary(Time now) const;

 private:
  const ClusterState& state_;
  const SchedulingConstraints& constraints_;
  TaskLifecycle& lifecycle_;
};

}  // namespace dockdyke::core
