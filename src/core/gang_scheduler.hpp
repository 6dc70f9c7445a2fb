// Gang scheduling: all tasks of a gang are assigned at once or none, under one attempt number.
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

class GangScheduler {
 public:
  GangScheduler(ClusterState& state, const SchedulingConstraints& constraints, JobQueue& queue,
                GangRecords& records, TaskLifecycle& lifecycle);

  // Assigns all tasks of the gang to some of these machines. Returns whether they fit.
  bool assign(Job& job, const std::vector<Machine*>& machines, Time now);
  // Gangs that have waited long enough are assigned also to machines that await no response at the moment.
  void assign_to_any_machines(Time now);
  // Aborts attempts whose tasks have not all been observed in time: those that have begun to wait give up
  // after `gang_assembly_timeout_s`.
  void abort_incomplete_attempts(Time now);

 private:
  std::vector<GangShare> choose(const Job& job, const std::vector<Machine*>& machines, Time now);
  // Begins a new attempt with these shares.
  void begin_attempt(Job& job, const std::vector<GangShare>& shares, Time now);
  void abort_if_incomplete(Job& job, Time now);

  ClusterState& state_;
  const SchedulingConstraints& constraints_;
  PlacementCost cost_;
  JobQueue& queue_;
  GangRecords& records_;
  TaskLifecycle& lifecycle_;
};

// All machines that accept work now, by id.
std::vector<Machine*> machines_accepting_work(ClusterState& state, const SchedulingConstraints& constraints,
                                              Time now);

}  // namespace dockdyke::core
