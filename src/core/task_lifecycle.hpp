// What follows when tasks, jobs and machines go: the waiting state of tasks, stored changes, the attempts of
// gangs.
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

  // The task is proved to be off its machine, or its start was never sent: its assignment ends, and unless it
  // is done it waits for another one.
  void release(Job& job, TaskIndex index, Time now);
  // `release`, then `remove_if_finished`. The job may be gone afterwards.
  void release_and_remove(const AssignedTask& task, Time now);
  // The machine, with everything on it, is proved to be gone or to have ended all its tasks.
  void release_all(Machine& machine, Time now);
  // Ends assignments whose start was never sent.
  void release_undispatched(Machine& machine, Time now);
  void release_undispatched(Job& job, Time now);

  // The job was cancelled: its tasks are stopped, and none is assigned any more.
  void stop_cancelled_job(Job& job, Time now);
  // Removes a cancelled or completed job whose tasks are all proved gone. The job may be gone afterwards.
  void remove_if_finished(Job& job, Time now);
  // The job's terminal record is stored.
  void terminal_record_stored(const JobId& id, Time now);
  // The machine is proved to be gone.
  void remove_machine(const MachineId& id, Time now);

  // The gang's attempt cannot succeed any more. `stop_aborted_gangs` stops what is left of it.
  void abort_gang(Job& job);
  void stop_aborted_gangs(Time now);

 private:
  void gang_task_released(Job& job, Time now);

  ClusterState& state_;
  JobQueue& queue_;
  TaskLog& task_log_;
  CancellationTracker& cancellations_;
  EffectQueue& effects_;
  std::vector<std::uint32_t> aborted_gangs_;  // serials, since the last `stop_aborted_gangs`
};

}  // namespace dockdyke::core
