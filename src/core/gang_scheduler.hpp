// Gang scheduling: all tasks of a gang are assigned together or not at all, under one attempt number.
#pragma once

#include <vector>

#include "core/cluster_state.hpp"
#include "core/gang_bin_packing.hpp"
#include "core/gang_records.hpp"
#include "core/job_queue.hpp"
#include "core/placement_cost.hpp"
#include "core/scheduling_constraints.hpp"
#include "core/task_lifecycle.hpp"
#include "core/time.hpp"

namespace dockdyke::core {

// Assigns gangs to machines and aborts attempts that are not assembled in time.
class GangScheduler {
 public:
  GangScheduler(ClusterState& state, const SchedulingConstraints& constraints, JobQueue& queue,
                GangRecords& records, TaskLifecycle& lifecycle);

  // Assigns all tasks of the gang to some of these machines. Returns whether they fit.
  bool assign(Job& job, const std::vector<Machine*>& machines, Time now);
  // Assigns gangs that have waited for a while to any machines that accept work, including those that do not
  // await a response at the moment.
  void assign_to_any_machines(Time now);
  // Aborts attempts whose tasks have not all been observed well before `gang_assembly_timeout_s`, after which
  // workers end the tasks of an incomplete gang.
  void abort_incomplete_attempts(Time now);

 private:
  // Returns the best placement of all tasks, or an empty one if they do not fit.
  std::vector<MachineTasks> choose_placement(const Job& job, const std::vector<Machine*>& machines, Time now);
  void begin_attempt(Job& job, const std::vector<MachineTasks>& placement, Time now);
  void abort_if_incomplete(Job& job, Time now);

  ClusterState& state_;
  const SchedulingConstraints& constraints_;
  PlacementCost cost_;
  JobQueue& queue_;
  GangRecords& records_;
  TaskLifecycle& lifecycle_;
};

// Returns all machines that accept work now, ordered by id.
std::vector<Machine*> machines_accepting_work(ClusterState& state, const SchedulingConstraints& constraints,
                                              Time now);

}  // namespace dockdyke::core
