#include "core/cluster.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "constants.hpp"

namespace dockdyke::core {

using wire::ExitCause;
using wire::ReportedTask;
using wire::TaskState;

Cluster::Cluster(Config config, Token token, Time now, std::int64_t time_of_day_ms)
    : config_(std::move(config)),
      token_(token),
      elected_at_(now),
      elected_ms_(time_of_day_ms),
      page_bytes_(config_.value_bytes - std::min(config_.value_bytes, limits::kPageMargin)),
      part_bytes_(page_bytes_),
      // Each end of a job is a put and a removal.
      ends_per_save_(std::max<std::size_t>(1, config_.txn_ops / 2)) {}

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

std::size_t Cluster::machines_up() const {
  return static_cast<std::size_t>(std::count_if(machines_.begin(), machines_.end(), [](const auto& each) {
    return each.second.state == MachineState::up && !each.second.returning;
  }));
}

std::vector<JobId> Cluster::open_jobs() const {
  std::vector<JobId> out;
  for (const auto& [id, job] : jobs_)
    if (!job.cancelled) out.push_back(id);
  return out;
}

std::optional<Progress> Cluster::progress(const JobId& id) const {
  const Job* known = job(id);
  if (!loaded_ || !known || known->cancelled) return std::nullopt;
  const auto running = static_cast<std::uint64_t>(
      std::count_if(known->placements.begin(), known->placements.end(), [](const auto& each) {
        const auto state = each.second.state;
        return each.second.shown && (state == TaskState::running || state == TaskState::saving);
      }));
  const auto stage = running > 0 || known->done_count > 0 ? wire::Stage::running : wire::Stage::pending;
  return Progress{known->version, {stage, known->done_count, running}};
}

// ---- Records ----------------------------------------------------------------------------------------------

Job& Cluster::add_job(const JobRecord& record, Revision version, Time now) {
  Job& job = jobs_[record.spec.id];
  job.spec = record.spec;
  job.serial = next_serial_++;
  by_serial_[job.serial] = &job;
  // Times of day may differ between controllers; an age is never taken as negative.
  const double age_s = static_cast<double>(elected_ms_ - record.submitted_ms) / 1000.0 + (now - elected_at_);
  job.submitted = now - std::max(0.0, age_s);
  job.tasks.assign(record.spec.tasks, TaskSlot{});
  job.version = version;
  job.waiting_since = now;
  job.expected_s = estimates_.expected(job.spec.job_class, job.spec.estimate_s);
  job.team_usage = &usage_[job.spec.team];
  set_suits(job);
  if (job.is_gang() && wants_quick_starts(job.spec)) reserve_.note_arrival(job.spec, now);
  ranking_stale_ = true;
  place_wanted_ = true;
  return job;
}

void Cluster::on(const JobLoaded& command, Time now) {
  // Open jobs come first: one that was cancelled while the records were read is then known as open, and the
  // watch tells of its end.
  if (jobs_.contains(command.record.spec.id)) return;
  Job& job = add_job(command.record, command.version, now);
  if (!command.lingering) return;
  job.cancelled = true;
  const double age_s =
      static_cast<double>(elected_ms_ - command.record.cancelled_ms.value_or(elected_ms_)) / 1000.0;
  job.cancelled_at = now - std::max(0.0, age_s);
}

void Cluster::on(const PageLoaded& command, Time) {
  const PageNumber number = next_page_number_++;
  Page& page = pages_[number];
  page.key = command.key;
  page.confirmed = true;
  for (const auto& [id, tasks] : command.page) {
    auto found = jobs_.find(id);
    if (found == jobs_.end() || found->second.is_gang()) continue;
    Job& job = found->second;
    for (const auto& task : tasks) {
      if (task.index >= job.spec.tasks) continue;
      TaskSlot& slot = job.tasks[task.index];
      if (slot.recorded != 0) --pages_.at(slot.recorded).live;
      slot.recorded = slot.written = number;
      slot.attempt = std::max(slot.attempt, task.attempt);
      slot.done = slot.done || task.done;
      ++page.live;
      page.entries.push_back({job.serial, task.index});
      const std::pair place(job.serial, task.index);
      if (slot.done || task.machine.value.empty()) {
        loaded_places_.erase(place);
      } else {
        loaded_places_[place] = task.machine;
      }
    }
  }
}

void Cluster::on(const LoadDone&, Time now) {
  loaded_ = true;
  place_wanted_ = true;
  std::vector<Job*> gone;
  for (auto& [id, job] : jobs_) {
    auto last = std::find_if(job.tasks.rbegin(), job.tasks.rend(),
                             [](const TaskSlot& slot) { return slot.recorded != 0; });
    job.next_fresh = static_cast<TaskIndex>(job.tasks.rend() - last);
    for (TaskIndex index = 0; index < job.next_fresh; ++index) {
      const TaskSlot& slot = job.tasks[index];
      if (slot.done) {
        ++job.done_count;
        job.begun = true;
      } else if (auto place = loaded_places_.find({job.serial, index}); place != loaded_places_.end()) {
        Placement placement;
        placement.machine = &machine_named(place->second, now);
        placement.attempt = slot.attempt;
        placement.inherited = true;
        placement.placed_at = now;
        put_placement(job, index, placement);
      } else {
        job.returned.insert(index);
      }
    }
    if (job.is_gang()) take_over_gang(job, now);
    if (job.cancelled) {
      stop_all(job, now);
      gone.push_back(&job);
    } else if (job.complete()) {
      job.finishing = true;
      unfinished_finals_.push_back(id);
    }
  }
  loaded_places_.clear();
  loaded_gangs_.clear();
  for (Job* job : gone) drop_if_gone(*job, now);
  for (auto page = pages_.begin(); page != pages_.end();) {
    const bool dead = page->second.live == 0;
    if (dead) dead_keys_.push_back(page->second.key);
    page = dead ? pages_.erase(page) : std::next(page);
  }
}

void Cluster::on(const JobSubmitted& command, Time now) {
  // Until the records are read, an open record may have tasks that pages tell of: loading brings it. And news
  // of a submission may come after the job's end, when its record was read long before or its watch was slow.
  const auto& id = command.record.spec.id;
  if (!loaded_ || jobs_.contains(id) || over_.contains(id)) return;
  add_job(command.record, command.version, now);
}

void Cluster::on(const JobOffRecord& command, Time now) {
  auto found = jobs_.find(command.id);
  if (found == jobs_.end()) {
    // Perhaps a late word of its submission is still to come. Cancelled before we heard of it, it has no
    // tasks, and nobody else would remove its copy.
    if (over_.insert_or_assign(command.id, now).second && loaded_) discard({key::linger(command.id)});
    return;
  }
  Job& job = found->second;
  if (!job.complete() && !job.cancelled) {
    job.cancelled = true;
    job.cancelled_at = now;
    if (loaded_) stop_all(job, now);
  }
  place_wanted_ = true;
  if (loaded_) drop_if_gone(job, now);
}

void Cluster::stop_all(Job& job, Time now) {
  ranking_stale_ = true;
  job.unwritten.clear();
  std::vector<TaskIndex> never_sent;
  for (auto& [index, placement] : job.placements) {
    if (placement.unsent()) {
      never_sent.push_back(index);
    } else {
      // Also for a start still in flight: the order to stop is repeated until a report proves it gone.
      stop(placement, 0);
    }
  }
  for (auto index : never_sent) release(job, index, now);
  job.returned.clear();
  job.next_fresh = job.spec.tasks;
}

void Cluster::drop_if_gone(Job& job, Time now) {
  if (!(job.cancelled || (job.complete() && !job.finishing)) || !job.placements.empty()) return;
  const JobId id = job.spec.id;
  if (job.cancelled) discard({key::linger(id)});
  if (!job.gang.keys.empty()) discard(std::move(job.gang.keys));
  forget_entries(job);
  over_[id] = now;
  by_serial_.erase(job.serial);
  std::erase_if(ranking_, [&](const Ranked& each) { return each.job == &job; });
  jobs_.erase(id);
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

void Cluster::describe(Machine& machine, const std::string& type, const std::string& zone, bool spot) {
  if (machine.type != type || machine.type_number == kNoType) {
    machine.type = type;
    machine.type_number = type_number(type);
  }
  if (machine.zone != zone) machine.zone = zone;
  machine.spot = spot;
}

void Cluster::put_placement(Job& job, TaskIndex index, Placement placement) {
  Machine& machine = *placement.machine;
  machine.placements.push_back({&job, index});
  machine.used += job.spec.each;
  *job.team_usage += job.spec.each;
  job.placements.insert_or_assign(index, placement);
}

void Cluster::release(Job& job, TaskIndex index, Time now) {
  auto found = job.placements.find(index);
  if (found == job.placements.end()) return;
  Machine& machine = *found->second.machine;
  std::erase(machine.placements, PlacedTask{&job, index});
  machine.used -= job.spec.each;
  if (machine.placements.empty()) {
    machine.used = {};
    machine.idle_since = now;
  }
  *job.team_usage -= job.spec.each;
  job.placements.erase(found);
  if (job.is_gang()) {
    if (!job.complete() && !job.cancelled) gang_task_released(job, now);
    place_wanted_ = true;
    return;
  }
  if (!job.complete()) touch(job, index);
  if (!job.tasks[index].done && !job.cancelled) {
    if (job.waiting() == 0) {
      job.waiting_since = now;
      ranking_stale_ = true;
    }
    job.returned.insert(index);
  }
  place_wanted_ = true;
}

void Cluster::release_all(Machine& machine, Time now) {
  const auto placements = machine.placements;
  for (const auto& task : placements) {
    release(*task.job, task.index, now);
    drop_if_gone(*task.job, now);
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
    const Placement& placement = task.placement();
    if (placement.unsent()) release(*task.job, task.index, now);
  }
}

void Cluster::machine_gone(const MachineId& id, Time now) {
  auto found = machines_.find(id);
  if (found != machines_.end()) {
    release_all(found->second, now);
    open_answers_.erase(&found->second);
    machines_.erase(found);
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
  // Also a late copy of a report that was answered: it renews nothing and proves nothing.
  if (std::pair(report.session, report.sequence) <= std::pair(machine.session, machine.sequence))
    return ReportFate::stale;
  if (machine.state != MachineState::up) {
    machine.state = MachineState::up;
    machine.idle_since = now;
  }
  describe(machine, report.type, report.zone, report.spot);
  const bool was_answered = machine.last_answer > 0 && !machine.answer_open;
  const bool was_trusted = machine.trusted;
  machine.session = report.session;
  machine.sequence = report.sequence;
  machine.last_report = now;
  machine.answer_open = true;
  open_answers_.insert(&machine);
  if (machine.address != report.address) machine.address = report.address;
  if (report.notice_s) machine.ends_at = now + *report.notice_s;
  machine.trusted = report.token == token_;
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
    take_tasks(machine, report, now);
    stop_for_notices(machine, now);
  }
  return ReportFate::taken;
}

void Cluster::take_tasks(Machine& machine, const wire::Report& report, Time now) {
  const auto forgotten = std::exchange(machine.forgets, {});
  machine.leftovers.clear();
  machine.strangers = false;
  ++machine.reports;
  bool heeded = !forgotten.empty();
  bool unheeded = false;
  std::vector<std::pair<PlacedTask, const ReportedTask*>> exited;
  std::vector<Job*> finished_gangs;
  for (const auto& task : report.tasks) {
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
      placement->shown_in = machine.reports;
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
    if (placement.shown && placement.shown_in == machine.reports) continue;
    if (placement.unsent()) {
      // Its start has yet to go out, and one that is to be stopped will not: kept, it waited for ever for a
      // report to show what was never there. One taken over from an earlier leader was not sent by us either,
      // but it has been shown: counted here, it ran for ever once its worker's lease had run out between
      // reports.
      if (placement.stopping) release(*task.job, task.index, now);
      continue;
    }
    const bool newer_session = report.session > placement.sent_session;
    if (placement.inherited || newer_session || placement.shown || placement.stopping) {
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
      if (job.spec.shape == wire::Shape::array && !job.tasks[index].done) {
        job.tasks[index].done = true;
        ++job.done_count;
        job.begun = true;
        page_wanted_ = true;  // the worker may forget it only then
        if (placement.running_since > placement.placed_at && placement.sent) {
          const double took_s = now - placement.running_since;
          estimates_.observe(job.spec.job_class, job.spec.estimate_s, took_s);
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
    if (placement.stopping || placement.attempt > 1 || spec.shape != wire::Shape::array) continue;
    const double ran_s = placement.running_since > 0 ? now - placement.running_since : 0;
    // One that is nearly through even so is better left alone; one that saves loses little.
    if (spec.checkpoint_s > 0 || ran_s < limits::kSurelySlowTimes * task.job->mean_run_s())
      stop(placement, spec.save_s);
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
    // A result must be on record before the only witness of it forgets.
    if (!result_on_record(task)) continue;
    orders.push_back({wire::Verb::forget, task.task, task.attempt, 0});
    machine.forgets.emplace_back(task.task, task.attempt);
  }
  for (const auto& task : machine.placements) {
    if (orders.size() >= limits::kMaxOrders) return orders;
    Placement& placement = task.placement();
    const wire::TaskRef ref{task.job->spec.id, task.index};
    if (placement.stopping) {
      orders.push_back({wire::Verb::stop, ref, placement.attempt, placement.grace_s});
    } else if (allow_starts && placement.unsent() && !machine.draining && !machine.ends_at &&
               !machine.returning && task.job->place_on_record(task.index)) {
      orders.push_back({wire::Verb::start, ref, placement.attempt, 0});
      placement.sent = true;
      placement.sent_session = machine.session;
      placement.sent_sequence = machine.sequence;
    }
  }
  return orders;
}

bool Cluster::result_on_record(const ReportedTask& task) const {
  if (task.cause != ExitCause::done) return true;
  auto job = jobs_.find(task.task.job);
  return job == jobs_.end() || job->second.cancelled || task.task.index >= job->second.spec.tasks ||
         job->second.result_on_record(task.task.index);
}

bool Cluster::awaits_answer(const wire::Report& report) const {
  auto found = machines_.find(report.machine);
  return found != machines_.end() && found->second.answer_open && found->second.session == report.session &&
         found->second.sequence == report.sequence;
}

void Cluster::answered(const MachineId& id, Time now) {
  auto found = machines_.find(id);
  if (found == machines_.end()) return;
  found->second.last_answer = now;
  found->second.answer_open = false;
  open_answers_.erase(&found->second);
}

Hold Cluster::hold(const MachineId& id) const {
  auto found = machines_.find(id);
  if (found == machines_.end() || !loaded_ || !found->second.trusted) return Hold::none;
  const Machine& machine = found->second;
  bool orders = false;
  for (const auto& task : machine.leftovers) {
    if (!result_on_record(task)) return Hold::save;
    orders = true;
  }
  for (const auto& task : machine.placements) {
    const Placement& placement = task.placement();
    const bool unsent = placement.unsent();
    if (unsent && !placement.stopping && !task.job->gang.broken && !task.job->place_on_record(task.index))
      return Hold::save;
    orders = orders || unsent || placement.stopping;
  }
  return orders || !machine.placements.empty() ? Hold::none : Hold::idle;
}

// ---- Time -------------------------------------------------------------------------------------------------

bool Cluster::lease_over(const Machine& machine, Time now) const {
  const double lease = config_.lease_s * (1 + 2 * limits::kDrift) + limits::kLeaseMargin;
  // Only a worker that has shown our token is known to live on our answers alone; one that an earlier
  // leader may still keep alive is waited for or deleted.
  return machine.trusted && now - std::max(machine.last_answer, machine.last_report) > lease;
}

void Cluster::expire_leases(Time now) {
  for (auto& [id, machine] : machines_) {
    if (machine.placements.empty()) continue;
    if (silent(machine, now)) withdraw_unsent(machine, now);
    if (!lease_over(machine, now)) continue;
    const auto placements = machine.placements;
    for (const auto& task : placements) {
      if (task.job->cancelled) continue;
      release(*task.job, task.index, now);
      drop_if_gone(*task.job, now);  // a gang that is done may have been waiting for this proof
    }
  }
}

void Cluster::delete_cancelled_work(Time now) {
  // A machine that hangs ends nothing: what it held when its lease ran out it holds until it goes on or is
  // deleted. Waited for like any silent machine, some held cancelled tasks past the time that these have.
  const double reserve_s = std::min(limits::kCancelReserve, limits::kCancelReserveShare * config_.cancel_s);
  std::vector<MachineId> held;
  for (auto& [id, machine] : machines_) {
    if (machine.returning || machine.state != MachineState::up || !silent(machine, now)) continue;
    const bool over = lease_over(machine, now);
    const bool due =
        std::any_of(machine.placements.begin(), machine.placements.end(), [&](const PlacedTask& task) {
          return task.job->cancelled && (over || now - task.job->cancelled_at > config_.cancel_s - reserve_s);
        });
    if (due) held.push_back(id);
  }
  give_back(std::move(held), now);
}

void Cluster::stop_for_notices(Machine& machine, Time now) {
  if (!machine.ends_at) return;
  withdraw_unsent(machine, now);
  const double left = *machine.ends_at - now;
  for (const auto& task : machine.placements) {
    const auto& spec = task.job->spec;
    Placement& placement = task.placement();
    if (placement.stopping) continue;
    if (task.job->is_gang()) {
      stop_gang_for_notice(*task.job, left, now);
      continue;
    }
    const double ran = placement.running_since > 0 ? now - placement.running_since : 0;
    const double remaining = std::max(0.0, task.job->expected_s - ran);
    if (spec.checkpoint_s > 0) {
      // Orders travel only with answers, so the last chance is a report period before it is needed.
      if (left <= spec.save_s + limits::kNoticeMargin + 1.25 * config_.report_s) stop(placement, spec.save_s);
    } else if (spec.shape == wire::Shape::service || remaining > left) {
      stop(placement, 0);  // it can't end here: the sooner it starts again elsewhere the better
    }
  }
}

void Cluster::on(const Tick&, Time now) {
  const auto outdated = [&](const auto& each) { return now - each.second > limits::kTombstone; };
  std::erase_if(tombstones_, outdated);
  std::erase_if(over_, outdated);
  if (!loaded_) return;
  if (!dead_keys_.empty()) discard(std::exchange(dead_keys_, {}));
  delete_cancelled_work(now);
  expire_leases(now);
  judge_machines(now);
  watch_gangs(now);
  for (auto& [id, machine] : machines_) {
    stop_for_notices(machine, now);
    leave_slow_machine(machine, now);
  }
  ranking_stale_ = true;
  find_scarce_types(now);
  place_gangs_anywhere(now);
  keep_room_for_gang(now);
  hold_reserve(now);
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
