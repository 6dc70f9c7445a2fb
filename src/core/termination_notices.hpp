// Handles termination notices: stops tasks on machines that the cloud will reclaim.
#pragma once

#include "core/cluster_state.hpp"
#include "core/gang_checkpoint.hpp"
#include "core/time.hpp"

namespace dockdyke::core {

class TerminationNotices {
 public:
  TerminationNotices(const ClusterState& state, GangCheckpoint& gang_checkpoint);

  // Stops the tasks that cannot end before the machine terminates, early enough to write a checkpoint. Does
  // nothing if the machine has no termination notice.
  void apply(Machine& machine, Time now);

 private:
  // Stops a task with checkpoints when the last chance to write one comes, and any other task at once if it
  // cannot end within `time_left_s`.
  void stop_if_due(const AssignedTask& task, double time_left_s, Time now);

  const ClusterState& state_;
  GangCheckpoint& gang_checkpoint_;
};

}  // namespace dockdyke::core
