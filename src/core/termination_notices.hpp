// Tasks on machines that the cloud has announced to take back.
#pragma once

#include "core/cluster_state.hpp"
#include "core/gang_checkpoint.hpp"
#include "core/task_lifecycle.hpp"
#include "core/time.hpp"

namespace dockdyke::core {

class TerminationNotices {
 public:
  TerminationNotices(const ClusterState& state, TaskLifecycle& lifecycle, GangCheckpoint& gang_checkpoint);

  // Stops tasks that cannot end in time, in time to save their progress. Nothing where the machine has no
  // notice.
  void apply(Machine& machine, Time now);

 private:
  void stop_if_due(const AssignedTask& task, double left_s, Time now);

  const ClusterState& state_;
  TaskLifecycle& lifecycle_;
  GangCheckpoint& gang_checkpoint_;
};

}  // namespace dockdyke::core
