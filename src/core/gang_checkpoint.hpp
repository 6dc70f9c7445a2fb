// Coordinated checkpoints of gangs: a checkpoint is valid only if all tasks of the gang receive the stop
// command at nearly the same time.
#pragma once

#include "core/cluster_state.hpp"
#include "core/effects.hpp"
#include "core/scheduling_constraints.hpp"
#include "core/task_lifecycle.hpp"
#include "core/time.hpp"

namespace dockdyke::core {

// Decides what happens to a gang when one of its machines receives a termination notice.
class GangCheckpoint {
 public:
  GangCheckpoint(const ClusterState& state, const SchedulingConstraints& constraints,
                 TaskLifecycle& lifecycle, EffectQueue& effects);

  // Handles a termination notice for one of the gang's machines, which is reclaimed in `time_left_s`: lets
  // the gang complete, makes it write a checkpoint and stop, or aborts it.
  void handle_termination_notice(Job& job, double time_left_s, Time now);

 private:
  // Returns whether all tasks are running on reachable machines, and a checkpoint takes less time than the
  // progress that would be lost without it.
  bool should_checkpoint(const Job& job, Time now) const;
  // Stops all tasks with a grace period for writing a checkpoint.
  void checkpoint_and_stop(Job& job);

  const ClusterState& state_;
  const SchedulingConstraints& constraints_;
  TaskLifecycle& lifecycle_;
  EffectQueue& effects_;
};

}  // namespace dockdyke::core
