// Room made for waiting jobs by stopping lesser work.
#include <algorithm>
#include <utility>

#include "constants.hpp"
#include "core/cluster.hpp"

namespace dockdyke::core {

bool Cluster::may_stop(const Ranked& claimant, const Job& victim) const {
  // A gang loses all that all its tasks did since their last checkpoint.
  if (victim.cancelled || victim.is_gang() || &victim == claimant.job) return false;
  if (claimant.guaranteed && victim.spec.team != claimant.job->spec.team)
    return !guaranteed_.contains(victim.spec.id);
  return victim.spec.priority < claimant.job->spec.priority && !guaranteed_.contains(victim.spec.id);
}

// What stopping some tasks of one machine would cost, and the room that it would make.
struct Cluster::Chance {
  double loss = 0;  // for each task that it makes room for
  Machine* machine = nullptr;
  std::vector<AssignedTask> victims;
  std::size_t tasks = 0;
  bool dear = false;  // some of what is stopped is more than work for idle hours
};

std::vector<std::pair<double, AssignedTask>> Cluster::victims_on(const Ranked& claimant,
                                                                 const Machine& machine, Time now) const {
  std::vector<std::pair<double, AssignedTask>> victims;
  for (const auto& task : machine.assignments) {
    const Job& other = *task.job;
    const TaskAssignment& assignment = task.assignment();
    if (assignment.stopping || !may_stop(claimant, other)) continue;
    const double ran = assignment.ran_s(now);
    // Work for idle hours makes way before that of owners who wait for it.
    const auto above_low =
        static_cast<double>(other.spec.priority) - static_cast<double>(wire::Priority::low);
    victims.emplace_back((other.spec.checkpoint_interval_s > 0 ? other.spec.checkpoint_duration_s : ran) +
                             constants::kPreemptionPriorityCost * above_low,
                         task);
  }
  std::sort(victims.begin(), victims.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
  return victims;
}

std::optional<Cluster::Chance> Cluster::find_chance(const Ranked& claimant, Machine& machine,
                                                    wire::Resources free, std::size_t wanted,
                                                    Time now) const {
  const auto& each = claimant.job->spec.task_resources;
  Chance chance;
  chance.machine = &machine;
  double loss = 0;
  std::vector<AssignedTask> chosen;
  for (const auto& [cost, task] : victims_on(claimant, machine, now)) {
    const bool dear = task.job->spec.priority > wire::Priority::low;
    if (dear && chance.tasks > 0) break;
    chance.dear = chance.dear || dear;
    free += task.job->spec.task_resources;
    chosen.push_back(task);
    loss += cost + 1;
    if (!each.fits_into(free)) continue;
    for (; each.fits_into(free); ++chance.tasks) free -= each;
    chance.victims.insert(chance.victims.end(), chosen.begin(), chosen.end());
    chance.loss = loss;
    chosen.clear();
    if (chance.tasks >= wanted || chance.dear) break;
  }
  if (chance.tasks == 0) return std::nullopt;
  chance.loss /= static_cast<double>(chance.tasks);
  return chance;
}

wire::Resources Cluster::room_after_stops(const Machine& machine) const {
  auto free = room(machine);
  for (const auto& task : machine.assignments)
    if (task.assignment().stopping) free += task.job->spec.task_resources;
  return free;
}

void Cluster::make_room_for(const Ranked& claimant, const std::vector<Machine*>& open, ClaimedRoom& claimed,
                            Time now) {
  const Job& job = *claimant.job;
  const auto& each = job.spec.task_resources;
  const auto zones = zone_room(job);
  // Room for all that waits: made for one task at a time, an array of two dozen took most of a minute.
  // Where zones matter, and where what is stopped is more than work for idle hours, it goes step by step
  // all the same: most of an array finds room that frees, and on a small fleet stopping all at once cost
  // more than it gained.
  std::size_t wanted = zones ? 1 : std::min<std::size_t>(job.waiting_tasks(), quota_headroom(job));
  bool coming = false;  // room for one task at least, whoever else counts on it
  std::vector<Chance> chances;
  scanned_ += open.size();
  for (Machine* machine : open) {
    if (wanted == 0) break;
    if (!allowed_on(job, machine->type_number, machine->zone, machine->spot)) continue;
    if (zones && (!zones->contains(machine->zone) || zones->at(machine->zone) == 0)) continue;
    if (job.failed_machines.contains(machine->id)) continue;
    auto free = room_after_stops(*machine);
    coming = coming || each.fits_into(free);
    if (auto taken = claimed.find(machine); taken != claimed.end()) free -= taken->second;
    // What is free or will be by earlier stops is waited for.
    for (; wanted > 0 && each.fits_into(free); --wanted) {
      free -= each;
      claimed[machine] += each;
    }
    if (auto chance = find_chance(claimant, *machine, free, wanted, now))
      chances.push_back(*std::move(chance));
  }
  std::stable_sort(chances.begin(), chances.end(),
                   [](const Chance& a, const Chance& b) { return a.loss < b.loss; });
  for (const auto& chance : chances) {
    if (wanted == 0) break;
    if (chance.dear && coming) continue;
    coming = true;
    const std::size_t tasks = std::min(wanted, chance.tasks);
    for (const auto& victim : chance.victims)
      victim.assignment().stop(victim.job->spec.checkpoint_duration_s);
    claimed[chance.machine] += each * static_cast<double>(tasks);
    wanted -= tasks;
  }
}

void Cluster::make_room(Time now) {
  std::optional<wire::Priority> least;  // of work that has places
  for (const auto& [id, job] : jobs_)
    if (!job.assignments.empty()) least = std::min(least.value_or(job.spec.priority), job.spec.priority);
  std::optional<std::vector<Machine*>> open;  // worked out when the first job needs it
  ClaimedRoom claimed;
  for (const auto& ranked : ranking(now)) {
    const Job& job = *ranked.job;
    // Nothing may be stopped for it. A pass over all machines for each waiting job of the lowest priority
    // took a third of the leader's processor time at 2,049 machines.
    if (!least || (job.spec.priority <= *least && !ranked.guaranteed)) continue;
    if (job.is_gang() || job.waiting_tasks() == 0 || now < job.backoff_until ||
        now - job.queued_since < constants::kPreemptionDelay || quota_headroom(job) == 0)
      continue;
    if (!open) open = accepting_machines(now);
    make_room_for(ranked, *open, claimed, now);
  }
}

}  // namespace dockdyke::core
