// Assigns waiting tasks to machines.
//
// Commands travel only in responses to heartbeats, so tasks are assigned only to machines that await a
// response. On any other machine a task would wait for up to a heartbeat interval before it starts.
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

// Assigns tasks of the waiting jobs in queue order, each to the machine with the lowest cost.
class TaskPlacer {
 public:
  TaskPlacer(ClusterState& state, const SchedulingConstraints& constraints, JobQueue& queue,
             TaskLog& task_log, const ScarceTypes& scarce_types, GangScheduler& gang_scheduler);

  // Runs one pass over the queue if one was requested. A pass ends after `kMaxAssignmentsPerPass` assignments
  // and then requests the next one.
  void assign_tasks(Time now);

 private:
  struct Candidate {
    double cost = 0;
    Machine* machine = nullptr;
  };
  // State of one pass over the queue.
  struct Pass {
    std::vector<Machine*> machines;          // that await a response and accept work
    std::vector<FreeCapacity> largest_free;  // by machine type
    wire::Resources smallest_task;           // smallest amounts that a waiting task requests
    std::size_t assigned = 0;                // tasks
  };

  Pass begin_pass(const std::vector<QueuedJob>& queue, Time now);
  // Assigns tasks of all waiting jobs. Jobs may use machines that lack their image only with
  // `allow_image_fetch`, or if they cannot wait for a machine that has it.
  void process_queue(const std::vector<QueuedJob>& queue, Pass& pass, bool allow_image_fetch, Time now);
  // Returns whether a task of the job fits into the largest free capacity of some machine type in this pass.
  bool may_fit(const Job& job, const Pass& pass) const;
  // Assigns as many of the job's tasks as possible, at most `limit`. Returns the number of assigned tasks.
  std::size_t assign_job(const QueuedJob& queued, const std::vector<Machine*>& machines,
                         bool allow_image_fetch, std::size_t limit, Time now);
  // Returns the machines on which a task of the job can start, in ascending order of cost.
  std::vector<Candidate> find_candidates(const QueuedJob& queued, const std::vector<Machine*>& machines,
                                         bool allow_image_fetch, Time now);
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
