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
  const bool was_answered = machine.last_response_at > 0 && !machine.answer_open;
  const bool was_trusted = machine.trusted;
  machine.incarnation = heartbeat.incarnation;
  machine.sequence_number = heartbeat.sequence_number;
  machine.last_heartbeat_at = now;
  machine.answer_open = true;
  open_answers_.insert(&machine);
  if (machine.address != heartbeat.address) machine.address = heartbeat.address;
  if (heartbeat.termination_notice_s) machine.ends_at = now + *heartbeat.termination_notice_s;
  machine.trusted = heartbeat.token == token_;
  place_wanted_ = true;
  if (!machine.trusted && was_answered) {
    // It reports, but our answers do not reach it.
    if (machine.unheeded++ == 0) machine.unheeded_since = now;
  } else if (machine.trusted && !was_trusted) {
    machine.unheeded = 0;
  }
  // Before the worker has taken our token an earlier leader may still change what it runs: nothing absent
  // from this report is proved gone.
  if (machine.trusted && loaded_) {
    take_tasks(machine, heartbeat, now);
    stop_for_notices(machine, now);
  }
  return HeartbeatOutcome::accepted;
}

void Cluster::take_tasks(Machine& machine, const wire::Heartbeat& heartbeat, Time now) {
  const auto forgotten = std::exchange(machine.forgets, {});
  machine.leftovers.clear();
  machine.strangers = false;
  ++machine.heartbeats;
  bool heeded = !forgotten.empty();
  bool unheeded = false;
  std::vector<std::pair<PlacedTask, const ReportedTask*>> exited;
  std::vector<Job*> finished_gangs;
  for (const auto& task : heartbeat.tasks) {
    auto job = jobs_.find(task.task.job);
    Placement* placement = nullptr;
    if (job != jobs_.end()) {
      auto found = job->second.placements.find(task.task.index);
      if (found != job->second.placements.end() && found->second.machine == &machine &&
          found->second.attempt == task.attempt)
        placement = &found->second;
    }
    const bool ended = task.state == TaskState::exited;
    // Of whatever attempt: a gang that has completed has done so for good.
    if (ended && task.cause == ExitCause::done && job != jobs_.end() && job->second.is_gang())
      finished_gangs.push_back(&job->second);
    if (placement) {
      heeded = heeded || (placement->sent && !placement->shown);
      placement->shown = true;
      placement->shown_in = machine.heartbeats;
      placement->inherited = false;
      if (ended) {
        exited.push_back({{&job->second, task.task.index}, &task});
      } else {
        if (task.state == TaskState::running && placement->running_since == 0) {
          placement->running_since = now;
          job->second.begun = true;
          if (job->second.gang.running_at == 0) job->second.gang.running_at = now;
          note_image(machine, job->second);
        }
        placement->state = task.state;
      }
    }
    if (ended || !placement) machine.leftovers.push_back(task);
    if (!ended && !placement) machine.strangers = true;
    if (ended && std::find(forgotten.begin(), forgotten.end(), std::pair(task.task, task.attempt)) !=
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

  std::vector<PlacedTask> missed;
  const auto placements = machine.placements;
  for (const auto& task : placements) {
    const Placement& placement = task.placement();
    if (placement.shown && placement.shown_in == machine.heartbeats) continue;
    if (placement.unsent()) {
      // Its start has yet to go out, and one that is to be stopped will not: kept, it waited for ever for a
      // report to show what was never there. One taken over from an earlier leader was not sent by us either,
      // but it has been shown: counted here, it ran for ever once its worker's lease had run out between
      // reports.
      if (placement.stopping) release(*task.job, task.index, now);
      continue;
    }
    const bool newer_incarnation = heartbeat.incarnation > placement.dispatched_incarnation;
    if (placement.inherited || newer_incarnation || placement.shown || placement.stopping) {
      // Proved gone: the worker knows our token, and this report is newer than any start we sent it.
      release(*task.job, task.index, now);
      drop_if_gone(*task.job, now);
    } else {
      missed.push_back(task);
    }
  }
  if (heeded) {
    machine.unheeded = 0;
  } else if (unheeded || !missed.empty()) {
    if (machine.unheeded++ == 0) machine.unheeded_since = now;
  }
  for (const auto& task : missed) {
    if (machine.unheeded < limits::kUnheeded) {
      task.placement().sent =
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
  const Placement placement = job.placements.at(index);
  switch (task.cause) {
    case ExitCause::done:
      if (job.spec.kind == wire::JobKind::array && !job.tasks[index].done) {
        job.tasks[index].done = true;
        ++job.done_count;
        job.begun = true;
        page_wanted_ = true;  // the worker may forget it only then
        if (placement.running_since > placement.placed_at && placement.sent) {
          const double took_s = now - placement.running_since;
          estimates_.observe(job.spec.job_class, job.spec.estimated_run_s, took_s);
          const bool slow = placement.attempt == 1 && overlong(job, took_s, limits::kSlowTimes);
          machine.slow_signs = slow ? machine.slow_signs + 1 : 0;
          job.ran_s += took_s;
          ++job.ran;
        }
        machine.failed_jobs.clear();
        // It does run: the machines on which it failed are the ones at fault.
        for (const auto& id : job.failed_on)
          if (auto found = machines_.find(id); found != machines_.end())
            found->second.failed_jobs[job.spec.id] = now;
        job.failures = 0;
        job.failed_on.clear();
        if (job.complete() && !job.cancelled) {
          unfinished_finals_.push_back(job.spec.id);
          job.finishing = true;
        }
      }
      break;
    case ExitCause::error:
      // A gang's tasks fail together, which counts once.
      if (!job.is_gang() || !std::exchange(job.gang.blamed, true)) task_failed(job, machine, now);
      break;
    case ExitCause::no_room:
      machine.no_room_until = now + limits::kNoRoomBackoff;
      break;
    case ExitCause::unknown_job:
      ++job.failures;
      job.not_before = now + std::min(limits::kErrorBackoffMost, limits::kErrorBackoffFirst * job.failures);
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
  job.failed_on.insert(machine.id);
  if (job.failed_on.size() == 1) {
    machine.failed_jobs[job.spec.id] = now;
  } else {
    // Failing on several machines speaks against the job, until one of its tasks completes.
    for (const auto& id : job.failed_on)
      if (auto found = machines_.find(id); found != machines_.end())
        found->second.failed_jobs.erase(job.spec.id);
  }
  if (job.failed_on.size() >= limits::kSuspectMachines) {
    // It fails wherever it runs, and trying often helps nobody.
    const double doublings =
        std::min<double>(6, static_cast<double>(job.failed_on.size() - limits::kSuspectMachines));
    job.not_before =
        now + std::min(limits::kErrorBackoffMost, limits::kErrorBackoffFirst * std::exp2(doublings + 1));
  }
}

void Cluster::judge_machines(Time now) {
  for (auto& [id, machine] : machines_) {
    if (machine.draining || machine.failed_jobs.size() < limits::kFaultyJobs) continue;
    // It gets no work meanwhile. The wait lets the jobs fail elsewhere too, if it is they that are broken:
    // two broken jobs had several healthy machines deleted when this was decided at once.
    Time latest = 0;
    for (const auto& [job, at] : machine.failed_jobs) latest = std::max(latest, at);
    if (now - latest >= limits::kJudgeAfter) machine.draining = true;
  }
}

bool Cluster::overlong(const Job& job, double ran_s, double times) {
  // The first to end are the shortest: with half of them done their mean is near enough to that of all.
  return job.ran >= limits::kRunsToTrust && 2 * job.ran >= job.next_fresh && ran_s > times * job.mean_run_s();
}

void Cluster::leave_slow_machine(Machine& machine, Time now) {
  if (machine.state != MachineState::up || machine.returning || silent(machine, now)) return;
  std::uint32_t signs = machine.slow_signs;
  for (const auto& task : machine.placements) {
    const Placement& placement = task.placement();
    // Only a first attempt: a task that simply takes that long must not be moved on for ever.
    if (placement.running_since == 0 || placement.stopping || placement.attempt > 1) continue;
    const double ran_s = now - placement.running_since;
    if (overlong(*task.job, ran_s, limits::kSlowTimes)) ++signs;
    if (overlong(*task.job, ran_s, limits::kSurelySlowTimes)) signs += limits::kSlowSigns;
  }
  if (signs < limits::kSlowSigns) return;
  machine.draining = true;
  for (const auto& task : machine.placements) {
    const auto& spec = task.job->spec;
    Placement& placement = task.placement();
    if (placement.stopping || placement.attempt > 1 || spec.kind != wire::JobKind::array) continue;
    const double ran_s = placement.ran_s(now);
    // One that is nearly through even so is better left alone; one that saves loses little.
    if (spec.checkpoint_interval_s > 0 || ran_s < limits::kSurelySlowTimes * task.job->mean_run_s())
      stop(placement, spec.checkpoint_duration_s);
  }
}

void Cluster::note_image(Machine& machine, const Job& job) {
  auto& images = machine.images;
  if (!images.empty() && images.back().first == job.spec.image) return;
  std::erase_if(images, [&](const auto& each) { return each.first == job.spec.image; });
  images.emplace_back(job.spec.image, job.spec.image_gb);
  const auto* type = type_of(machine);
  if (!type) return;
  double held = 0;
  for (const auto& each : images) held += each.second;
  while (held > type->cache_gb && images.size() > 1) {
    held -= images.front().second;
    images.erase(images.begin());
  }
}

std::vector<wire::Command> Cluster::commands_for(const MachineId& id, bool allow_starts, Time) {
  std::vector<wire::Command> commands;
  auto found = machines_.find(id);
  if (found == machines_.end() || !loaded_ || !found->second.trusted) return commands;
  Machine& machine = found->second;
  for (const auto& task : machine.leftovers) {
    if (commands.size() >= limits::kMaxCommandsPerResponse) return commands;
    if (task.state != TaskState::exited) {
      commands.push_back({wire::CommandKind::stop, task.task, task.attempt, 0});
      continue;
    }
    // A result must be on record before the only witness of it forgets.
    if (!result_on_record(task)) continue;
    commands.push_back({wire::CommandKind::acknowledge, task.task, task.attempt, 0});
    machine.forgets.emplace_back(task.task, task.attempt);
  }
  for (const auto& task : machine.placements) {
    if (commands.size() >= limits::kMaxCommandsPerResponse) return commands;
    Placement& placement = task.placement();
    const wire::TaskId ref{task.job->spec.id, task.index};
    if (placement.stopping) {
      commands.push_back({wire::CommandKind::stop, ref, placement.attempt, placement.grace_s});
    } else if (allow_starts && placement.unsent() && !machine.draining && !machine.ends_at &&
               !machine.returning && task.job->place_on_record(task.index)) {
      commands.push_back({wire::CommandKind::start, ref, placement.attempt, 0});
      placement.sent = true;
      placement.dispatched_incarnation = machine.incarnation;
      placement.sent_sequence = machine.sequence_number;
    }
  }
  return commands;
}

bool Cluster::result_on_record(const ReportedTask& task) const {
  if (task.cause != ExitCause::done) return true;
  auto job = jobs_.find(task.task.job);
  return job == jobs_.end() || job->second.cancelled || task.task.index >= job->second.spec.task_count ||
         job->second.result_on_record(task.task.index);
}

bool Cluster::awaits_answer(const wire::Heartbeat& heartbeat) const {
  auto found = machines_.find(heartbeat.machine);
  return found != machines_.end() && found->second.answer_open &&
         found->second.incarnation == heartbeat.incarnation &&
         found->second.sequence_number == heartbeat.sequence_number;
}

void Cluster::answered(const MachineId& id, Time now) {
  auto found = machines_.find(id);
  if (found == machines_.end()) return;
  found->second.last_response_at = now;
  found->second.answer_open = false;
  open_answers_.erase(&found->second);
}

bool Cluster::has_lasting_room(const Machine& machine, Time now) const {
  if (!accepts(machine, now) || !smallest_task_.fits_into(room(machine))) return false;
  // While its answer is held, a worker can't report that a task has ended.
  return std::none_of(machine.placements.begin(), machine.placements.end(), [&](const PlacedTask& task) {
    const Placement& placement = task.placement();
    if (placement.stopping) return true;
    if (task.job->spec.kind == wire::JobKind::service || placement.running_since == 0) return false;
    return now - placement.running_since > limits::kHoldProgress * task.job->expected_s;
  });
}

AnswerDelay Cluster::hold(const MachineId& id, Time now) const {
  auto found = machines_.find(id);
  if (found == machines_.end() || !loaded_ || !found->second.trusted) return AnswerDelay::none;
  const Machine& machine = found->second;
  bool commands = false;
  for (const auto& task : machine.leftovers) {
    if (!result_on_record(task)) return AnswerDelay::save;
    commands = true;
  }
  for (const auto& task : machine.placements) {
    const Placement& placement = task.placement();
    const bool unsent = placement.unsent();
    if (unsent && !placement.stopping && !task.job->gang.broken && !task.job->place_on_record(task.index))
      return AnswerDelay::save;
    commands = commands || unsent || placement.stopping;
  }
  if (commands) return AnswerDelay::none;
  return machine.placements.empty() || has_lasting_room(machine, now) ? AnswerDelay::idle : AnswerDelay::none;
}

}  // namespace dockdyke::core
