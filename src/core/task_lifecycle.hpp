// Ends assignments, jobs, machines and gang attempts. Returns released tasks to the queue, and requests the
// writes and key deletions that follow.
#pragma once

#include <cstdint>
#include <vector>

#include "core/cancellation_tracker.hpp"
#include "core/cluster_state.hpp"
#include "core/effects.hpp"
#include "core/job_queue.hpp"
#include "core/task_log.hpp"
#include "core/time.hpp"

namespace dockdyke::core {

class TaskLifecycle {
 public:
  TaskLifecycle(ClusterState& state, JobQueue& queue, TaskLog& task_log, CancellationTracker& cancellations,
                EffectQueue& effects);

  // Releases the assignment of a task that is confirmed ended or whose start command was never sent. The task
  // waits for another assignment unless it is done or its job is cancelled.
  void release(Job& job, TaskIndex index, Time now);
  // Calls `release` and `remove_if_finished`. The job may be invalid afterwards.
  void release_and_remove_if_finished(const AssignedTask& task, Time now);
  // Releases all assignments of a machine on which every task is confirmed ended.
  void release_all(Machine& machine, Time now);
  // Releases the assignments whose start command was never sent. Removes jobs that are finished then.
  void release_undispatched(Machine& machine, Time now);
  // Releases the assignments whose start command was never sent.
  void release_undispatched(Job& job, Time now);

  // Stops the tasks of a cancelled job and assigns no further ones.
  void stop_cancelled_job(Job& job, Time now);
  // Removes a cancelled or completed job once all its tasks are confirmed ended. The job may be invalid
  // afterwards.
  void remove_if_finished(Job& job, Time now);
  // Called when the job's terminal record is stored.
  void handle_stored_terminal_record(const JobId& id, Time now);
  // Removes a deleted machine and releases its assignments.
  void remove_machine(const MachineId& id, Time now);

  // Marks the gang's current attempt as failed. `stop_aborted_gangs` stops its remaining tasks.
  void abort_gang(Job& job);
  void stop_aborted_gangs(Time now);

 private:
  // Aborts the gang's attempt while other tasks are assigned, or prepares the next attempt.
  void handle_released_gang_task(Job& job, Time now);

  ClusterState& state_;
  JobQueue& queue_;
  TaskLog& task_log_;
  CancellationTracker& cancellations_;
  EffectQueue& effects_;
  std::vector<std::uint32_t> aborted_gangs_;  // job serials, since the last `stop_aborted_gangs`
};

}  // namespace dockdyke::core
