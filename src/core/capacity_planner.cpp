#include "core/capacity_planner.hpp"

#include <algorithm>
#include <utility>

#include "constants.hpp"
#include "core/task_fit.hpp"

namespace dockdyke::core {

CapacityPlanner::CapacityPlanner(const ClusterState& state, const SchedulingConstraints& constraints,
                                 JobQueue& queue, const ScaleOutRequests& scale_out,
                                 const OfferingSelector& selector, const ScarceTypes& scarce_types,
                                 const GangReservations& gang_reservations)
    : state_(state),
      constraints_(constraints),
      queue_(queue),
      scale_out_(scale_out),
      selector_(selector),
      scarce_types_(scarce_types),
      gang_reservations_(gang_reservations),
      available_capacity_(state, constraints, queue, scale_out) {}

CapacityPlanner::Plan CapacityPlanner::begin_plan(std::vector<MachineGroup> groups,
                                                  std::size_t max_machines) const {
  Plan plan;
  plan.groups = std::move(groups);
  plan.machine_budget = max_machines;
  for (const auto& [id, machine] : state_.machines()) ++plan.machines_by_zone[machine.zone];
  for (const auto& [id, pending] : scale_out_.pending())
    plan.machines_by_zone[pending.request.zone] += pending.request.count;
  return plan;
}

// ---- Planning of one job ----------------------------------------------------------------------------------

bool CapacityPlanner::may_use(const JobDemand& demand, const MachineGroup& group) const {
  return !demand.avoided_types.contains(group.type) &&
         constraints_.allowed_on(demand.job, group.type, group.zone, group.spot) &&
         has_zone_capacity(demand.zones, group.zone);
}

void CapacityPlanner::place_on_group(Plan& plan, JobDemand& demand, std::size_t group_index) const {
  const MachineGroup group = plan.groups[group_index];
  if (!may_use(demand, group)) return;
  const auto& spec = demand.job.spec;
  const std::size_t per_machine = group.free.tasks_fitting(spec.task_resources);
  std::size_t placed = std::min(demand.tasks, per_machine * group.machines);
  if (demand.zones) placed = std::min(placed, demand.zones->at(group.zone));
  if (placed == 0) return;
  // Moves machines that get tasks to a new group with their remaining free capacity.
  const auto split_off = [&](std::size_t machines, std::size_t tasks_each) {
    if (machines == 0) return;
    MachineGroup rest = group;
    rest.free.take(spec.task_resources * static_cast<double>(tasks_each), tasks_each);
    rest.machines = machines;
    plan.groups[group_index].machines -= machines;
    plan.groups.push_back(std::move(rest));
  };
  split_off(placed / per_machine, per_machine);
  if (placed % per_machine != 0) split_off(1, placed % per_machine);
  demand.tasks -= placed;
  if (demand.zones && spec.spread) demand.zones->at(group.zone) -= placed;
  if (demand.zones && spec.same_zone) restrict_to_zone(demand.zones, group.zone);
}

bool CapacityPlanner::place_on_available_machines(Plan& plan, JobDemand& demand) const {
  const std::size_t groups = plan.groups.size();
  bool any_group_allowed = false;
  for (std::size_t i = 0; i < groups; ++i) {
    const MachineGroup& group = plan.groups[i];
    if (group.machines == 0) continue;
    any_group_allowed =
        any_group_allowed || constraints_.allowed_on(demand.job, group.type, group.zone, group.spot);
    if (demand.tasks > 0) place_on_group(plan, demand, i);
  }
  std::erase_if(plan.groups, [](const MachineGroup& group) { return group.machines == 0; });
  return any_group_allowed;
}

std::optional<InstanceOffering> CapacityPlanner::select_offering(const Plan& plan, const JobDemand& demand,
                                                                 bool allow_on_demand, Time now) const {
  return selector_.select(
      {demand.job, demand.tasks, allow_on_demand, demand.avoided_types, demand.zones, plan.machines_by_zone},
      now);
}

std::optional<std::string> CapacityPlanner::select_zone_for_gang(const Plan& plan, const JobDemand& demand,
                                                                 bool allow_on_demand, Time now) const {
  std::map<std::string, std::size_t> capacity_by_zone;
  for (const auto& group : plan.groups)
    if (may_use(demand, group))
      capacity_by_zone[group.zone] +=
          group.free.tasks_fitting(demand.job.spec.task_resources) * group.machines;
  for (const auto& [zone, tasks] : capacity_by_zone)
    if (tasks >= demand.tasks) return zone;
  // No zone has capacity for the whole gang, so the rest is requested in the zone of the selected offering.
  const auto offering = select_offering(plan, demand, allow_on_demand, now);
  return offering ? std::optional(offering->zone) : std::nullopt;
}

void CapacityPlanner::request_machines(Plan& plan, JobDemand& demand, bool allow_on_demand, Time now) const {
  while (demand.tasks > 0 && plan.machine_budget > 0) {
    const auto offering = select_offering(plan, demand, allow_on_demand, now);
    if (!offering) return;
    const auto type = state_.type_number(offering->type);
    const auto empty = empty_machine_capacity(state_.types()[type]);
    const std::size_t per_machine =
        std::max<std::size_t>(1, empty.tasks_fitting(demand.job.spec.task_resources));
    const std::size_t machines = (demand.tasks + per_machine - 1) / per_machine;
    // With zone constraints, each placement may change the offering for the next machine.
    const std::size_t count =
        demand.zones ? 1 : std::min({plan.machine_budget, machines, constants::kMaxMachinesPerScaleOut});
    plan.groups.push_back({type, offering->zone, offering->spot, empty, count});
    plan.machines_to_request[*offering] += count;
    plan.machines_by_zone[offering->zone] += count;
    plan.machine_budget -= count;
    const auto tasks_before = demand.tasks;
    place_on_group(plan, demand, plan.groups.size() - 1);
    if (demand.tasks == tasks_before) return;
  }
}

void CapacityPlanner::plan_job(Plan& plan, const QueuedJob& queued, JobDemand& demand, Time now) const {
  const Job& job = demand.job;
  const bool allow_on_demand = selector_.needs_on_demand(queued, now);
  if (job.is_gang() && job.spec.same_zone) {
    // A gang that must share a zone only starts if all its tasks fit in one, so it is planned for a single
    // zone.
    const auto zone = select_zone_for_gang(plan, demand, allow_on_demand, now);
    if (!zone) return;
    restrict_to_zone(demand.zones, *zone);
  }
  const bool any_group_allowed = place_on_available_machines(plan, demand);
  // Waits `kScaleOutDelaySeconds` for machines to become free before requesting more, unless the job is
  // allowed on none of the available ones.
  if (demand.tasks == 0 || (any_group_allowed && now - job.queued_at < constants::kScaleOutDelaySeconds))
    return;
  request_machines(plan, demand, allow_on_demand, now);
}

// ---- Planning of all jobs ---------------------------------------------------------------------------------

CapacityPlanner::MachinesToRequest CapacityPlanner::machines_for_expected_gangs(std::size_t max_machines,
                                                                                Time now) {
  const auto& expected = gang_reservations_.expected_gangs();
  if (expected.empty()) return {};
  // Capacity that will soon be free is not counted, as other jobs are likely to need it by then.
  Plan plan = begin_plan(available_capacity_.groups(false, now), 0);
  // Places the waiting gangs first, without requesting machines for them.
  for (const auto& queued : queue_.ordered(now)) {
    const Job& job = *queued.job;
    if (!job.is_gang() || job.waiting_tasks() == 0) continue;
    JobDemand demand{job, job.waiting_tasks(), constraints_.zone_capacity(job), {}};
    plan_job(plan, queued, demand, now);
  }
  plan.machine_budget = max_machines;
  for (const auto& each : expected) {
    Job gang = gang_reservations_.make_hypothetical_job(each.largest_gang);
    QueuedJob queued;
    queued.job = &gang;
    for (std::size_t i = 0; i < each.count; ++i) {
      JobDemand demand{gang, gang.spec.task_count, constraints_.zone_capacity(gang), {}};
      plan_job(plan, queued, demand, now);
    }
  }
  return std::move(plan.machines_to_request);
}

CapacityPlanner::MachinesToRequest CapacityPlanner::machines_for_waiting_jobs(std::size_t max_machines,
                                                                              Time now) {
  Plan plan = begin_plan(available_capacity_.groups(true, now), max_machines);
  waiting_tasks_ = 0;
  for (const auto& queued : queue_.ordered(now)) {
    const Job& job = *queued.job;
    if (job.waiting_tasks() == 0 || now < job.backoff_ends_at || waiting_tasks_ >= constants::kMaxDemandTasks)
      continue;
    const std::size_t quota_headroom = constraints_.quota_headroom(job);
    if (job.is_gang() && quota_headroom < job.waiting_tasks()) continue;
    const std::size_t tasks = std::min<std::size_t>(
        {job.waiting_tasks(), quota_headroom, constants::kMaxDemandTasks - waiting_tasks_});
    JobDemand demand{job, tasks, constraints_.zone_capacity(job), scarce_types_.types_to_avoid(queued, now)};
    waiting_tasks_ += tasks;
    plan_job(plan, queued, demand, now);
  }
  return std::move(plan.machines_to_request);
}

}  // namespace dockdyke::core
