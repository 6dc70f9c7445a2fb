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
                       TaskLifecycle& lifecycle, MachineHealth& health, TerminationNotices& notices,
                       RunTimeEstimator& run_time_estimator)
    : state_(state),
      queue_(queue),
      task_log_(task_log),
      writes_(writes),
      lifecycle_(lifecycle),
      health_(health),
      notices_(notices),
      run_time_estimator_(run_time_estimator) {}

HeartbeatOutcome Reconciler::apply(const wire::Heartbeat& heartbeat, Time now) {
  if (heartbeat.token > state_.token()) return HeartbeatOutcome::superseded;
  // A machine that was deleted can't run anything; its heartbeat was on the way for long.
  if (state_.recently_deleted(heartbeat.machine)) return HeartbeatOutcome::stale;
  Machine& machine = state_.find_or_add_machine(heartbeat.machine, now);
  // Also a late copy of a heartbeat that was answered: it renews nothing and proves nothing.
  if (std::tie(heartbeat.incarnation, heartbeat.sequence_number) <=
      std::tie(machine.incarnation, machine.sequence_number))
    return HeartbeatOutcome::stale;
  update_connection(machine, heartbeat, now);
  state_.request_assignment_pass();
  if (!state_.loaded()) return HeartbeatOutcome::accepted;
  if (machine.token_acknowledged) {
    reconcile_tasks(machine, heartbeat, now);
    notices_.apply(machine, now);
  } else {
    // An earlier leader may still change what the worker runs: nothing that is absent from this heartbeat is
    // proved gone, but what it shows and no record assigns is to be stopped.
    note_unassigned_tasks(machine, heartbeat);
  }
  return HeartbeatOutcome::accepted;
}

void Reconciler::update_connection(Machine& machine, const wire::Heartbeat& heartbeat, Time now) {
  if (machine.state != MachineState::up) {
    machine.state = MachineState::up;
    machine.idle_since = now;
  }
  state_.set_offering(machine, heartbeat.type, heartbeat.zone, heartbeat.spot);
  const bool was_answered = machine.last_response_at > 0 && !machine.response_pending;
  const bool had_acknowledged = machine.token_acknowledged;
  machine.incarnation = heartbeat.incarnation;
  machine.sequence_number = heartbeat.sequence_number;
  machine.last_heartbeat_at = now;
  state_.expect_response(machine);
  if (machine.worker_address != heartbeat.address) machine.worker_address = heartbeat.address;
  if (heartbeat.termination_notice_s) machine.terminates_at = now + *heartbeat.termination_notice_s;
  machine.token_acknowledged = heartbeat.token == state_.token();
  if (!machine.token_acknowledged && was_answered) {
    // Its heartbeats arrive, but the responses do not reach it.
    count_undelivered_response(machine, now);
  } else if (machine.token_acknowledged && !had_acknowledged) {
    machine.undelivered_responses = 0;
  }
}

void Reconciler::count_undelivered_response(Machine& machine, Time now) {
  if (machine.undelivered_responses++ == 0) machine.undelivered_since = now;
}

// ---- Tasks ------------------------------------------------------------------------------------------------

void Reconciler::reconcile_tasks(Machine& machine, const wire::Heartbeat& heartbeat, Time now) {
  const Observation observation = observe_tasks(machine, heartbeat, now);
  for (Job* job : observation.completed_gangs) complete_gang(*job, now);
  for (const auto& [task, reported] : observation.exited) {
    handle_exit(*task.job, task.index, machine, *reported, now);
    lifecycle_.remove_if_finished(*task.job, now);
  }
  const auto lost_starts = release_absent_tasks(machine, heartbeat, now);
  if (observation.response_delivered) {
    machine.undelivered_responses = 0;
  } else if (observation.response_lost || !lost_starts.empty()) {
    count_undelivered_response(machine, now);
  }
  retry_lost_starts(machine, lost_starts, now);
}

namespace {

// The assignment that the reported task is of; nothing where it is another attempt or on another machine.
TaskAssignment* find_assignment(Job& job, const Machine& machine, const ReportedTask& reported) {
  const auto found = job.assignments.find(reported.task.index);
  if (found == job.assignments.end()) return nullptr;
  TaskAssignment& assignment = found->second;
  return assignment.machine == &machine && assignment.attempt == reported.attempt ? &assignment : nullptr;
}

}  // namespace

void Reconciler::note_unassigned_tasks(Machine& machine, const wire::Heartbeat& heartbeat) {
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
  const auto acknowledged = std::exchange(machine.acknowledged_exits, {});
  machine.unassigned_tasks.clear();
  machine.runs_unknown_tasks = false;
  ++machine.heartbeat_count;
  Observation out;
  out.response_delivered = !acknowledged.empty();
  for (const auto& reported : heartbeat.tasks) {
    Job* job = state_.find_job(reported.task.job);
    TaskAssignment* assignment = job ? find_assignment(*job, machine, reported) : nullptr;
    const bool exited = reported.state == TaskState::exited;
    // Of whatever attempt: a gang that has completed has done so for good.
    if (exited && reported.cause == ExitCause::done && job && job->is_gang())
      out.completed_gangs.push_back(job);
    if (assignment) {
      out.response_delivered = out.response_delivered || (assignment->dispatched && !assignment->observed);
      observe_assignment(machine, *job, *assignment, reported, now);
      if (exited) out.exited.push_back({{job, reported.task.index}, &reported});
    }
    if (exited || !assignment) machine.unassigned_tasks.push_back(reported);
    if (!exited && !assignment) machine.runs_unknown_tasks = true;
    const TaskAttempt attempt{reported.task, reported.attempt};
    if (exited && std::find(acknowledged.begin(), acknowledged.end(), attempt) != acknowledged.end()) {
      out.response_delivered = false;
      out.response_lost = true;
    }
  }
  return out;
}

void Reconciler::observe_assignment(Machine& machine, Job& job, TaskAssignment& assignment,
                                    const ReportedTask& reported, Time now) {
  assignment.observed = true;
  assignment.observed_in_heartbeat = machine.heartbeat_count;
  assignment.adopted = false;
  if (reported.state == TaskState::exited) return;
  assignment.state = reported.state;
  if (reported.state != TaskState::running || assignment.running_since != 0) return;
  assignment.running_since = now;
  job.started = true;
  if (job.gang.started_at == 0) job.gang.started_at = now;
  const auto* type = state_.type_of(machine);
  machine.note_image({job.spec.image, job.spec.image_gb},
                     type ? std::optional(type->cache_gb) : std::nullopt);
}

std::vector<AssignedTask> Reconciler::release_absent_tasks(Machine& machine, const wire::Heartbeat& heartbeat,
                                                           Time now) {
  std::vector<AssignedTask> lost_starts;
  const auto assignments = machine.assignments;
  for (const auto& task : assignments) {
    const TaskAssignment& assignment = task.assignment();
    if (assignment.observed && assignment.observed_in_heartbeat == machine.heartbeat_count) continue;
    if (assignment.never_dispatched()) {
      // Its start is still to be sent, and that of a task which is to be stopped will not be: kept, it waited
      // for ever for a heartbeat to show what was never there. An adopted task was not dispatched by this
      // leader either, but it has been observed: counted here, it ran for ever once its worker's lease had
      // expired between two heartbeats.
      if (assignment.stopping) lifecycle_.release(*task.job, task.index, now);
      continue;
    }
    const bool newer_incarnation = heartbeat.incarnation > assignment.dispatched_incarnation;
    if (assignment.adopted || newer_incarnation || assignment.observed || assignment.stopping) {
      // Proved gone: the worker knows the token, and this heartbeat is newer than any start that was sent to
      // it.
      lifecycle_.release_and_remove(task, now);
    } else {
      lost_starts.push_back(task);
    }
  }
  return lost_starts;
}

void Reconciler::retry_lost_starts(Machine& machine, const std::vector<AssignedTask>& lost, Time now) {
  for (const auto& task : lost) {
    if (machine.undelivered_responses < constants::kUndeliveredResponsesThreshold) {
      task.assignment().dispatched = false;  // the same attempt may be sent again
    } else {
      // Heartbeats arrive from the worker, but no response reaches it. This heartbeat is newer than the one
      // whose response carried the start, so the task is not there and can go elsewhere.
      lifecycle_.release_and_remove(task, now);
    }
  }
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
      // A gang's tasks fail together, which counts once.
      if (!job.is_gang() || !std::exchange(job.gang.failure_counted, true))
        health_.record_failure(job, machine, now);
      break;
    case ExitCause::no_room:
      machine.assignments_paused_until = now + constants::kNoCapacityBackoffSeconds;
      break;
    case ExitCause::unknown_job:
      ++job.failures;
      job.backoff_until = now + std::min(constants::kMaxErrorBackoffSeconds,
                                         constants::kInitialErrorBackoffSeconds * job.failures);
      break;
    case ExitCause::stopped:
    case ExitCause::busy:
    case ExitCause::peer_lost:
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
  task_log_.request_segment();  // the worker may forget the result only when it is stored
  if (assignment.running_since > assignment.assigned_at && assignment.dispatched) {
    const double run_s = now - assignment.running_since;
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
  // Tasks of a gang complete together: with one of them done, none is ever started again.
  for (auto& task : job.tasks) task.done = true;
  job.done_count = job.spec.task_count;
  job.started = true;
  job.failures = 0;
  job.failed_machines.clear();
  writes_.request_terminal_record(job);
  queue_.invalidate();
  lifecycle_.release_undispatched(job, now);
}

}  // namespace dockdyke::core
