// What workers' reports show, what they prove, and the orders that answer them.
#include <algorithm>
#include <cmath>
#include <utility>

#include "constants.hpp"
#include "core/cluster.hpp"

namespace dockdyke::core {

using wire::ExitCause;
using wire::ReportedTask;
using wire::TaskState;

// ---- Reports ----------------------------------------------------------------------------------------------

HeartbeatOutcome Cluster::apply_heartbeat(const wire::Heartbeat& heartbeat, Time now) {
  if (heartbeat.token > token_) return HeartbeatOutcome::superseded;
  // A machine that was deleted can't run anything; its report was on the way for long.
  if (tombstones_.contains(heartbeat.machine)) return HeartbeatOutcome::stale;
  Machine& machine = machine_named(heartbeat.machine, now);
  // Also a late copy of a report that was answered: it renews nothing and proves nothing.
  if (std::pair(heartbeat.incarnation, heartbeat.sequence_number) <=
      std::pair(machine.incarnation, machine.sequence_number))
    return HeartbeatOutcome::stale;
  if (machine.state != MachineState::up) {
    machine.state = MachineState::up;
    machine.idle_since = now;
  }
  describe(machine, heartbeat.type, heartbeat.zone, heartbeat.spot);
  const bool was_answered = machine.last_response_at > 0 && !machine.response_pending;
  const bool was_trusted = machine.token_acknowledged;
  machine.incarnation = heartbeat.incarnation;
  machine.sequence_number = heartbeat.sequence_number;
  machine.last_heartbeat_at = now;
  machine.response_pending = true;
  open_answers_.insert(&machine);
  if (machine.worker_address != heartbeat.address) machine.worker_address = heartbeat.address;
  if (heartbeat.termination_notice_s) machine.terminates_at = now + *heartbeat.termination_notice_s;
  machine.token_acknowledged = heartbeat.token == token_;
  place_wanted_ = true;
  if (!machine.token_acknowledged && was_answered) {
    // It reports, but our answers do not reach it.
    if (machine.undelivered_responses++ == 0) machine.undelivered_since = now;
  } else if (machine.token_acknowledged && !was_trusted) {
    machine.undelivered_responses = 0;
  }
  // Before the worker has taken our token an earlier leader may still change what it runs: nothing absent
  // from this report is proved gone.
  if (machine.token_acknowledged && loaded_) {
    take_tasks(machine, heartbeat, now);
    stop_for_notices(machine, now);
  }
  return HeartbeatOutcome::accepted;
}

void Cluster::take_tasks(Machine& machine, const wire::Heartbeat& heartbeat, Time now) {
  const auto forgotten = std::exchange(machine.acknowledged_exits, {});
  machine.unassigned_tasks.clear();
  machine.runs_unknown_tasks = false;
  ++machine.heartbeat_count;
  bool heeded = !forgotten.empty();
  bool unheeded = false;
  std::vector<std::pair<AssignedTask, const ReportedTask*>> exited;
  std::vector<Job*> finished_gangs;
  for (const auto& task : heartbeat.tasks) {
    auto job = jobs_.find(task.task.job);
    TaskAssignment* assignment = nullptr;
    if (job != jobs_.end()) {
      auto found = job->second.assignments.find(task.task.index);
      if (found != job->second.assignments.end() && found->second.machine == &machine &&
          found->second.attempt == task.attempt)
        assignment = &found->second;
    }
    const bool ended = task.state == TaskState::exited;
    // Of whatever attempt: a gang that has completed has done so for good.
    if (ended && task.cause == ExitCause::done && job != jobs_.end() && job->second.is_gang())
      finished_gangs.push_back(&job->second);
    if (assignment) {
      heeded = heeded || (assignment->dispatched && !assignment->observed);
      assignment->observed = true;
      assignment->observed_in_heartbeat = machine.heartbeat_count;
      assignment->adopted = false;
      if (ended) {
        exited.push_back({{&job->second, task.task.index}, &task});
      } else {
        if (task.state == TaskState::running && assignment->running_since == 0) {
          assignment->running_since = now;
          job->second.started = true;
          if (job->second.gang.started_at == 0) job->second.gang.started_at = now;
          const auto* type = type_of(machine);
          machine.note_image({job->second.spec.image, job->second.spec.image_gb},
                             type ? std::optional(type->cache_gb) : std::nullopt);
        }
        assignment->state = task.state;
      }
    }
    if (ended || !assignment) machine.unassigned_tasks.push_back(task);
    if (!ended && !assignment) machine.runs_unknown_tasks = true;
    if (ended && std::find(forgotten.begin(), forgotten.end(), TaskAttempt{task.task, task.attempt}) !=
                     forgotten.end()) {
      heeded = false;
      unheeded = true;
    }
  }
  for (Job* job : finished_gangs) gang_done(*job, now);
  for (const auto& [task, shown] : exited) {
    task_exited(*task.job, task.index, machine, *shown, now);
    drop_if_gone(*task.job, now);
  }

  std::vector<AssignedTask> missed;
  const auto assignments = machine.assignments;
  for (const auto& task : assignments) {
    const TaskAssignment& assignment = task.assignment();
    if (assignment.observed && assignment.observed_in_heartbeat == machine.heartbeat_count) continue;
    if (assignment.never_dispatched()) {
      // Its start has yet to go out, and one that is to be stopped will not: kept, it waited for ever for a
      // report to show what was never there. One taken over from an earlier leader was not sent by us either,
      // but it has been shown: counted here, it ran for ever once its worker's lease had run out between
      // reports.
      if (assignment.stopping) release(*task.job, task.index, now);
      continue;
    }
    const bool newer_incarnation = heartbeat.incarnation > assignment.dispatched_incarnation;
    if (assignment.adopted || newer_incarnation || assignment.observed || assignment.stopping) {
      // Proved gone: the worker knows our token, and this report is newer than any start we sent it.
      release(*task.job, task.index, now);
      drop_if_gone(*task.job, now);
    } else {
      missed.push_back(task);
    }
  }
  if (heeded) {
    machine.undelivered_responses = 0;
  } else if (unheeded || !missed.empty()) {
    if (machine.undelivered_responses++ == 0) machine.undelivered_since = now;
  }
  for (const auto& task : missed) {
    if (machine.undelivered_responses < constants::kUndeliveredResponsesThreshold) {
      task.assignment().dispatched =
          false;  // the answer with the start got lost; the same attempt may be sent again
    } else {
      // Reports arrive from it, but nothing that we answer. This report is newer than the one whose answer
      // carried the start, so the task is not there and can go elsewhere.
      release(*task.job, task.index, now);
      drop_if_gone(*task.job, now);
    }
  }
}

void Cluster::task_exited(Job& job, TaskIndex index, Machine& machine, const ReportedTask& task, Time now) {
  const TaskAssignment assignment = job.assignments.at(index);
  switch (task.cause) {
    case ExitCause::done:
      if (job.spec.kind == wire::JobKind::array && !job.tasks[index].done) {
        job.tasks[index].done = true;
        ++job.done_count;
        job.started = true;
        page_wanted_ = true;  // the worker may forget it only then
        if (assignment.running_since > assignment.assigned_at && assignment.dispatched) {
          const double took_s = now - assignment.running_since;
          estimates_.observe(job.spec.job_class, job.spec.estimated_run_s, took_s);
          const bool slow = assignment.attempt == 1 && overlong(job, took_s, constants::kStragglerFactor);
          machine.straggler_signs = slow ? machine.straggler_signs + 1 : 0;
          job.total_run_s += took_s;
          ++job.completed_runs;
        }
        machine.failed_jobs.clear();
        // It does run: the machines on which it failed are the ones at fault.
        for (const auto& id : job.failed_machines)
          if (auto found = machines_.find(id); found != machines_.end())
            found->second.failed_jobs[job.spec.id] = now;
        job.failures = 0;
        job.failed_machines.clear();
        if (job.complete() && !job.cancelled) {
          unfinished_finals_.push_back(job.spec.id);
          job.terminal_write_pending = true;
        }
      }
      break;
    case ExitCause::error:
      // A gang's tasks fail together, which counts once.
      if (!job.is_gang() || !std::exchange(job.gang.failure_counted, true)) task_failed(job, machine, now);
      break;
    case ExitCause::no_room:
      machine.assignments_paused_until = now + constants::kNoCapacityBackoff;
      break;
    case ExitCause::unknown_job:
      ++job.failures;
      job.backoff_until =
          now + std::min(constants::kErrorBackoffMax, constants::kErrorBackoffInitial * job.failures);
      break;
    case ExitCause::stopped:
    case ExitCause::busy:
    case ExitCause::peer_lost:
    case ExitCause::gang_incomplete:
    case ExitCause::none:
      break;
  }
  release(job, index, now);
}

void Cluster::task_failed(Job& job, Machine& machine, Time now) {
  ++job.failures;
  job.failed_machines.insert(machine.id);
  if (job.failed_machines.size() == 1) {
    machine.failed_jobs[job.spec.id] = now;
  } else {
    // Failing on several machines speaks against the job, until one of its tasks completes.
    for (const auto& id : job.failed_machines)
      if (auto found = machines_.find(id); found != machines_.end())
        found->second.failed_jobs.erase(job.spec.id);
  }
  if (job.failed_machines.size() >= constants::kSuspectJobMachines) {
    // It fails wherever it runs, and trying often helps nobody.
    const double doublings =
        std::min<double>(6, static_cast<double>(job.failed_machines.size() - constants::kSuspectJobMachines));
    job.backoff_until = now + std::min(constants::kErrorBackoffMax,
                                       constants::kErrorBackoffInitial * std::exp2(doublings + 1));
  }
}

void Cluster::judge_machines(Time now) {
  for (auto& [id, machine] : machines_) {
    if (machine.draining || machine.failed_jobs.size() < constants::kFaultyMachineJobs) continue;
    // It gets no work meanwhile. The wait lets the jobs fail elsewhere too, if it is they that are broken:
    // two broken jobs had several healthy machines deleted when this was decided at once.
    Time latest = 0;
    for (const auto& [job, at] : machine.failed_jobs) latest = std::max(latest, at);
    if (now - latest >= constants::kQuarantineDelay) machine.draining = true;
  }
}

bool Cluster::overlong(const Job& job, double ran_s, double times) {
  // The first to end are the shortest: with half of them done their mean is near enough to that of all.
  return job.completed_runs >= constants::kMinRunsForStragglers &&
         2 * job.completed_runs >= job.next_unattempted && ran_s > times * job.mean_run_s();
}

void Cluster::leave_slow_machine(Machine& machine, Time now) {
  if (machine.state != MachineState::up || machine.scale_in_requested || silent(machine, now)) return;
  std::uint32_t signs = machine.straggler_signs;
  for (const auto& task : machine.assignments) {
    const TaskAssignment& assignment = task.assignment();
    // Only a first attempt: a task that simply takes that long must not be moved on for ever.
    if (assignment.running_since == 0 || assignment.stopping || assignment.attempt > 1) continue;
    const double ran_s = now - assignment.running_since;
    if (overlong(*task.job, ran_s, constants::kStragglerFactor)) ++signs;
    if (overlong(*task.job, ran_s, constants::kCertainStragglerFactor))
      signs += constants::kStragglerSignsThreshold;
  }
  if (signs < constants::kStragglerSignsThreshold) return;
  machine.draining = true;
  for (const auto& task : machine.assignments) {
    const auto& spec = task.job->spec;
    TaskAssignment& assignment = task.assignment();
    if (assignment.stopping || assignment.attempt > 1 || spec.kind != wire::JobKind::array) continue;
    const double ran_s = assignment.ran_s(now);
    // One that is nearly through even so is better left alone; one that saves loses little.
    if (spec.checkpoint_interval_s > 0 || ran_s < constants::kCertainStragglerFactor * task.job->mean_run_s())
      assignment.stop(spec.checkpoint_duration_s);
  }
}

std::vector<wire::Command> Cluster::commands_for(const MachineId& id, bool allow_starts, Time) {
  std::vector<wire::Command> commands;
  auto found = machines_.find(id);
  if (found == machines_.end() || !loaded_ || !found->second.token_acknowledged) return commands;
  Machine& machine = found->second;
  for (const auto& task : machine.unassigned_tasks) {
    if (commands.size() >= constants::kMaxCommandsPerResponse) return commands;
    if (task.state != TaskState::exited) {
      commands.push_back({wire::CommandKind::stop, task.task, task.attempt, 0});
      continue;
    }
    // A result must be on record before the only witness of it forgets.
    if (!result_durable(task)) continue;
    commands.push_back({wire::CommandKind::acknowledge, task.task, task.attempt, 0});
    machine.acknowledged_exits.push_back({task.task, task.attempt});
  }
  for (const auto& task : machine.assignments) {
    if (commands.size() >= constants::kMaxCommandsPerResponse) return commands;
    TaskAssignment& assignment = task.assignment();
    const wire::TaskId ref{task.job->spec.id, task.index};
    if (assignment.stopping) {
      commands.push_back({wire::CommandKind::stop, ref, assignment.attempt, assignment.grace_s});
    } else if (allow_starts && assignment.never_dispatched() && !machine.draining && !machine.terminates_at &&
               !machine.scale_in_requested && task.job->assignment_durable(task.index)) {
      commands.push_back({wire::CommandKind::start, ref, assignment.attempt, 0});
      assignment.dispatched = true;
      assignment.dispatched_incarnation = machine.incarnation;
    }
  }
  return commands;
}

bool Cluster::result_durable(const ReportedTask& task) const {
  if (task.cause != ExitCause::done) return true;
  auto job = jobs_.find(task.task.job);
  return job == jobs_.end() || job->second.cancelled || task.task.index >= job->second.spec.task_count ||
         job->second.result_durable(task.task.index);
}

bool Cluster::awaits_response(const wire::Heartbeat& heartbeat) const {
  auto found = machines_.find(heartbeat.machine);
  return found != machines_.end() && found->second.response_pending &&
         found->second.incarnation == heartbeat.incarnation &&
         found->second.sequence_number == heartbeat.sequence_number;
}

void Cluster::response_sent(const MachineId& id, Time now) {
  auto found = machines_.find(id);
  if (found == machines_.end()) return;
  found->second.last_response_at = now;
  found->second.response_pending = false;
  open_answers_.erase(&found->second);
}

bool Cluster::has_lasting_room(const Machine& machine, Time now) const {
  if (!accepts(machine, now) || !smallest_task_.fits_into(room(machine))) return false;
  // While its answer is held, a worker can't report that a task has ended.
  return std::none_of(machine.assignments.begin(), machine.assignments.end(), [&](const AssignedTask& task) {
    const TaskAssignment& assignment = task.assignment();
    if (assignment.stopping) return true;
    if (task.job->spec.kind == wire::JobKind::service || assignment.running_since == 0) return false;
    return now - assignment.running_since > constants::kHoldProgressThreshold * task.job->expected_run_s;
  });
}

ResponseHold Cluster::response_hold(const MachineId& id, Time now) const {
  auto found = machines_.find(id);
  if (found == machines_.end() || !loaded_ || !found->second.token_acknowledged) return ResponseHold::none;
  const Machine& machine = found->second;
  bool commands = false;
  for (const auto& task : machine.unassigned_tasks) {
    if (!result_durable(task)) return ResponseHold::awaiting_write;
    commands = true;
  }
  for (const auto& task : machine.assignments) {
    const TaskAssignment& assignment = task.assignment();
    const bool unsent = assignment.never_dispatched();
    if (unsent && !assignment.stopping && !task.job->gang.aborted &&
        !task.job->assignment_durable(task.index))
      return ResponseHold::awaiting_write;
    commands = commands || unsent || assignment.stopping;
  }
  if (commands) return ResponseHold::none;
  return machine.assignments.empty() || has_lasting_room(machine, now) ? ResponseHold::awaiting_work
                                                                       : ResponseHold::none;
}

}  // namespace dockdyke::core
