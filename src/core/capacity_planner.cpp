#include "core/capacity_planner.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "constants.hpp"
#include "core/completion_forecast.hpp"
#include "core/objectives.hpp"
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
      gang_reservations_(gang_reservations) {}

// ---- Free capacity ----------------------------------------------------------------------------------------

std::vector<bool> CapacityPlanner::types_under_pressure(Time now) {
  std::vector<bool> under_pressure(state_.types().size());
  for (const auto& queued : queue_.ordered(now)) {
    const Job& job = *queued.job;
    if (job.waiting_tasks() == 0 || now < job.backoff_until) continue;
    const auto start_s = start_target_s(state_.config(), job.spec.job_class);
    if (!start_s) continue;
    const double patience_s = std::max(constants::kScaleOutDelay, constants::kStartPressureShare * *start_s);
    if (now - job.queued_since <= patience_s) continue;
    for (std::size_t type = 0; type < under_pressure.size(); ++type)
      under_pressure[type] = under_pressure[type] || job.compatible_with(type);
  }
  return under_pressure;
}

wire::Resources CapacityPlanner::freeing_capacity(const Machine& machine, bool under_pressure,
                                                  Time now) const {
  wire::Resources freeing;
  for (const auto& task : machine.assignments) {
    const bool soon = under_pressure
                          ? nearly_done(*task.job, task.assignment(), now)
                          : ends_before_new_machine_boots(state_, *task.job, task.assignment(), now);
    if (soon) freeing += task.job->spec.task_resources;
  }
  return freeing;
}

namespace {

// Free capacity in steps of `kCapacityStep`.
struct CapacitySteps {
  long cpus = 0;
  long gpus = 0;
  long memory = 0;
  auto operator<=>(const CapacitySteps&) const = default;
};

CapacitySteps steps_of(const wire::Resources& free) {
  const auto steps = [](double amount) {
    return static_cast<long>(std::floor(amount / constants::kCapacityStep + 1e-6));
  };
  return {steps(free.cpus), steps(free.gpus), steps(free.memory_gb)};
}

wire::Resources resources_of(const CapacitySteps& steps) {
  return wire::Resources{static_cast<double>(steps.cpus), static_cast<double>(steps.gpus),
                         static_cast<double>(steps.memory)} *
         constants::kCapacityStep;
}

struct GroupKey {
  std::size_t type = 0;
  std::string zone;
  bool spot = false;
  CapacitySteps free;
  auto operator<=>(const GroupKey&) const = default;
};

}  // namespace

std::vector<CapacityPlanner::MachineGroup> CapacityPlanner::group_machines(bool include_freeing, Time now) {
  const auto under_pressure = types_under_pressure(now);
  std::map<GroupKey, std::size_t> counts;
  const auto add = [&](std::size_t type, const std::string& zone, bool spot, const wire::Resources& free,
                       std::size_t machines) {
    GroupKey key{type, zone, spot, steps_of(free)};
    if (key.free.cpus > 0) counts[std::move(key)] += machines;
  };
  for (const auto& [id, machine] : state_.machines()) {
    if (!state_.type_of(machine) || machine.scale_in_requested || machine.draining || machine.terminates_at)
      continue;
    wire::Resources free = constraints_.free_capacity(machine);
    if (machine.state == MachineState::up) {
      if (!constraints_.accepts_work(machine, now)) continue;
      if (include_freeing) free += freeing_capacity(machine, under_pressure[machine.type_number], now);
    } else if (machine.state != MachineState::booting || constraints_.boot_overdue(machine, now)) {
      continue;
    }
    add(machine.type_number, machine.zone, machine.spot, free, 1);
  }
  for (const auto& [id, pending] : scale_out_.pending()) {
    const auto& request = pending.request;
    if (const auto type = state_.type_number(request.type); type != kNoType)
      add(type, request.zone, request.spot, state_.types()[type].size, request.count);
  }
  std::vector<MachineGroup> groups;
  groups.reserve(counts.size());
  for (const auto& [key, machines] : counts)
    groups.push_back({key.type, key.zone, key.spot, resources_of(key.free), machines});
  return groups;
}

CapacityPlanner::Plan CapacityPlanner::begin_plan(std::vector<MachineGroup> groups,
                                                  std::size_t max_machines) const {
  Plan plan;
  plan.groups = std::move(groups);
  plan.max_machines = max_machines;
  for (const auto& [id, machine] : state_.machines()) ++plan.machines_by_zone[machine.zone];
  for (const auto& [id, pending] : scale_out_.pending())
    plan.machines_by_zone[pending.request.zone] += pending.request.count;
  return plan;
}

// ---- A job's claim ----------------------------------------------------------------------------------------

namespace {

// Leaves the job only this zone.
void close_other_zones(ZoneCapacity& zones, const std::string& zone) {
  for (auto& [name, capacity] : *zones)
    if (name != zone) capacity = 0;
}

}  // namespace

bool CapacityPlanner::may_use(const Claim& claim, const MachineGroup& group) const {
  return !claim.avoided_types.contains(group.type) &&
         constraints_.allowed_on(claim.job, group.type, group.zone, group.spot) &&
         has_zone_capacity(claim.zones, group.zone);
}

void CapacityPlanner::fill_group(Plan& plan, Claim& claim, std::size_t index) const {
  const MachineGroup group = plan.groups[index];
  if (!may_use(claim, group)) return;
  const auto& spec = claim.job.spec;
  const std::size_t per_machine = tasks_fitting(spec.task_resources, group.free);
  std::size_t fits = std::min(claim.tasks, per_machine * group.machines);
  if (claim.zones) fits = std::min(fits, claim.zones->at(group.zone));
  if (fits == 0) return;
  // What is left of machines that get tasks is a group of its own.
  const auto split_off = [&](std::size_t machines, std::size_t tasks_each) {
    if (machines == 0) return;
    MachineGroup rest = group;
    rest.free -= spec.task_resources * static_cast<double>(tasks_each);
    rest.machines = machines;
    plan.groups[index].machines -= machines;
    plan.groups.push_back(std::move(rest));
  };
  split_off(fits / per_machine, per_machine);
  if (fits % per_machine != 0) split_off(1, fits % per_machine);
  claim.tasks -= fits;
  if (claim.zones && spec.spread) claim.zones->at(group.zone) -= fits;
  if (claim.zones && spec.same_zone) close_other_zones(claim.zones, group.zone);
}

bool CapacityPlanner::fill_present_machines(Plan& plan, Claim& claim) const {
  const std::size_t groups = plan.groups.size();
  bool any_allowed = false;
  for (std::size_t i = 0; i < groups; ++i) {
    const MachineGroup& group = plan.groups[i];
    if (group.machines == 0) continue;
    any_allowed = any_allowed || constraints_.allowed_on(claim.job, group.type, group.zone, group.spot);
    if (claim.tasks > 0) fill_group(plan, claim, i);
  }
  std::erase_if(plan.groups, [](const MachineGroup& group) { return group.machines == 0; });
  return any_allowed;
}

std::optional<InstanceOffering> CapacityPlanner::select_offering(const Plan& plan, const Claim& claim,
                                                                 bool allow_on_demand, Time now) const {
  return selector_.select(
      {claim.job, claim.tasks, allow_on_demand, claim.avoided_types, claim.zones, plan.machines_by_zone},
      now);
}

std::optional<std::string> CapacityPlanner::zone_for_gang(const Plan& plan, const Claim& claim,
                                                          bool allow_on_demand, Time now) const {
  std::map<std::string, std::size_t> fits;
  for (const auto& group : plan.groups)
    if (may_use(claim, group))
      fits[group.zone] += tasks_fitting(claim.job.spec.task_resources, group.free) * group.machines;
  for (const auto& [zone, tasks] : fits)
    if (tasks >= claim.tasks) return zone;
  // None holds the whole gang: where the rest is requested.
  const auto offering = select_offering(plan, claim, allow_on_demand, now);
  return offering ? std::optional(offering->zone) : std::nullopt;
}

void CapacityPlanner::request_rest(Plan& plan, Claim& claim, bool allow_on_demand, Time now) const {
  while (claim.tasks > 0 && plan.max_machines > 0) {
    const auto offering = select_offering(plan, claim, allow_on_demand, now);
    if (!offering) return;
    const auto type = state_.type_number(offering->type);
    const auto& size = state_.types()[type].size;
    const std::size_t per_machine =
        std::max<std::size_t>(1, tasks_fitting(claim.job.spec.task_resources, size));
    const std::size_t machines = (claim.tasks + per_machine - 1) / per_machine;
    // As many as it needs, but one by one where its zones matter for the next.
    const std::size_t count =
        claim.zones ? 1 : std::min({plan.max_machines, machines, constants::kMaxMachinesPerScaleOut});
    plan.groups.push_back({type, offering->zone, offering->spot, size, count});
    plan.need[*offering] += count;
    plan.machines_by_zone[offering->zone] += count;
    plan.max_machines -= count;
    const auto before = claim.tasks;
    fill_group(plan, claim, plan.groups.size() - 1);
    if (claim.tasks == before) return;
  }
}

void CapacityPlanner::serve(Plan& plan, const QueuedJob& queued, Claim& claim, Time now) const {
  const Job& job = claim.job;
  const bool allow_on_demand = selector_.needs_on_demand(queued, now);
  if (job.is_gang() && job.spec.same_zone) {
    // In one zone as a whole: parts of it in several would never start.
    const auto zone = zone_for_gang(plan, claim, allow_on_demand, now);
    if (!zone) return;
    close_other_zones(claim.zones, *zone);
  }
  const bool any_allowed = fill_present_machines(plan, claim);
  // Machines that are about to become free are waited for shortly; a task that no present machine could hold
  // is not.
  if (claim.tasks == 0 || (any_allowed && now - job.queued_since < constants::kScaleOutDelay)) return;
  request_rest(plan, claim, allow_on_demand, now);
}

// ---- Needs ------------------------------------------------------------------------------------------------

CapacityPlanner::Need CapacityPlanner::need_of_expected_gangs(std::size_t max_machines, Time now) {
  const auto& expected = gang_reservations_.expected();
  if (expected.empty()) return {};
  // Capacity that is about to become free is no reserve: at any time, as much is about to be asked for.
  Plan plan = begin_plan(group_machines(false, now), 0);
  for (const auto& queued : queue_.ordered(now)) {
    const Job& job = *queued.job;
    if (!job.is_gang() || job.waiting_tasks() == 0) continue;
    Claim claim{job, job.waiting_tasks(), constraints_.zone_capacity(job), {}};
    serve(plan, queued, claim, now);
  }
  plan.max_machines = max_machines;
  for (const auto& each : expected) {
    Job gang = gang_reservations_.model_job(each.largest);
    QueuedJob queued;
    queued.job = &gang;
    for (std::size_t i = 0; i < each.gangs; ++i) {
      Claim claim{gang, gang.spec.task_count, constraints_.zone_capacity(gang), {}};
      serve(plan, queued, claim, now);
    }
  }
  return std::move(plan.need);
}

CapacityPlanner::Need CapacityPlanner::need_of_waiting_jobs(std::size_t max_machines, Time now) {
  Plan plan = begin_plan(group_machines(true, now), max_machines);
  waiting_tasks_ = 0;
  for (const auto& queued : queue_.ordered(now)) {
    const Job& job = *queued.job;
    if (job.waiting_tasks() == 0 || now < job.backoff_until || waiting_tasks_ >= constants::kMaxDemandTasks)
      continue;
    const std::size_t headroom = constraints_.quota_headroom(job);
    if (job.is_gang() && headroom < job.waiting_tasks()) continue;
    const std::size_t tasks =
        std::min<std::size_t>({job.waiting_tasks(), headroom, constants::kMaxDemandTasks - waiting_tasks_});
    Claim claim{job, tasks, constraints_.zone_capacity(job), scarce_types_.avoided_by(queued, now)};
    waiting_tasks_ += tasks;
    serve(plan, queued, claim, now);
  }
  return std::move(plan.need);
}

}  // namespace dockdyke::core
