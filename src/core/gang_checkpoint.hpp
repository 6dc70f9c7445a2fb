// Coordinated checkpoints: a gang saves its progress only if all its tasks are told to at nearly the same
// time.
#pragma once

#include "core/cluster_state.hpp"
#include "core/effects.hpp"
#include "core/scheduling_constraints.hpp"
#include "core/task_lifecycle.hpp"
#include "core/time.hpp"

namespace dockdyke::core {

class GangCheckpoint {
 public:
  GangCheckpoint(const ClusterState& state, const SchedulingConstraints& constraints,
                 TaskLifecycle& lifecycle, EffectQueue& effects);

  // One of the gang's machines is taken back in `left_s`: lets it end, saves and stops all its tasks, or
  // aborts it.
  void handle_termination_notice(Job& job, double left_s, Time now);

 private:
  // Whether all its tasks run where they can be told to save now, and more would be lost otherwise.
  bool can_save(const Job& job, Time now) const;
  // Tells all tasks to save and to end.
  void save_and_stop(Job& job);

  const ClusterState& state_;
  const SchedulingConstraints& constraints_;
  TaskLifecycle& lifecycle_;
  EffectQueue& effects_;
};

}  // namespace dockdyke::core
