#include "core/reconciler.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "constants.hpp"

namespace dockdyke::core {

using wire::ExitCause;
using wire::ReportedTask;
using wire::TaskState;

Reconciler::Reconciler(ClusterState& state, JobQueue& queue, TaskLog& task_log, WriteQueue& writes,
                       TaskLifecycle& lifecycle, MachineHealth& health, UndispatchedTasks& undispatched_tasks,
                       TerminationNotices& termination_notices, RunTimeEstimator& run_time_estimator)
    : state_(state),
      queue_(queue),
      task_log_(task_log),
      writes_(writes),
      lifecycle_(lifecycle),
      health_(health),
      undispatched_tasks_(undispatched_tasks),
      termination_notices_(termination_notices),
      run_time_estimator_(run_time_estimator) {}

HeartbeatOutcome Reconciler::apply(const wire::Heartbeat& heartbeat, Time now) {
  if (heartbeat.token > state_.token()) return HeartbeatOutcome::superseded;
  // A delayed heartbeat of a deleted machine, which cannot run any tasks.
  if (state_.recently_deleted(heartbeat.machine)) return HeartbeatOutcome::stale;
  Machine& machine = state_.find_or_add_machine(heartbeat.machine, now);
  // A delayed or duplicated heartbeat must neither renew the lease nor confirm that a task has ended.
  if (std::tie(heartbeat.incarnation, heartbeat.sequence_number) <=
      std::tie(machine.incarnation, machine.sequence_number))
    return HeartbeatOutcome::stale;
  update_connection(machine, heartbeat, now);
  state_.request_assignment_pass();
  if (!state_.loaded()) return HeartbeatOutcome::accepted;
  if (machine.token_acknowledged) {
    reconcile_tasks(machine, heartbeat, now);
  } else {
    // A previous leader may still start tasks on the worker, so a task that this heartbeat lacks is not
    // confirmed ended. Reported tasks without an assignment can already be stopped.
    record_unassigned_tasks(machine, heartbeat);
  }
  undispatched_tasks_.release_if_obstructed(machine, now);
  if (machine.token_acknowledged) termination_notices_.apply(machine, now);
  return HeartbeatOutcome::accepted;
}

void Reconciler::update_connection(Machine& machine, const wire::Heartbeat& heartbeat, Time now) {
  if (machine.state != MachineState::up) {
    machine.state = MachineState::up;
    machine.became_idle_at = now;
  }
  state_.set_offering(machine, heartbeat.type, heartbeat.zone, heartbeat.spot);
  const bool response_was_sent = machine.last_response_at > 0 && !machine.response_pending;
  const bool had_acknowledged = machine.token_acknowledged;
  machine.incarnation = heartbeat.incarnation;
  machine.sequence_number = heartbeat.sequence_number;
  machine.last_heartbeat_at = now;
  state_.mark_response_pending(machine);
  if (machine.worker_address != heartbeat.address) machine.worker_address = heartbeat.address;
  if (heartbeat.termination_notice_s) machine.terminates_at = now + *heartbeat.termination_notice_s;
  machine.token_acknowledged = heartbeat.token == state_.token();
  if (!machine.token_acknowledged && response_was_sent) {
    // Heartbeats arrive, but the worker has not received the response that carries this leader's token.
    count_undelivered_response(machine, now);
  } else if (machine.token_acknowledged && !had_acknowledged) {
    machine.undelivered_responses = 0;
  }
}

void Reconciler::count_undelivered_response(Machine& machine, Time now) {
  if (machine.undelivered_responses++ == 0) machine.first_undelivered_at = now;
}

// ---- Tasks ------------------------------------------------------------------------------------------------

void Reconciler::reconcile_tasks(Machine& machine, const wire::Heartbeat& heartbeat, Time now) {
  const Observation observation = observe_tasks(machine, heartbeat, now);
  for (Job* job : observation.completed_gangs) complete_gang(*job, now);
  for (const auto& [task, reported] : observation.exited) {
    handle_exit(*task.job, task.index, machine, *reported, now);
    lifecycle_.remove_if_finished(*task.job, now);
  }
  const bool start_lost = release_unreported_tasks(machine, heartbeat, now);
  if (observation.response_delivered) {
    machine.undelivered_responses = 0;
  } else if (observation.response_lost || start_lost) {
    count_undelivered_response(machine, now);
  }
}

namespace {

// Returns the assignment of the reported task, or nullptr if the job has assigned no such task to this
// machine or has assigned another attempt of it.
TaskAssignment* find_assignment(Job& job, const Machine& machine, const ReportedTask& reported) {
  const auto found = job.assignments.find(reported.task.index);
  if (found == job.assignments.end()) return nullptr;
  TaskAssignment& assignment = found->second;
  return assignment.machine == &machine && assignment.attempt == reported.attempt ? &assignment : nullptr;
}

}  // namespace

void Reconciler::record_unassigned_tasks(Machine& machine, const wire::Heartbeat& heartbeat) {
  machine.unassigned_tasks.clear();
  for (const auto& reported : heartbeat.tasks) {
    Job* job = state_.find_job(reported.task.job);
    const bool assigned = job && find_assignment(*job, machine, reported);
    if (!assigned && reported.state != TaskState::exited) machine.unassigned_tasks.push_back(reported);
  }
  machine.runs_unknown_tasks = !machine.unassigned_tasks.empty();
}

Reconciler::Observation Reconciler::observe_tasks(Machine& machine, const wire::Heartbeat& heartbeat,
                                                  Time now) {
  const auto acknowledged_exits = std::exchange(machine.acknowledged_exits, {});
  machine.unassigned_tasks.clear();
  machine.runs_unknown_tasks = false;
  ++machine.heartbeat_count;
  Observation observation;
  observation.response_delivered = !acknowledged_exits.empty();
  for (const auto& reported : heartbeat.tasks) {
    Job* job = state_.find_job(reported.task.job);
    TaskAssignment* assignment = job ? find_assignment(*job, machine, reported) : nullptr;
    const bool exited = reported.state == TaskState::exited;
    // Counts for any attempt, since a completed gang is never run again.
    if (exited && reported.cause == ExitCause::done && job && job->is_gang())
      observation.completed_gangs.push_back(job);
    if (assignment) {
      observation.response_delivered =
          observation.response_delivered || (assignment->dispatched && !assignment->observed);
      observe_assignment(machine, *job, *assignment, reported, now);
      if (exited) observation.exited.push_back({{job, reported.task.index}, &reported});
    }
    if (exited || !assignment) machine.unassigned_tasks.push_back(reported);
    if (!exited && !assignment) machine.runs_unknown_tasks = true;
    const TaskAttempt attempt{reported.task, reported.attempt};
    if (exited && std::find(acknowledged_exits.begin(), acknowledged_exits.end(), attempt) !=
                      acknowledged_exits.end()) {
      observation.response_delivered = false;
      observation.response_lost = true;
    }
  }
  return observation;
}

void Reconciler::observe_assignment(Machine& machine, Job& job, TaskAssignment& assignment,
                                    const ReportedTask& reported, Time now) {
  assignment.observed = true;
  assignment.observed_in_heartbeat = machine.heartbeat_count;
  assignment.adopted = false;
  if (reported.state == TaskState::exited) return;
  assignment.state = reported.state;
  if (reported.state != TaskState::running || assignment.run_started_at != 0) return;
  assignment.run_started_at = now;
  job.started = true;
  if (job.gang.started_at == 0) job.gang.started_at = now;
  const auto* type = state_.type_of(machine);
  machine.record_image_use({job.spec.image, job.spec.image_gb},
                           type ? std::optional(type->image_cache_gb) : std::nullopt);
}

bool Reconciler::release_unreported_tasks(Machine& machine, const wire::Heartbeat& heartbeat, Time now) {
  bool start_lost = false;
  const auto assignments = machine.assignments;
  for (const auto& task : assignments) {
    TaskAssignment& assignment = task.assignment();
    if (assignment.observed && assignment.observed_in_heartbeat == machine.heartbeat_count) continue;
    if (assignment.never_dispatched()) {
      // The start command has not been sent. For a stopping task it never will be, so no heartbeat would ever
      // confirm that the task has ended. Adopted tasks are not `never_dispatched`, since a previous leader
      // may have started them.
      if (assignment.stopping) lifecycle_.release(*task.job, task.index, now);
      continue;
    }
    const bool newer_incarnation = heartbeat.incarnation > assignment.dispatched_incarnation;
    if (assignment.adopted || newer_incarnation || assignment.observed || assignment.stopping) {
      // Confirmed ended: the worker has acknowledged the token, and this heartbeat is newer than the one
      // whose response carried the start command.
      lifecycle_.release_and_remove_if_finished(task, now);
    } else {
      // This heartbeat is newer than the one whose response carried the start command, so the task is not on
      // the worker. The same attempt is sent again, unless responses repeatedly fail to reach the worker.
      assignment.dispatched = false;
      start_lost = true;
    }
  }
  return start_lost;
}

// ---- Exits ------------------------------------------------------------------------------------------------

void Reconciler::handle_exit(Job& job, TaskIndex index, Machine& machine, const ReportedTask& reported,
                             Time now) {
  switch (reported.cause) {
    case ExitCause::done:
      if (job.spec.kind == wire::JobKind::array && !job.tasks[index].done)
        complete_task(job, index, machine, now);
      break;
    case ExitCause::error:
      // The tasks of a gang fail together, so their failures count as one.
      if (!job.is_gang() || !std::exchange(job.gang.failure_counted, true))
        health_.record_failure(job, machine, now);
      break;
    case ExitCause::insufficient_capacity:
      machine.assignments_resume_at = now + constants::kNoCapacityBackoffSeconds;
      break;
    case ExitCause::unknown_task:
      ++job.consecutive_failures;
      job.backoff_ends_at = now + std::min(constants::kMaxErrorBackoffSeconds,
                                           constants::kInitialErrorBackoffSeconds * job.consecutive_failures);
      break;
    case ExitCause::stopped:
    case ExitCause::attempt_conflict:
    case ExitCause::gang_peer_lost:
    case ExitCause::gang_incomplete:
    case ExitCause::none:
      break;
  }
  lifecycle_.release(job, index, now);
}

void Reconciler::complete_task(Job& job, TaskIndex index, Machine& machine, Time now) {
  const TaskAssignment& assignment = job.assignments.at(index);
  job.tasks[index].done = true;
  ++job.done_count;
  job.started = true;
  task_log_.request_segment();  // the exit is acknowledged to the worker only once the result is stored
  if (assignment.run_started_at > assignment.assigned_at && assignment.dispatched) {
    const double run_s = now - assignment.run_started_at;
    run_time_estimator_.observe(job.spec.job_class, job.spec.estimated_run_s, run_s);
    health_.record_run_time(job, machine, assignment.attempt, run_s);
  }
  health_.record_success(job, machine, now);
  if (job.complete() && !job.cancelled) writes_.request_terminal_record(job);
}

void Reconciler::complete_gang(Job& job, Time now) {
  if (!job.unfinished()) return;
  double run_s = 0;
  for (const auto& [index, assignment] : job.assignments)
    if (assignment.dispatched) run_s = std::max(run_s, assignment.ran_s(now));
  if (run_s > 0) run_time_estimator_.observe(job.spec.job_class, job.spec.estimated_run_s, run_s);
  // Includes tasks whose exit has not been reported yet, so that none of them is started again.
  for (auto& task : job.tasks) task.done = true;
  job.done_count = job.spec.task_count;
  job.started = true;
  job.consecutive_failures = 0;
  job.failed_machines.clear();
  writes_.request_terminal_record(job);
  queue_.invalidate();
  lifecycle_.release_undispatched(job, now);
}

}  // namespace dockdyke::core
