// Reconciliation: compares what a heartbeat shows with the leader's state, and concludes what is proved gone.
//
// A task's assignment ends only on proof: a heartbeat under this leader's token, newer than the one whose
// response carried the start, that lacks the task or shows it exited; or a later incarnation of the worker.
#pragma once

#include <vector>

#include "core/cluster_state.hpp"
#include "core/machine_health.hpp"
#include "core/run_time_estimator.hpp"
#include "core/task_lifecycle.hpp"
#include "core/task_log.hpp"
#include "core/termination_notices.hpp"
#include "core/time.hpp"
#include "core/views.hpp"
#include "core/write_queue.hpp"

namespace dockdyke::core {

class Reconciler {
 public:
  Reconciler(ClusterState& state, JobQueue& queue, TaskLog& task_log, WriteQueue& writes,
             TaskLifecycle& lifecycle, MachineHealth& health, TerminationNotices& notices,
             RunTimeEstimator& run_time_estimator);

  HeartbeatOutcome apply(const wire::Heartbeat& heartbeat, Time now);

 private:
  struct ExitedTask {
    AssignedTask task;
    const wire::ReportedTask* reported = nullptr;
  };
  // What one heartbeat shows.
  struct Observation {
    std::vector<ExitedTask> exited;
    std::vector<Job*> completed_gangs;
    // It shows that the last response took effect, or that it did not.
    bool response_delivered = false;
    bool response_lost = false;
  };

  void update_connection(Machine& machine, const wire::Heartbeat& heartbeat, Time now);
  // Notes the tasks that run on the machine and that no record assigns to it.
  void note_unassigned_tasks(Machine& machine, const wire::Heartbeat& heartbeat);
  void reconcile_tasks(Machine& machine, const wire::Heartbeat& heartbeat, Time now);
  Observation observe_tasks(Machine& machine, const wire::Heartbeat& heartbeat, Time now);
  void observe_assignment(Machine& machine, Job& job, TaskAssignment& assignment,
                          const wire::ReportedTask& reported, Time now);
  // Releases assignments that the heartbeat proves gone. Returns those whose start command seems to be lost.
  std::vector<AssignedTask> release_absent_tasks(Machine& machine, const wire::Heartbeat& heartbeat,
                                                 Time now);
  void count_undelivered_response(Machine& machine, Time now);
  void retry_lost_starts(Machine& machine, const std::vector<AssignedTask>& lost, Time now);

  void handle_exit(Job& job, TaskIndex index, Machine& machine, const wire::ReportedTask& reported, Time now);
  void complete_task(Job& job, TaskIndex index, Machine& machine, Time now);
  // One completed task of a gang means that all are done.
  void complete_gang(Job& job, Time now);

  ClusterState& state_;
  JobQueue& queue_;
  TaskLog& task_log_;
  WriteQueue& writes_;
  TaskLifecycle& lifecycle_;
  MachineHealth& health_;
  TerminationNotices& notices_;
  RunTimeEstimator& run_time_estimator_;
};

}  // namespace dockdyke::core
