#include "core/preemption.hpp"

#include <algorithm>
#include <utility>

#include "constants.hpp"
#include "core/gang_scheduler.hpp"

namespace dockdyke::core {

Preemption::Preemption(ClusterState& state, const SchedulingConstraints& constraints, JobQueue& queue)
    : state_(state), constraints_(constraints), queue_(queue) {}

bool Preemption::may_preempt(const QueuedJob& claimant, const Job& victim) const {
  // A gang loses all that all its tasks did since their last checkpoint.
  if (victim.cancelled || victim.is_gang() || &victim == claimant.job) return false;
  const bool victim_within_share = queue_.within_fair_share(victim);
  if (claimant.within_fair_share && victim.spec.team != claimant.job->spec.team) return !victim_within_share;
  return victim.spec.priority < claimant.job->spec.priority && !victim_within_share;
}

std::vector<Preemption::Victim> Preemption::victims_on(const QueuedJob& claimant, const Machine& machine,
                                                       Time now) const {
  std::vector<Victim> victims;
  for (const auto& task : machine.assignments) {
    const auto& spec = task.job->spec;
    const TaskAssignment& assignment = task.assignment();
    if (assignment.stopping || !may_preempt(claimant, *task.job)) continue;
    const double lost_s = spec.checkpoint_interval_s > 0 ? spec.checkpoint_duration_s : assignment.ran_s(now);
    // Work for idle hours makes way before that of owners who wait for it.
    const auto above_low = static_cast<double>(spec.priority) - static_cast<double>(wire::Priority::low);
    victims.push_back({lost_s + constants::kPreemptionPriorityCostSeconds * above_low, task});
  }
  std::sort(victims.begin(), victims.end(),
            [](const Victim& a, const Victim& b) { return a.cost_s < b.cost_s; });
  return victims;
}

std::optional<Preemption::Plan> Preemption::plan_for(const QueuedJob& claimant, Machine& machine,
                                                     wire::Resources free, std::size_t wanted,
                                                     Time now) const {
  const auto& task_resources = claimant.job->spec.task_resources;
  Plan plan;
  plan.machine = &machine;
  double cost_s = 0;
  double cost_of_plan_s = 0;
  std::vector<AssignedTask> chosen;  // since the last one that made room for a task
  for (const auto& [victim_cost_s, task] : victims_on(claimant, machine, now)) {
    const bool above_low = task.job->spec.priority > wire::Priority::low;
    if (above_low && plan.tasks > 0) break;
    plan.above_low_priority = plan.above_low_priority || above_low;
    free += task.job->spec.task_resources;
    chosen.push_back(task);
    cost_s += victim_cost_s + 1;
    if (!task_resources.fits_into(free)) continue;
    for (; task_resources.fits_into(free); ++plan.tasks) free -= task_resources;
    plan.victims.insert(plan.victims.end(), chosen.begin(), chosen.end());
    cost_of_plan_s = cost_s;
    chosen.clear();
    if (plan.tasks >= wanted || plan.above_low_priority) break;
  }
  if (plan.tasks == 0) return std::nullopt;
  plan.cost_per_task = cost_of_plan_s / static_cast<double>(plan.tasks);
  return plan;
}

wire::Resources Preemption::capacity_after_stops(const Machine& machine) const {
  auto free = constraints_.free_capacity(machine);
  for (const auto& task : machine.assignments)
    if (task.assignment().stopping) free += task.job->spec.task_resources;
  return free;
}

Preemption::Search Preemption::search(const QueuedJob& claimant, const std::vector<Machine*>& machines,
                                      ClaimedCapacity& claimed, Time now) {
  const Job& job = *claimant.job;
  const auto& task_resources = job.spec.task_resources;
  const auto zones = constraints_.zone_capacity(job);
  Search out;
  // Room for all that waits: made for one task at a time, an array of two dozen took most of a minute. Where
  // zones matter it goes step by step all the same.
  out.wanted = zones ? 1 : std::min<std::size_t>(job.waiting_tasks(), constraints_.quota_headroom(job));
  state_.count_scanned(machines.size());
  for (Machine* machine : machines) {
    if (out.wanted == 0) break;
    if (!constraints_.allowed_on(job, *machine) || !has_zone_capacity(zones, machine->zone)) continue;
    if (job.failed_machines.contains(machine->id)) continue;
    auto free = capacity_after_stops(*machine);
    out.capacity_coming = out.capacity_coming || task_resources.fits_into(free);
    if (auto taken = claimed.find(machine); taken != claimed.end()) free -= taken->second;
    // What is free, or will be by earlier stops, is waited for.
    for (; out.wanted > 0 && task_resources.fits_into(free); --out.wanted) {
      free -= task_resources;
      claimed[machine] += task_resources;
    }
    if (auto plan = plan_for(claimant, *machine, free, out.wanted, now))
      out.plans.push_back(*std::move(plan));
  }
  return out;
}

void Preemption::make_room_for(const QueuedJob& claimant, const std::vector<Machine*>& machines,
                               ClaimedCapacity& claimed, Time now) {
  Search found = search(claimant, machines, claimed, now);
  std::stable_sort(found.plans.begin(), found.plans.end(),
                   [](const Plan& a, const Plan& b) { return a.cost_per_task < b.cost_per_task; });
  const auto& task_resources = claimant.job->spec.task_resources;
  for (const auto& plan : found.plans) {
    if (found.wanted == 0) break;
    // Where what is stopped is more than work for idle hours, room is made for one task at a time: most of an
    // array finds capacity that frees, and on a small fleet stopping all at once cost more than it gained.
    if (plan.above_low_priority && found.capacity_coming) continue;
    found.capacity_coming = true;
    const std::size_t tasks = std::min(found.wanted, plan.tasks);
    for (const auto& victim : plan.victims)
      victim.assignment().request_stop(victim.job->spec.checkpoint_duration_s);
    claimed[plan.machine] += task_resources * static_cast<double>(tasks);
    found.wanted -= tasks;
  }
}

std::optional<wire::Priority> Preemption::lowest_assigned_priority() const {
  std::optional<wire::Priority> lowest;
  for (const auto& [id, job] : state_.jobs())
    if (!job.assignments.empty()) lowest = std::min(lowest.value_or(job.spec.priority), job.spec.priority);
  return lowest;
}

bool Preemption::waits_long_enough(const Job& job, Time now) const {
  return job.waiting_tasks() > 0 && now >= job.backoff_ends_at &&
         now - job.queued_at >= constants::kPreemptionDelaySeconds && constraints_.quota_headroom(job) > 0;
}

void Preemption::run(Time now) {
  if (now - last_run_at_ < constants::kPreemptionIntervalSeconds) return;
  last_run_at_ = now;
  const auto lowest = lowest_assigned_priority();
  std::optional<std::vector<Machine*>> machines;  // found when the first job needs them
  ClaimedCapacity claimed;
  for (const auto& queued : queue_.ordered(now)) {
    const Job& job = *queued.job;
    // Nothing may be stopped for it. A pass over all machines for each waiting job of the lowest priority
    // took a third of the leader's processor time at 2,049 machines.
    if (!lowest || (job.spec.priority <= *lowest && !queued.within_fair_share)) continue;
    if (job.is_gang() || !waits_long_enough(job, now)) continue;
    if (!machines) machines = machines_accepting_work(state_, constraints_, now);
    make_room_for(queued, *machines, claimed, now);
  }
}

}  // namespace dockdyke::core
