// Reconciles heartbeats with the leader's state and releases the assignments of tasks that have ended.
//
// A task is confirmed ended by a heartbeat under this leader's token that is newer than the heartbeat whose
// response carried the start command, and that lacks the task or shows it as exited, or that has a later
// incarnation of the worker.
#pragma once

#include <vector>

#include "core/cluster_state.hpp"
#include "core/machine_health.hpp"
#include "core/run_time_estimator.hpp"
#include "core/task_lifecycle.hpp"
#include "core/task_log.hpp"
#include "core/termination_notices.hpp"
#include "core/time.hpp"
#include "core/undispatched_tasks.hpp"
#include "core/views.hpp"
#include "core/write_queue.hpp"

namespace dockdyke::core {

class Reconciler {
 public:
  Reconciler(ClusterState& state, JobQueue& queue, TaskLog& task_log, WriteQueue& writes,
             TaskLifecycle& lifecycle, MachineHealth& health, UndispatchedTasks& undispatched_tasks,
             TerminationNotices& termination_notices, RunTimeEstimator& run_time_estimator);

  // Applies a heartbeat, unless it is stale or its token is higher than this leader's.
  HeartbeatOutcome apply(const wire::Heartbeat& heartbeat, Time now);

 private:
  struct ExitedTask {
    AssignedTask task;
    const wire::ReportedTask* reported = nullptr;
  };
  // Results of comparing one heartbeat with the assignments.
  struct Observation {
    std::vector<ExitedTask> exited;
    std::vector<Job*> completed_gangs;
    // The heartbeat shows that the worker has executed the last response, or that it has not.
    bool response_delivered = false;
    bool response_lost = false;
  };

  void update_connection(Machine& machine, const wire::Heartbeat& heartbeat, Time now);
  // Records the tasks in the heartbeat that run on the machine without being assigned to it.
  void record_unassigned_tasks(Machine& machine, const wire::Heartbeat& heartbeat);
  void reconcile_tasks(Machine& machine, const wire::Heartbeat& heartbeat, Time now);
  Observation observe_tasks(Machine& machine, const wire::Heartbeat& heartbeat, Time now);
  void observe_assignment(Machine& machine, Job& job, TaskAssignment& assignment,
                          const wire::ReportedTask& reported, Time now);
  // Releases the assignments of tasks that the heartbeat lacks and thereby confirms as ended. A task whose
  // start command was lost counts as undispatched again. Returns whether there was one.
  bool release_unreported_tasks(Machine& machine, const wire::Heartbeat& heartbeat, Time now);
  void count_undelivered_response(Machine& machine, Time now);

  void handle_exit(Job& job, TaskIndex index, Machine& machine, const wire::ReportedTask& reported, Time now);
  void complete_task(Job& job, TaskIndex index, Machine& machine, Time now);
  // Marks all tasks of a gang as done. Tasks of a gang complete together, so one completed task is enough.
  void complete_gang(Job& job, Time now);

  ClusterState& state_;
  JobQueue& queue_;
  TaskLog& task_log_;
  WriteQueue& writes_;
  TaskLifecycle& lifecycle_;
  MachineHealth& health_;
  UndispatchedTasks& undispatched_tasks_;
  TerminationNotices& termination_notices_;
  RunTimeEstimator& run_time_estimator_;
};

}  // namespace dockdyke::core
