#include "core/preemption.hpp"

#include <algorithm>
#include <utility>

#include "constants.hpp"
#include "core/gang_scheduler.hpp"

namespace dockdyke::core {

Preemption::Preemption(ClusterState& state, const SchedulingConstraints& constraints, JobQueue& queue)
    : state_(state), constraints_(constraints), queue_(queue) {}

bool Preemption::may_preempt(const QueuedJob& preemptor, const Job& victim) const {
  // Stopping one task of a gang loses the work of all its tasks since their last checkpoint.
  if (victim.cancelled || victim.is_gang() || &victim == preemptor.job) return false;
  const bool victim_within_fair_share = queue_.within_fair_share(victim);
  if (preemptor.within_fair_share && victim.spec.team != preemptor.job->spec.team)
    return !victim_within_fair_share;
  return victim.spec.priority < preemptor.job->spec.priority && !victim_within_fair_share;
}

std::vector<Preemption::Victim> Preemption::victims_on(const QueuedJob& preemptor, const Machine& machine,
                                                       Time now) const {
  std::vector<Victim> victims;
  for (const auto& task : machine.assignments) {
    const auto& spec = task.job->spec;
    const TaskAssignment& assignment = task.assignment();
    if (assignment.stopping || !may_preempt(preemptor, *task.job)) continue;
    const double lost_s = spec.checkpoint_interval_s > 0 ? spec.checkpoint_duration_s : assignment.ran_s(now);
    // The cost of a priority level exceeds most losses of work, so lower priorities are preempted first.
    const auto levels_above_low =
        static_cast<double>(spec.priority) - static_cast<double>(wire::Priority::low);
    victims.push_back({lost_s + constants::kPreemptionPriorityCostSeconds * levels_above_low, task});
  }
  std::sort(victims.begin(), victims.end(),
            [](const Victim& a, const Victim& b) { return a.cost_s < b.cost_s; });
  return victims;
}

std::optional<Preemption::Plan> Preemption::make_plan(const QueuedJob& preemptor, Machine& machine,
                                                      FreeCapacity free, std::size_t max_tasks,
                                                      Time now) const {
  const auto& task_resources = preemptor.job->spec.task_resources;
  Plan plan;
  plan.machine = &machine;
  double cost_s = 0;
  double plan_cost_s = 0;
  std::vector<AssignedTask> pending;  // victims that do not yet make another task fit
  for (const auto& [victim_cost_s, task] : victims_on(preemptor, machine, now)) {
    const bool above_low = task.job->spec.priority > wire::Priority::low;
    if (above_low && plan.fitting_tasks > 0) break;
    plan.above_low_priority = plan.above_low_priority || above_low;
    free.resources += task.job->spec.task_resources;
    pending.push_back(task);
    cost_s += victim_cost_s + 1;
    const std::size_t fitting_tasks = free.tasks_fitting(task_resources);
    if (fitting_tasks == 0) continue;
    free.take(task_resources * static_cast<double>(fitting_tasks), fitting_tasks);
    plan.fitting_tasks += fitting_tasks;
    plan.victims.insert(plan.victims.end(), pending.begin(), pending.end());
    plan_cost_s = cost_s;
    pending.clear();
    if (plan.fitting_tasks >= max_tasks || plan.above_low_priority) break;
  }
  if (plan.fitting_tasks == 0) return std::nullopt;
  plan.cost_per_task = plan_cost_s / static_cast<double>(plan.fitting_tasks);
  return plan;
}

FreeCapacity Preemption::capacity_after_stops(const Machine& machine) const {
  auto free = constraints_.free_capacity(machine);
  for (const auto& task : machine.assignments)
    if (task.assignment().stopping) free.resources += task.job->spec.task_resources;
  return free;
}

Preemption::Demand Preemption::find_demand(const QueuedJob& preemptor, const std::vector<Machine*>& machines,
                                           ClaimedCapacity& claimed, Time now) {
  const Job& job = *preemptor.job;
  const auto& task_resources = job.spec.task_resources;
  const auto zones = constraints_.zone_capacity(job);
  Demand demand;
  // Covers all waiting tasks at once, so that a job array need not wait for one pass per task. With zone
  // constraints each assignment changes the allowed zones, so only one task is covered.
  demand.tasks = zones ? 1 : std::min<std::size_t>(job.waiting_tasks(), constraints_.quota_headroom(job));
  state_.count_scanned(machines.size());
  for (Machine* machine : machines) {
    if (!constraints_.allowed_on(job, *machine) || !has_zone_capacity(zones, machine->zone)) continue;
    if (job.failed_machines.contains(machine->id)) continue;
    auto free = capacity_after_stops(*machine);
    demand.capacity_expected = demand.capacity_expected || free.fits(task_resources);
    if (auto claim = claimed.find(machine); claim != claimed.end())
      free.take(claim->second.resources, claim->second.tasks);
    // Tasks that fit without further stops need no preemption.
    if (const auto tasks = std::min(demand.tasks, free.tasks_fitting(task_resources)); tasks > 0) {
      free.take(task_resources * static_cast<double>(tasks), tasks);
      claimed[machine].add(task_resources, tasks);
      demand.tasks -= tasks;
    }
    if (demand.tasks == 0) break;
    if (auto plan = make_plan(preemptor, *machine, free, demand.tasks, now))
      demand.plans.push_back(*std::move(plan));
  }
  return demand;
}

void Preemption::preempt_for(const QueuedJob& preemptor, const std::vector<Machine*>& machines,
                             ClaimedCapacity& claimed, Time now) {
  Demand demand = find_demand(preemptor, machines, claimed, now);
  std::stable_sort(demand.plans.begin(), demand.plans.end(),
                   [](const Plan& a, const Plan& b) { return a.cost_per_task < b.cost_per_task; });
  const auto& task_resources = preemptor.job->spec.task_resources;
  for (const auto& plan : demand.plans) {
    if (demand.tasks == 0) break;
    // Victims above the lowest priority are stopped for one waiting task at a time: most tasks of a job array
    // get capacity from tasks that complete without being stopped.
    if (plan.above_low_priority && demand.capacity_expected) continue;
    demand.capacity_expected = true;
    const std::size_t tasks = std::min(demand.tasks, plan.fitting_tasks);
    for (const auto& victim : plan.victims)
      victim.assignment().request_stop(victim.job->spec.checkpoint_duration_s);
    claimed[plan.machine].add(task_resources, tasks);
    demand.tasks -= tasks;
  }
}

std::optional<wire::Priority> Preemption::lowest_assigned_priority() const {
  std::optional<wire::Priority> lowest;
  for (const auto& [id, job] : state_.jobs())
    if (!job.assignments.empty()) lowest = std::min(lowest.value_or(job.spec.priority), job.spec.priority);
  return lowest;
}

bool Preemption::eligible_to_preempt(const Job& job, Time now) const {
  return job.waiting_tasks() > 0 && now >= job.backoff_ends_at &&
         now - job.queued_at >= constants::kPreemptionDelaySeconds && constraints_.quota_headroom(job) > 0;
}

void Preemption::run(Time now) {
  if (now - last_run_at_ < constants::kPreemptionIntervalSeconds) return;
  last_run_at_ = now;
  const auto lowest = lowest_assigned_priority();
  std::optional<std::vector<Machine*>> machines;  // computed when the first job needs them
  ClaimedCapacity claimed;
  for (const auto& queued : queue_.ordered(now)) {
    const Job& job = *queued.job;
    // Skips jobs that may not preempt any task, before the costly pass over all machines.
    if (!lowest || (job.spec.priority <= *lowest && !queued.within_fair_share)) continue;
    if (job.is_gang() || !eligible_to_preempt(job, now)) continue;
    if (!machines) machines = machines_accepting_work(state_, constraints_, now);
    preempt_for(queued, *machines, claimed, now);
  }
}

}  // namespace dockdyke::core
