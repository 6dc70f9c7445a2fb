// Assigns waiting tasks to machines.
//
// Commands travel only in responses to heartbeats, so a task is assigned to a machine when that machine
// awaits a response and not before: on any other it would wait up to a heartbeat interval, while others
// become free.
#pragma once

#include <cstddef>
#include <vector>

#include "core/cluster_state.hpp"
#include "core/gang_scheduler.hpp"
#include "core/job_queue.hpp"
#include "core/placement_cost.hpp"
#include "core/scarce_types.hpp"
#include "core/scheduling_constraints.hpp"
#include "core/task_log.hpp"
#include "core/time.hpp"

namespace dockdyke::core {

class TaskPlacer {
 public:
  TaskPlacer(ClusterState& state, const SchedulingConstraints& constraints, JobQueue& queue,
             TaskLog& task_log, const ScarceTypes& scarce_types, GangScheduler& gang_scheduler);

  // One pass over the queue, where one was requested. Ends after `kMaxAssignmentsPerPass` assignments; the
  // rest follows with the next pass.
  void assign_tasks(Time now);

 private:
  struct Candidate {
    double cost = 0;
    Machine* machine = nullptr;
  };
  // Machines that may take work in this pass.
  struct Pass {
    std::vector<Machine*> machines;
    std::vector<wire::Resources> largest_free;  // by machine type
    wire::Resources smallest_task;              // of the waiting jobs
    std::size_t assigned = 0;
  };

  Pass begin_pass(const std::vector<QueuedJob>& queue, Time now);
  // Goes through the queue. With `any_image`, jobs may also use machines that lack their image.
  void serve_queue(const std::vector<QueuedJob>& queue, Pass& pass, bool any_image, Time now);
  bool may_fit(const Job& job, const Pass& pass) const;
  // Assigns as many of the job's tasks as possible, at most `limit`; returns how many.
  std::size_t assign_job(const QueuedJob& queued, const std::vector<Machine*>& machines, bool any_image,
                         std::size_t limit, Time now);
  std::vector<Candidate> find_candidates(const QueuedJob& queued, const std::vector<Machine*>& machines,
                                         bool any_image, Time now);
  void assign_next_task(Job& job, Machine& machine, Time now);

  ClusterState& state_;
  const SchedulingConstraints& constraints_;
  PlacementCost cost_;
  JobQueue& queue_;
  TaskLog& task_log_;
  const ScarceTypes& scarce_types_;
  GangScheduler& gang_scheduler_;
};

}  // namespace dockdyke::core
