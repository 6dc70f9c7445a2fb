// Gangs: jobs whose tasks all run at the same time or not at all. One attempt number covers all tasks; their
// machines are chosen together, stored together before the first start, and given up together.
#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

#include "constants.hpp"
#include "core/cluster.hpp"
#include "core/task_fit.hpp"

namespace dockdyke::core {

// ---- Records ----------------------------------------------------------------------------------------------

void Cluster::on(const GangPartLoaded& event, Time) {
  auto found = jobs_.find(event.part.job);
  if (found == jobs_.end() || !found->second.is_gang()) {
    dead_keys_.push_back(event.key);
    return;
  }
  Job& job = found->second;
  job.gang.keys.push_back(event.key);
  LoadedGang& loaded = loaded_gangs_[job.serial];
  if (event.part.attempt < loaded.attempt) return;
  if (event.part.attempt > loaded.attempt) loaded = {event.part.attempt, event.part.parts, 0, {}};
  ++loaded.seen;
  loaded.tasks.insert(loaded.tasks.end(), event.part.tasks.begin(), event.part.tasks.end());
}

void Cluster::take_over_gang(Job& job, Time now) {
  auto found = loaded_gangs_.find(job.serial);
  if (found == loaded_gangs_.end()) return;
  const LoadedGang& loaded = found->second;
  job.gang.attempt = loaded.attempt;
  // Every part is stored before the first start: with one missing, nothing was started under this number. It
  // is not used again, since a part may still be on its way to the store.
  if (loaded.seen != loaded.parts) return;
  job.gang.parts = job.gang.confirmed = loaded.parts;
  job.gang.assigned_at = now;
  job.next_unattempted = job.spec.task_count;
  for (const auto& task : loaded.tasks) {
    if (task.index >= job.spec.task_count || job.assignments.contains(task.index)) continue;
    TaskAssignment assignment;
    assignment.machine = &machine_named(task.machine, now);
    assignment.attempt = loaded.attempt;
    assignment.adopted = true;
    assignment.assigned_at = now;
    begin_assignment(job, task.index, assignment);
  }
}

std::optional<StateWrite> Cluster::next_gang_part() {
  while (!unwritten_parts_.empty()) {
    const GangPart part = std::move(unwritten_parts_.front());
    unwritten_parts_.pop_front();
    auto found = jobs_.find(part.job);
    if (found == jobs_.end()) continue;
    Job& job = found->second;
    // Given up before it was stored: the number is burned.
    if (job.cancelled || job.gang.aborted || job.gang.attempt != part.attempt) continue;
    StateWrite save;
    save.number = next_save_number_++;
    save.urgent = true;
    const std::string key = key::gang_part(part.job, part.attempt, part.part);
    save.transaction.preconditions.push_back({key, Revision(0)});
    // A copy that the store carries out late finds the job over, and leaves nothing behind.
    save.transaction.preconditions.push_back({key::active_job(part.job), job.version});
    save.transaction.puts.push_back({key, to_json(part), {}});
    InFlight in_flight;
    in_flight.gang = StoredGang{job.serial, part.attempt};
    saves_.emplace(save.number, std::move(in_flight));
    return save;
  }
  return std::nullopt;
}

void Cluster::gang_part_confirmed(const StoredGang& stored) {
  auto found = by_serial_.find(stored.job);
  if (found == by_serial_.end() || found->second->gang.attempt != stored.attempt) return;
  Job& job = *found->second;
  if (++job.gang.confirmed < job.gang.parts) return;
  // The records of earlier attempts are needed no more: all their tasks were gone before this one was made.
  const std::string present =
      key::kGangPrefix + job.spec.id.value + "/" + std::to_string(stored.attempt) + "/";
  // They stay in the list, since a late copy may bring them back; with the job's end all are removed.
  std::vector<std::string> earlier;
  for (const auto& key : job.gang.keys)
    if (!key.starts_with(present)) earlier.push_back(key);
  if (!earlier.empty()) discard(std::move(earlier));
}

void Cluster::gang_part_rejected(const StoredGang& stored) {
  // Written in smaller parts under the next number: an earlier try of this one may be stored all the same.
  auto found = by_serial_.find(stored.job);
  if (found != by_serial_.end() && found->second->gang.attempt == stored.attempt) break_gang(*found->second);
}

// ---- The life of an attempt -------------------------------------------------------------------------------

void Cluster::gang_done(Job& job, Time now) {
  if (job.complete() || job.cancelled) return;
  double took_s = 0;
  std::vector<TaskIndex> never_sent;
  for (const auto& [index, assignment] : job.assignments) {
    if (assignment.dispatched && assignment.running_since > 0)
      took_s = std::max(took_s, now - assignment.running_since);
    if (assignment.never_dispatched()) never_sent.push_back(index);
  }
  if (took_s > 0) estimates_.observe(job.spec.job_class, job.spec.estimated_run_s, took_s);
  // Tasks of a gang complete together: with one of them done, none is ever started again.
  for (auto& slot : job.tasks) slot.done = true;
  job.done_count = job.spec.task_count;
  job.started = true;
  job.terminal_write_pending = true;
  job.failures = 0;
  job.failed_machines.clear();
  unfinished_finals_.push_back(job.spec.id);
  ranking_stale_ = true;
  for (const auto index : never_sent) release(job, index, now);
}

void Cluster::break_gang(Job& job) {
  if (job.gang.aborted || job.complete() || job.cancelled) return;
  job.gang.aborted = true;
  broken_gangs_.push_back(job.serial);
}

void Cluster::gang_task_released(Job& job, Time now) {
  if (!job.assignments.empty()) {
    break_gang(job);
    return;
  }
  // All are proved gone: the next attempt may be made.
  job.gang.aborted = false;
  job.gang.failure_counted = false;
  job.requeued.clear();
  job.next_unattempted = 0;
  job.queued_since = now;
  ranking_stale_ = true;
}

bool Cluster::can_save_gang(const Job& job, Time now) const {
  if (job.spec.checkpoint_interval_s <= 0 || job.gang.aborted || job.gang.started_at == 0) return false;
  const bool all_reached = std::all_of(job.assignments.begin(), job.assignments.end(), [&](const auto& each) {
    const Machine& machine = *each.second.machine;
    return each.second.observed && each.second.state == wire::TaskState::running &&
           machine.token_acknowledged && machine.undelivered_responses == 0 && !silent(machine, now);
  });
  // What has run since the last checkpoint, as far as is known here, must be worth the time that saving
  // takes.
  const double unsaved_s = std::fmod(now - job.gang.started_at, job.spec.checkpoint_interval_s);
  return all_reached && job.assignments.size() == job.spec.task_count &&
         unsaved_s > job.spec.checkpoint_duration_s;
}

void Cluster::save_gang(Job& job) {
  job.gang.aborted = true;
  std::map<Machine*, std::vector<wire::Command>, ById> commands;
  for (auto& [index, assignment] : job.assignments) {
    assignment.stop(job.spec.checkpoint_duration_s + constants::kGangCheckpointMargin);
    commands[assignment.machine].push_back(
        {wire::CommandKind::stop, {job.spec.id, index}, assignment.attempt, assignment.grace_s});
  }
  // Where all are on one machine its next answer tells them at the same time.
  if (commands.size() < 2) return;
  for (auto& [machine, each] : commands)
    effects_.push(
        SendStopCommands{machine->id, machine->worker_address, machine->incarnation, std::move(each)});
}

void Cluster::stop_gang_for_notice(Job& job, double left_s, Time now) {
  if (job.gang.aborted || job.complete() || job.cancelled) return;
  const auto& spec = job.spec;
  const double ran = job.gang.started_at > 0 ? now - job.gang.started_at : 0;
  if (job.expected_run_s - ran <= left_s) return;  // it may well end before
  const double needed_s =
      spec.checkpoint_duration_s + constants::kTerminationNoticeMargin + 1.25 * config_.heartbeat_interval_s;
  if (spec.checkpoint_interval_s <= 0) {
    break_gang(job);  // nothing of it can be kept: the sooner it starts again elsewhere the better
  } else if (left_s <= needed_s && left_s > spec.checkpoint_duration_s && can_save_gang(job, now)) {
    save_gang(job);
  }
}

void Cluster::settle_gangs(Time now) {
  for (const auto serial : std::exchange(broken_gangs_, {})) {
    auto found = by_serial_.find(serial);
    if (found == by_serial_.end()) continue;
    Job& job = *found->second;
    if (!job.gang.aborted || job.cancelled || job.complete()) continue;
    std::vector<TaskIndex> never_sent;
    for (auto& [index, assignment] : job.assignments) {
      if (assignment.never_dispatched()) {
        never_sent.push_back(index);
      } else if (!assignment.stopping) {
        assignment.stop(0);
      }
    }
    for (const auto index : never_sent) release(job, index, now);
  }
}

void Cluster::watch_gangs(Time now) {
  const double most_s = std::min(constants::kGangAssemblyShare * config_.gang_assembly_timeout_s,
                                 constants::kGangAssemblyHeartbeats * config_.heartbeat_interval_s);
  for (auto& [id, job] : jobs_) {
    if (!job.is_gang() || job.assignments.empty() || job.gang.aborted || job.complete() || job.cancelled)
      continue;
    if (now - job.gang.assigned_at < most_s) continue;
    // Tasks that have begun to wait give up after `gang_wait_s`. A machine that has not shown its task by now
    // may not do so in time.
    for (auto& [index, assignment] : job.assignments) {
      if (assignment.observed || assignment.adopted) continue;
      assignment.machine->assignments_paused_until = now + constants::kNoCapacityBackoff;
      break_gang(job);
    }
  }
}

// ---- Places -----------------------------------------------------------------------------------------------

namespace {

struct Candidate {
  Machine* machine = nullptr;
  double fetch_s = 0;
  double cost = 0;
  std::size_t fits = 0;
};

// How good a set of places is: the gang starts when the slowest fetch is over, and the fewer machines it
// needs to hear from the sooner.
using Quality = std::tuple<double, std::size_t, double>;

struct Choice {
  std::vector<GangPlace> places;
  Quality quality;
};

// Takes candidates in order until all tasks have a place; nothing when they don't.
std::optional<Choice> choose(std::vector<Candidate> candidates, std::size_t tasks,
                             std::size_t most_per_zone) {
  std::sort(candidates.begin(), candidates.end(), [&](const Candidate& a, const Candidate& b) {
    const auto rank = [&](const Candidate& each) {
      return std::tuple(each.fetch_s, -static_cast<double>(std::min(each.fits, tasks)), each.cost);
    };
    return std::pair(rank(a), a.machine->id) < std::pair(rank(b), b.machine->id);
  });
  std::map<std::string, std::size_t> in_zone;
  Choice choice;
  double slowest = 0;
  double cost = 0;
  for (const auto& each : candidates) {
    std::size_t& there = in_zone[each.machine->zone];
    const std::size_t count = std::min({each.fits, tasks, most_per_zone - there});
    if (count == 0) continue;
    there += count;
    tasks -= count;
    slowest = std::max(slowest, each.fetch_s);
    cost += each.cost;
    choice.places.push_back({each.machine, count});
    if (tasks > 0) continue;
    choice.quality = {slowest, choice.places.size(), cost};
    return choice;
  }
  return std::nullopt;
}

}  // namespace

std::vector<GangPlace> Cluster::gang_places(const Job& job, const std::vector<Machine*>& machines, Time now) {
  const std::size_t tasks = job.spec.task_count;
  if (quota_headroom(job) < tasks) return {};
  const std::size_t most_per_zone =
      job.spec.spread ? (tasks + 1) / 2 : std::numeric_limits<std::size_t>::max();
  double largest = 1;
  for (const auto& type : types_) largest = std::max(largest, type.size.cpus);
  std::map<std::string, std::vector<Candidate>> groups;  // by zone where all tasks must share one
  scanned_ += machines.size();
  for (Machine* machine : machines) {
    if (machine->reserved_against(job, now)) continue;
    const auto cost = cost_of(job, *machine, largest);
    if (!cost) continue;
    Candidate candidate{machine, 0, *cost, tasks_fitting(job.spec.task_resources, room(*machine))};
    if (!machine->has_image(job.spec.image)) candidate.fetch_s = fetch_s(job, *machine);
    // All go at the pace of the slowest.
    candidate.fetch_s += constants::kStragglerSignCost * machine->straggler_signs;
    groups[job.spec.same_zone ? machine->zone : std::string()].push_back(candidate);
  }
  std::optional<Choice> best;
  for (auto& [zone, candidates] : groups) {
    auto choice = choose(std::move(candidates), tasks, most_per_zone);
    if (choice && (!best || choice->quality < best->quality)) best = std::move(choice);
  }
  return best ? std::move(best->places) : std::vector<GangPlace>{};
}

bool Cluster::place_gang(Job& job, const std::vector<Machine*>& machines, Time now) {
  if (job.failed_machines.size() >= constants::kSuspectJobMachines) job.failed_machines.clear();
  const auto places = gang_places(job, machines, now);
  if (places.empty()) return false;
  GangAttempt& gang = job.gang;
  ++gang.attempt;
  gang.aborted = false;
  gang.failure_counted = false;
  gang.confirmed = 0;
  gang.assigned_at = now;
  gang.started_at = 0;
  gang.machine_count = places.size();
  job.next_unattempted = job.spec.task_count;
  std::vector<TaskRecord> records;
  TaskIndex index = 0;
  for (const auto& place : places) {
    place.machine->reserved_for_gang = 0;
    for (std::size_t i = 0; i < place.tasks; ++i, ++index) {
      TaskAssignment assignment;
      assignment.machine = place.machine;
      assignment.attempt = gang.attempt;
      assignment.assigned_at = now;
      job.tasks[index].attempt = gang.attempt;
      begin_assignment(job, index, assignment);
      records.push_back({index, gang.attempt, place.machine->id, false});
    }
  }
  auto parts = split_gang(job.spec.id, gang.attempt, records, part_bytes_);
  gang.parts = static_cast<std::uint32_t>(parts.size());
  for (auto& part : parts) {
    gang.keys.push_back(key::gang_part(part.job, part.attempt, part.part));
    unwritten_parts_.push_back(std::move(part));
  }
  return true;
}

std::vector<Machine*> Cluster::accepting_machines(Time now) {
  std::vector<Machine*> out;
  for (auto& [id, machine] : machines_)
    if (accepts(machine, now)) out.push_back(&machine);
  return out;
}

void Cluster::place_gangs_anywhere(Time now) {
  std::optional<std::vector<Machine*>> machines;
  for (const auto& ranked : ranking(now)) {
    Job& job = *ranked.job;
    if (!job.is_gang() || job.waiting_tasks() == 0 || now < job.backoff_until) continue;
    if (now - job.queued_since < constants::kGangPlacementWaitShare * heartbeat_round_s()) continue;
    if (!machines) machines = accepting_machines(now);
    place_gang(job, *machines, now);
  }
}

bool Cluster::wants_quick_starts(const wire::JobSpec& spec) const {
  const auto wanted_s = quickest_start_s(spec.job_class);
  return wanted_s && *wanted_s < constants::kQuickStartTarget;
}

Job Cluster::model_gang(const wire::JobSpec& spec) const {
  Job job;
  job.spec = spec;
  update_compatible_types(job);
  return job;
}

void Cluster::hold_reserve(Time now) {
  double boot_s = 0;
  for (const auto& type : types_) boot_s = std::max(boot_s, type.boot_s);
  reserve_wanted_ = reserve_.wanted(boot_s, now);
  for (auto& [id, machine] : machines_) machine.in_gang_reserve = false;
  if (reserve_wanted_.empty()) return;
  const auto machines = accepting_machines(now);
  const auto recent_images = reserve_.images();
  const auto images_on = [&](const Machine& machine) {
    return static_cast<std::size_t>(
        std::count_if(machine.images.begin(), machine.images.end(),
                      [&](const auto& image) { return recent_images.contains(image.name); }));
  };
  for (const auto& wanted : reserve_wanted_) {
    if (wanted.largest.spot_allowed) continue;  // other work may use the same machines at no loss
    const Job gang = model_gang(wanted.largest);
    // Those that have most images first: a fetch alone may take longer than a quick start.
    using Rank = std::pair<std::size_t, std::size_t>;  // images, and tasks that fit
    std::vector<std::pair<Rank, Machine*>> rooms;
    for (Machine* machine : machines) {
      if (machine->in_gang_reserve || !allowed_on(gang, machine->type_number, machine->zone, machine->spot))
        continue;
      const auto fits = tasks_fitting(gang.spec.task_resources, room(*machine));
      const auto images = images_on(*machine);
      if (fits > 0) rooms.emplace_back(Rank(images, fits), machine);
    }
    std::stable_sort(rooms.begin(), rooms.end(),
                     [](const auto& a, const auto& b) { return a.first > b.first; });
    std::size_t missing = wanted.gangs * gang.spec.task_count;
    for (const auto& [rank, machine] : rooms) {
      if (missing == 0) break;
      machine->in_gang_reserve = true;
      missing -= std::min(missing, rank.second);
    }
  }
}

void Cluster::keep_room_for_gang(Time now) {
  bool any_kept = false;
  for (auto& [id, machine] : machines_) {
    if (machine.reserved_for_gang == 0) continue;
    const auto job = by_serial_.find(machine.reserved_for_gang);
    const bool waits = job != by_serial_.end() && job->second->waiting_tasks() > 0;
    if (!waits || now >= machine.reservation_expires_at) machine.reserved_for_gang = 0;
    any_kept = any_kept || machine.reserved_for_gang != 0;
  }
  if (any_kept || now < next_keeping_) return;
  for (const auto& ranked : ranking(now)) {
    Job& job = *ranked.job;
    if (!job.is_gang() || now < job.backoff_until ||
        now - job.queued_since < constants::kGangReservationDelay ||
        quota_headroom(job) < job.spec.task_count)
      continue;
    if (!keep_room(job, now)) continue;
    // For a bounded time, and then not for a while, so that what is kept out meanwhile is served as well.
    next_keeping_ = now + constants::kGangReservationTime + constants::kGangReservationPause;
    return;
  }
}

bool Cluster::keep_room(const Job& job, Time now) {
  std::map<std::string, std::vector<std::pair<std::size_t, Machine*>>> groups;
  for (Machine* machine : accepting_machines(now)) {
    if (!allowed_on(job, machine->type_number, machine->zone, machine->spot)) continue;
    if (job.failed_machines.contains(machine->id)) continue;
    wire::Resources free = room(*machine);
    for (const auto& task : machine->assignments) {
      const TaskAssignment& assignment = task.assignment();
      const double ran = assignment.ran_s(now);
      const bool ends = task.job->spec.kind != wire::JobKind::service &&
                        std::max(0.0, task.job->expected_run_s - ran) < constants::kGangReservationTime;
      if (ends || assignment.stopping) free += task.job->spec.task_resources;
    }
    if (const auto fits = tasks_fitting(job.spec.task_resources, free); fits > 0)
      groups[job.spec.same_zone ? machine->zone : std::string()].emplace_back(fits, machine);
  }
  for (auto& [zone, machines] : groups) {
    std::stable_sort(machines.begin(), machines.end(),
                     [](const auto& a, const auto& b) { return a.first > b.first; });
    std::size_t sum = 0;
    std::size_t count = 0;
    while (count < machines.size() && sum < job.spec.task_count) sum += machines[count++].first;
    if (sum < job.spec.task_count) continue;
    for (std::size_t i = 0; i < count; ++i) {
      machines[i].second->reserved_for_gang = job.serial;
      machines[i].second->reservation_expires_at = now + constants::kGangReservationTime;
    }
    return true;
  }
  return false;
}

}  // namespace dockdyke::core
