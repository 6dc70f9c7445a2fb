#include "core/cluster.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "constants.hpp"

namespace dockdyke::core {

using wire::ExitCause;
using wire::ReportedTask;
using wire::TaskRef;
using wire::TaskState;

Cluster::Cluster(Config config, Token token, Time now, std::int64_t time_of_day_ms)
    : config_(std::move(config)), token_(token), elected_at_(now), elected_ms_(time_of_day_ms) {}

void Cluster::apply(const Command& command, Time now) {
  std::visit([&](const auto& each) { on(each, now); }, command);
}

std::vector<Effect> Cluster::take_effects() {
  return std::exchange(effects_, {});
}

const Job* Cluster::job(const JobId& id) const {
  auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

const Machine* Cluster::machine(const MachineId& id) const {
  auto found = machines_.find(id);
  return found == machines_.end() ? nullptr : &found->second;
}

wire::Resources Cluster::team_usage(const std::string& team) const {
  auto found = usage_.find(team);
  return found == usage_.end() ? wire::Resources{} : found->second;
}

std::vector<JobId> Cluster::open_jobs() const {
  std::vector<JobId> out;
  for (const auto& [id, job] : jobs_)
    if (!job.cancelled) out.push_back(id);
  return out;
}

// ---- Records ----------------------------------------------------------------------------------------------

Job& Cluster::add_job(const JobRecord& record, Revision version, Time now) {
  Job& job = jobs_[record.spec.id];
  job.spec = record.spec;
  job.submitted_ms = record.submitted_ms;
  // Times of day may differ between controllers; an age is never taken as negative.
  const double age_s = static_cast<double>(elected_ms_ - record.submitted_ms) / 1000.0 + (now - elected_at_);
  job.submitted = now - std::max(0.0, age_s);
  job.per_part = record.per_part;
  job.attempts.assign(record.spec.tasks, 0);
  job.done.assign(record.spec.tasks, false);
  job.parts.assign(record.parts(), Part{});
  job.version = version;
  job.waiting_since = now;
  return job;
}

void Cluster::restore_task(Job& job, TaskIndex index, const TaskRecord& task, Time now) {
  job.attempts[index] = task.attempt;
  if (task.done) {
    job.done[index] = true;
    ++job.done_count;
  } else if (task.placed()) {
    Placement placement;
    placement.machine = task.machine;
    placement.attempt = task.attempt;
    placement.inherited = true;
    placement.placed_at = now;
    put_placement(job, index, std::move(placement));
  } else {
    job.returned.insert(index);
  }
}

void Cluster::on(const JobLoaded& command, Time now) {
  if (jobs_.contains(command.record.spec.id)) return;
  Job& job = add_job(command.record, command.version, now);
  std::map<TaskIndex, TaskRecord> known;
  auto take = [&](std::uint32_t part, const std::vector<TaskRecord>& tasks) {
    for (std::size_t i = 0; i < tasks.size() && i < job.per_part; ++i) {
      auto index = static_cast<std::uint64_t>(part) * job.per_part + i;
      if (index < job.spec.tasks) known[static_cast<TaskIndex>(index)] = tasks[i];
    }
  };
  take(0, command.record.first_part);
  for (const auto& [number, tasks] : command.parts) take(number, tasks);
  job.next_fresh = known.empty() ? 0 : known.rbegin()->first + 1;
  for (TaskIndex index = 0; index < job.next_fresh; ++index) {
    auto task = known.find(index);
    restore_task(job, index, task == known.end() ? TaskRecord{} : task->second, now);
  }
  if (command.lingering) {
    job.cancelled = true;
    job.returned.clear();
    job.next_fresh = job.spec.tasks;
    for (auto& [index, placement] : job.placements) stop(placement, 0);
    drop_if_gone(command.record.spec.id);
  } else if (job.complete()) {
    touch(job, 0);
  }
  place_wanted_ = true;
}

void Cluster::on(const JobSubmitted& command, Time now) {
  // Only a fresh record may come this way: one that names tasks of an earlier leader is taken over by
  // loading, and taking it as new would forget where those tasks are.
  if (jobs_.contains(command.record.spec.id) || !command.record.first_part.empty()) return;
  add_job(command.record, command.version, now);
  place_wanted_ = true;
}

void Cluster::on(const LoadDone&, Time) {
  loaded_ = true;
  place_wanted_ = true;
}

void Cluster::on(const JobOffRecord& command, Time now) {
  auto found = jobs_.find(command.id);
  if (found == jobs_.end()) return;
  Job& job = found->second;
  unsaved_.erase(command.id);
  job.dirty = false;
  if (!job.complete()) {
    job.cancelled = true;
    job.returned.clear();
    job.next_fresh = job.spec.tasks;
    std::vector<TaskIndex> never_sent;
    for (auto& [index, placement] : job.placements) {
      if (!placement.sent && !placement.shown && !placement.inherited) {
        never_sent.push_back(index);
      } else {
        // Also for a start still in flight: the order to stop is repeated until a report proves it gone.
        stop(placement, 0);
      }
    }
    for (auto index : never_sent) release(job, index, now);
  }
  place_wanted_ = true;
  drop_if_gone(command.id);
}

void Cluster::drop_if_gone(const JobId& id) {
  auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  Job& job = found->second;
  const bool over = job.cancelled || (job.complete() && !unsaved_.contains(id));
  if (!over || !job.placements.empty() || job.saving) return;
  Discard discard;
  if (job.cancelled) discard.keys.push_back(key::linger(id));
  for (std::uint32_t part = 1; part < job.parts.size(); ++part) discard.keys.push_back(key::part(id, part));
  if (!discard.keys.empty()) effects_.emplace_back(std::move(discard));
  jobs_.erase(found);
}

void Cluster::touch(Job& job, TaskIndex index) {
  if (job.cancelled) return;
  ++job.parts[index / job.per_part].version;
  job.dirty = true;
  unsaved_.insert(job.spec.id);
}

bool Cluster::durable(const Job& job, const Placement& placement, TaskIndex index) const {
  return placement.inherited || job.parts[index / job.per_part].saved >= placement.recorded_as;
}

std::optional<Save> Cluster::next_save(Time) {
  Job* chosen = nullptr;
  for (const auto& id : unsaved_) {
    Job& job = jobs_.at(id);
    if (job.saving || !job.dirty) continue;
    // A finished job goes first: its user is waiting for the answer.
    if (!chosen || (job.complete() && !chosen->complete())) chosen = &job;
    if (chosen->complete()) break;
  }
  if (!chosen) return std::nullopt;
  Job& job = *chosen;
  const auto& id = job.spec.id;
  Save save;
  save.id = id;
  save.number = next_save_number_++;
  save.final = job.complete();
  InFlight in_flight{id, {}, save.final};
  save.transaction.guards.push_back({key::open(id), job.version});

  auto records_of = [&job](std::uint32_t part) {
    std::vector<TaskRecord> out;
    const TaskIndex first = part * job.per_part;
    const TaskIndex end = std::min<TaskIndex>(job.spec.tasks, first + job.per_part);
    for (TaskIndex index = first; index < end; ++index) {
      TaskRecord task{job.attempts[index], {}, job.done[index]};
      if (auto found = job.placements.find(index); found != job.placements.end())
        task.machine = found->second.machine;
      out.push_back(std::move(task));
    }
    return out;
  };

  if (save.final) {
    save.transaction.puts.push_back(
        {key::over(id), to_json(FinalRecord{wire::Stage::done, job.done_count}), {}});
    save.transaction.removals.push_back(key::open(id));
    job.dirty = false;
  } else {
    JobRecord record;
    record.spec = job.spec;
    record.submitted_ms = job.submitted_ms;
    record.per_part = job.per_part;
    record.status = {job.placements.empty() ? wire::Stage::pending : wire::Stage::running, job.done_count,
                     job.placements.size()};
    record.first_part = records_of(0);
    save.transaction.puts.push_back({key::open(id), to_json(record), {}});
    in_flight.parts.emplace_back(0, job.parts[0].version);
    job.dirty = false;
    for (std::uint32_t part = 1; part < job.parts.size(); ++part) {
      if (job.parts[part].version == job.parts[part].saved) continue;
      if (save.transaction.puts.size() >= config_.txn_ops) {
        job.dirty = true;  // the rest goes with the next save
        break;
      }
      save.transaction.puts.push_back({key::part(id, part), to_json(records_of(part)), {}});
      in_flight.parts.emplace_back(part, job.parts[part].version);
    }
  }
  job.saving = true;
  saves_.emplace(save.number, std::move(in_flight));
  return save;
}

void Cluster::on(const SaveDone& command, Time) {
  auto save = saves_.find(command.save);
  if (save == saves_.end()) return;
  auto in_flight = std::move(save->second);
  saves_.erase(save);
  auto found = jobs_.find(command.id);
  if (found == jobs_.end()) return;
  Job& job = found->second;
  job.saving = false;
  job.version = command.version;
  for (const auto& [part, version] : in_flight.parts) job.parts[part].saved = version;
  if (!job.dirty) unsaved_.erase(command.id);
  drop_if_gone(command.id);
}

void Cluster::on(const SaveUndone& command, Time) {
  if (saves_.erase(command.save) == 0) return;
  auto found = jobs_.find(command.id);
  if (found == jobs_.end()) return;
  Job& job = found->second;
  job.saving = false;
  if (command.version) job.version = *command.version;
  if (job.cancelled) {
    drop_if_gone(command.id);
    return;
  }
  job.dirty = true;
  unsaved_.insert(command.id);
}

// ---- Places -----------------------------------------------------------------------------------------------

Machine& Cluster::machine_named(const MachineId& id, Time now) {
  auto [found, added] = machines_.try_emplace(id);
  Machine& machine = found->second;
  if (added) {
    machine.id = id;
    machine.rented_at = now;
    machine.idle_since = now;
    // A machine we know only by name may run tasks: its silence counts from now on.
    machine.last_report = now;
  }
  return machine;
}

void Cluster::put_placement(Job& job, TaskIndex index, Placement placement) {
  Machine& machine = machine_named(placement.machine, placement.placed_at);
  machine.placements.insert({job.spec.id, index});
  machine.used += job.spec.each;
  usage_[job.spec.team] += job.spec.each;
  job.placements.insert_or_assign(index, std::move(placement));
}

void Cluster::release(Job& job, TaskIndex index, Time now) {
  auto found = job.placements.find(index);
  if (found == job.placements.end()) return;
  if (auto held = machines_.find(found->second.machine); held != machines_.end()) {
    Machine& machine = held->second;
    machine.placements.erase({job.spec.id, index});
    machine.used -= job.spec.each;
    if (machine.placements.empty()) {
      machine.used = {};
      machine.idle_since = now;
    }
  }
  usage_[job.spec.team] -= job.spec.each;
  job.placements.erase(found);
  touch(job, index);
  if (!job.done[index] && !job.cancelled) {
    if (job.waiting() == 0) job.waiting_since = now;
    job.returned.insert(index);
  }
  place_wanted_ = true;
}

void Cluster::release_all(Machine& machine, Time now) {
  const auto placements = machine.placements;
  for (const auto& task : placements) {
    auto found = jobs_.find(task.job);
    if (found == jobs_.end()) continue;
    release(found->second, task.index, now);
    drop_if_gone(task.job);
  }
  machine.leftovers.clear();
  machine.strangers = false;
}

void Cluster::stop(Placement& placement, double grace_s) {
  placement.grace_s = placement.stopping ? std::min(placement.grace_s, grace_s) : grace_s;
  placement.stopping = true;
}

void Cluster::withdraw_unsent(Machine& machine, Time now) {
  const auto placements = machine.placements;
  for (const auto& task : placements) {
    Job& job = jobs_.at(task.job);
    const Placement& placement = job.placements.at(task.index);
    if (!placement.sent && !placement.shown && !placement.inherited) release(job, task.index, now);
  }
}

void Cluster::machine_gone(const MachineId& id, Time now) {
  auto found = machines_.find(id);
  if (found != machines_.end()) {
    release_all(found->second, now);
    machines_.erase(id);
  }
  tombstones_[id] = now;
}

bool Cluster::silent(const Machine& machine, Time now) const {
  return now - machine.last_report > limits::kSilentReports * config_.report_s;
}

// ---- Reports ----------------------------------------------------------------------------------------------

ReportFate Cluster::take_report(const wire::Report& report, Time now) {
  if (report.token > token_) return ReportFate::overtaken;
  // A machine that was deleted can't run anything; its report was on the way for long.
  if (tombstones_.contains(report.machine)) return ReportFate::stale;
  Machine& machine = machine_named(report.machine, now);
  if (std::pair(report.session, report.sequence) <= std::pair(machine.session, machine.sequence))
    return ReportFate::stale;
  if (machine.state != MachineState::up) {
    machine.state = MachineState::up;
    machine.idle_since = now;
    place_wanted_ = true;
  }
  machine.type = report.type;
  machine.zone = report.zone;
  machine.spot = report.spot;
  machine.session = report.session;
  machine.sequence = report.sequence;
  if (silent(machine, now)) place_wanted_ = true;
  machine.last_report = now;
  if (report.notice_s) machine.ends_at = now + *report.notice_s;
  const bool trusted = report.token == token_;
  if (trusted && !machine.trusted) place_wanted_ = true;
  machine.trusted = trusted;
  // Before the worker has taken our token an earlier leader may still change what it runs: nothing absent
  // from this report is proved gone.
  if (!trusted || !loaded_) return ReportFate::taken;

  std::map<TaskRef, const ReportedTask*> reported;
  machine.leftovers.clear();
  machine.strangers = false;
  for (const auto& task : report.tasks) {
    auto job = jobs_.find(task.task.job);
    const Placement* placement = nullptr;
    if (job != jobs_.end()) {
      auto found = job->second.placements.find(task.task.index);
      if (found != job->second.placements.end() && found->second.machine == machine.id &&
          found->second.attempt == task.attempt)
        placement = &found->second;
    }
    if (placement) reported[task.task] = &task;
    if (task.state == TaskState::exited || !placement) machine.leftovers.push_back(task);
    if (task.state != TaskState::exited && !placement) machine.strangers = true;
  }

  const auto placements = machine.placements;
  for (const auto& task : placements) {
    Job& job = jobs_.at(task.job);
    Placement& placement = job.placements.at(task.index);
    auto found = reported.find(task);
    if (found != reported.end()) {
      const ReportedTask& shown = *found->second;
      placement.shown = true;
      placement.inherited = false;
      placement.recorded_as = 0;  // on the machine, so it was recorded before it was sent
      if (shown.state == TaskState::exited) {
        task_exited(job, task.index, machine, shown, now);
        drop_if_gone(task.job);
        continue;
      }
      if (shown.state == TaskState::running && placement.running_since == 0) {
        placement.running_since = now;
        note_image(machine, job);
      }
      placement.state = shown.state;
      continue;
    }
    if (!placement.inherited && !placement.sent) continue;  // its start has yet to go out
    const bool newer_session = report.session > placement.sent_session;
    if (placement.inherited || newer_session || placement.shown || placement.stopping) {
      // Proved gone: the worker knows our token, and this report is newer than any start we sent it.
      release(job, task.index, now);
      drop_if_gone(task.job);
    } else {
      placement.sent = false;  // the answer with the start got lost; the same attempt may be sent again
    }
  }
  stop_for_notices(machine, now);
  return ReportFate::taken;
}

void Cluster::task_exited(Job& job, TaskIndex index, Machine& machine, const ReportedTask& task, Time now) {
  const Placement placement = job.placements.at(index);
  switch (task.cause) {
    case ExitCause::done:
      if (job.spec.shape == wire::Shape::batch) {
        job.done[index] = true;
        ++job.done_count;
        if (placement.running_since > placement.placed_at && placement.sent)
          estimates_.observe(job.spec.job_class, job.spec.estimate_s, now - placement.running_since);
        machine.failed_jobs.clear();
        // It does run: the machines on which it failed are the ones at fault.
        for (const auto& id : job.failed_on)
          if (auto found = machines_.find(id); found != machines_.end())
            found->second.failed_jobs[job.spec.id] = now;
        job.failures = 0;
        job.failed_on.clear();
      }
      break;
    case ExitCause::error:
      task_failed(job, machine, now);
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

void Cluster::note_image(Machine& machine, const Job& job) {
  auto& images = machine.images;
  std::erase_if(images, [&](const auto& each) { return each.first == job.spec.image; });
  images.emplace_back(job.spec.image, job.spec.image_gb);
  const auto* type = type_named(machine.type);
  if (!type) return;
  double held = 0;
  for (const auto& each : images) held += each.second;
  while (held > type->cache_gb && images.size() > 1) {
    held -= images.front().second;
    images.erase(images.begin());
  }
}

std::vector<wire::Order> Cluster::orders_for(const MachineId& id, bool allow_starts, Time) {
  std::vector<wire::Order> orders;
  auto found = machines_.find(id);
  if (found == machines_.end() || !loaded_ || !found->second.trusted) return orders;
  Machine& machine = found->second;
  for (const auto& task : machine.leftovers) {
    if (orders.size() >= limits::kMaxOrders) return orders;
    if (task.state != TaskState::exited) {
      orders.push_back({wire::Verb::stop, task.task, task.attempt, 0});
      continue;
    }
    if (task.cause == ExitCause::done) {
      // A result must be on record before the only witness of it forgets.
      auto job = jobs_.find(task.task.job);
      if (job != jobs_.end() && !job->second.cancelled && task.task.index < job->second.spec.tasks) {
        const Part& part = job->second.parts[task.task.index / job->second.per_part];
        if (part.saved != part.version) continue;
      }
    }
    orders.push_back({wire::Verb::forget, task.task, task.attempt, 0});
  }
  for (const auto& task : machine.placements) {
    if (orders.size() >= limits::kMaxOrders) return orders;
    Job& job = jobs_.at(task.job);
    Placement& placement = job.placements.at(task.index);
    if (placement.stopping) {
      orders.push_back({wire::Verb::stop, task, placement.attempt, placement.grace_s});
    } else if (allow_starts && !placement.sent && !placement.shown && !placement.inherited &&
               !machine.draining && !machine.ends_at && !machine.returning &&
               durable(job, placement, task.index)) {
      orders.push_back({wire::Verb::start, task, placement.attempt, 0});
      placement.sent = true;
      placement.sent_session = machine.session;
      placement.sent_sequence = machine.sequence;
    }
  }
  return orders;
}

void Cluster::answered(const MachineId& id, Time now) {
  if (auto found = machines_.find(id); found != machines_.end()) found->second.last_answer = now;
}

bool Cluster::answer_waits_for_save(const MachineId& id) const {
  auto found = machines_.find(id);
  if (found == machines_.end() || !loaded_ || !found->second.trusted) return false;
  for (const auto& task : found->second.leftovers)
    if (task.cause == ExitCause::done && unsaved_.contains(task.task.job)) return true;
  for (const auto& task : found->second.placements) {
    const Job& job = jobs_.at(task.job);
    const Placement& placement = job.placements.at(task.index);
    if (!placement.sent && !placement.shown && !placement.stopping && !durable(job, placement, task.index))
      return true;
  }
  return false;
}

// ---- Time -------------------------------------------------------------------------------------------------

void Cluster::expire_leases(Time now) {
  const double lease = config_.lease_s * (1 + 2 * limits::kDrift) + limits::kLeaseMargin;
  for (auto& [id, machine] : machines_) {
    if (silent(machine, now)) withdraw_unsent(machine, now);
    // Only a worker that has shown our token is known to live on our answers alone; one that an earlier
    // leader may still keep alive is waited for or deleted.
    if (!machine.trusted || now - std::max(machine.last_answer, machine.last_report) <= lease) continue;
    release_all(machine, now);
  }
}

void Cluster::stop_for_notices(Machine& machine, Time now) {
  if (!machine.ends_at) return;
  withdraw_unsent(machine, now);
  const double left = *machine.ends_at - now;
  const auto placements = machine.placements;
  for (const auto& task : placements) {
    Job& job = jobs_.at(task.job);
    Placement& placement = job.placements.at(task.index);
    if (placement.stopping) continue;
    const double ran = placement.running_since > 0 ? now - placement.running_since : 0;
    const double remaining = std::max(0.0, expected_s(job) - ran);
    if (job.spec.checkpoint_s > 0) {
      // Orders travel only with answers, so the last chance is a report period before it is needed.
      if (left <= job.spec.save_s + limits::kNoticeMargin + 1.25 * config_.report_s)
        stop(placement, job.spec.save_s);
    } else if (job.spec.shape == wire::Shape::standing || remaining > left) {
      stop(placement, 0);  // it can't end here: the sooner it starts again elsewhere the better
    }
  }
}

void Cluster::on(const Tick&, Time now) {
  std::erase_if(tombstones_, [&](const auto& each) { return now - each.second > limits::kTombstone; });
  if (!loaded_) return;
  expire_leases(now);
  judge_machines(now);
  for (auto& [id, machine] : machines_) stop_for_notices(machine, now);
  if (now - preempted_at_ >= limits::kPreemptEvery) {
    preempted_at_ = now;
    make_room(now);
  }
  if (now - scaled_at_ >= limits::kTick) {
    scaled_at_ = now;
    review_machines(now);
    scale(now);
  } else {
    const std::size_t fleet = fleet_size();
    if (fleet < config_.max_machines) rent_for_waiting(config_.max_machines - fleet, now);
  }
  place_wanted_ = true;  // pauses may have run out
}

}  // namespace dockdyke::core
