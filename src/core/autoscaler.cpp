#include "core/autoscaler.hpp"

#include <algorithm>
#include <utility>

#include "constants.hpp"

namespace dockdyke::core {

Autoscaler::Autoscaler(ClusterState& state, const SchedulingConstraints& constraints,
                       CapacityPlanner& planner, ScaleOutRequests& scale_out, ScaleInRequests& scale_in)
    : state_(state),
      constraints_(constraints),
      planner_(planner),
      scale_out_(scale_out),
      scale_in_(scale_in) {}

bool Autoscaler::run_due(Time now) const {
  return now - last_run_at_ >= constants::kAutoscalerIntervalSeconds;
}

std::size_t Autoscaler::fleet_size() const {
  const auto& machines = state_.machines();
  const auto present = std::count_if(machines.begin(), machines.end(), [](const auto& each) {
    return !each.second.scale_in_requested && each.second.state != MachineState::failed;
  });
  return static_cast<std::size_t>(present) + scale_out_.pending_machines();
}

std::size_t Autoscaler::allowed_additional_machines() const {
  const std::size_t fleet = fleet_size();
  const std::size_t max_machines = state_.config().max_machines;
  return max_machines > fleet ? max_machines - fleet : 0;
}

// ---- Scaling out ------------------------------------------------------------------------------------------

void Autoscaler::scale_out_for_waiting_tasks(Time now) {
  const std::size_t max_machines = allowed_additional_machines();
  if (max_machines > 0) request_planned_machines(max_machines, now);
}

std::size_t Autoscaler::request_planned_machines(std::size_t max_machines, Time now) {
  // Scale-out requests may use only a part of the cloud's rate limit.
  auto calls = static_cast<std::size_t>(
      std::max(1.0, state_.config().cloud_rps * constants::kHousekeepingIntervalSeconds *
                        constants::kScaleOutCallRateFraction));
  std::size_t requested = 0;
  const auto request_machines = [&](const CapacityPlanner::MachinesToRequest& machines_to_request) {
    for (const auto& [offering, machines] : machines_to_request) {
      // The number of machines per call is limited, so a large request is split into several calls.
      std::size_t remaining = machines;
      for (; remaining > 0 && calls > 0; --calls) {
        const auto count = std::min<std::size_t>(remaining, constants::kMaxMachinesPerScaleOut);
        scale_out_.request(offering, count, now);
        remaining -= count;
        requested += count;
      }
    }
  };
  request_machines(planner_.machines_for_waiting_jobs(max_machines, now));
  summary_.waiting_tasks = planner_.waiting_tasks();
  request_machines(
      planner_.machines_for_expected_gangs(max_machines - std::min(max_machines, requested), now));
  return requested;
}

std::map<std::string, double> Autoscaler::available_spot_machines(Time now) const {
  std::map<std::string, double> machines;
  for (const auto& [id, machine] : state_.machines()) {
    if (machine.scale_in_requested || !state_.type_of(machine) || !machine.spot) continue;
    const bool free = constraints_.accepts_work(machine, now) && machine.assignments.empty();
    const bool expected = machine.state == MachineState::booting && !constraints_.boot_overdue(machine, now);
    if (free || expected) machines[machine.type] += 1;
  }
  for (const auto& [id, pending] : scale_out_.pending())
    if (pending.request.spot) machines[pending.request.type] += static_cast<double>(pending.request.count);
  return machines;
}

void Autoscaler::update_replaceable_machines() {
  std::map<std::string, double> replaceable_by_type;
  for (const auto& [id, machine] : state_.machines()) {
    if (machine.scale_in_requested || !state_.type_of(machine) || machine.spot) continue;
    if (machine.state != MachineState::up || machine.assignments.empty()) continue;
    const bool replaceable =
        std::all_of(machine.assignments.begin(), machine.assignments.end(),
                    [](const AssignedTask& task) { return task.job->spec.spot_allowed; });
    replaceable_by_type[machine.type] += replaceable ? 1 : 0;
  }
  for (const auto& type : state_.types()) {
    double& smoothed = replaceable_machines_[type.name];
    smoothed += constants::kOnDemandLoadSmoothingFactor * (replaceable_by_type[type.name] - smoothed);
  }
}

std::optional<InstanceOffering> Autoscaler::first_available_spot_offering(const wire::MachineType& type,
                                                                          Time now) const {
  for (const auto& zone : type.zones) {
    InstanceOffering offering{type.name, zone, true};
    if (!scale_out_.in_backoff(offering, now)) return offering;
  }
  return std::nullopt;
}

void Autoscaler::request_spot_replacements(std::size_t max_machines, Time now) {
  // Once the spot machines are up, the on-demand machines become idle and are deleted. The moving average
  // ignores short tasks, which end before a spot machine has booted.
  update_replaceable_machines();
  // The moving average decays slowly, so without this check replacements would still be requested after the
  // last job has ended.
  const auto& jobs = state_.jobs();
  const bool any_unfinished_job =
      std::any_of(jobs.begin(), jobs.end(), [](const auto& each) { return each.second.unfinished(); });
  if (!any_unfinished_job) return;
  auto available_spot = available_spot_machines(now);
  for (const auto& type : state_.types()) {
    const double excess = replaceable_machines_[type.name] - available_spot[type.name];
    if (excess < constants::kSpotReplacementThreshold || max_machines == 0 || type.spot_price >= type.price)
      continue;
    const auto offering = first_available_spot_offering(type, now);
    if (!offering) continue;
    // Requests a fraction of the excess, but at least one machine and at most as many as one call allows.
    const auto fraction_of_excess = static_cast<std::size_t>(excess * constants::kSpotReplacementFraction);
    const auto count = std::min<std::size_t>(
        {max_machines, constants::kMaxMachinesPerScaleOut, std::max<std::size_t>(1, fraction_of_excess)});
    scale_out_.request(*offering, count, now);
    max_machines -= count;
  }
}

std::optional<InstanceOffering> Autoscaler::cheapest_available_spot_offering(Time now) const {
  std::optional<InstanceOffering> cheapest;
  double price = 0;
  for (const auto& type : state_.types())
    for (const auto& zone : type.zones) {
      const InstanceOffering offering{type.name, zone, true};
      if (scale_out_.in_backoff(offering, now) || (cheapest && type.spot_price >= price)) continue;
      cheapest = offering;
      price = type.spot_price;
    }
  return cheapest;
}

void Autoscaler::request_minimum_machines(std::size_t requested, Time now) {
  const auto difference_or_zero = [](std::size_t a, std::size_t b) { return a > b ? a - b : 0; };
  const auto& config = state_.config();
  const std::size_t fleet = summary_.machines;
  const std::size_t free_shortfall = difference_or_zero(config.free_machines, summary_.free + requested);
  const std::size_t min_shortfall = difference_or_zero(config.min_machines, fleet + requested);
  const std::size_t allowed = difference_or_zero(config.max_machines, fleet);
  const std::size_t count = std::min(allowed, std::max(free_shortfall, min_shortfall));
  if (count == 0 || requested > 0) return;
  if (const auto offering = cheapest_available_spot_offering(now)) scale_out_.request(*offering, count, now);
}

// ---- Periodic run -----------------------------------------------------------------------------------------

double Autoscaler::utilization_of(const Machine& machine) const {
  const auto& size = state_.type_of(machine)->size;
  const auto free = constraints_.free_capacity(machine).resources;
  return std::max(1 - free.cpus / std::max(1e-9, size.cpus),
                  1 - free.memory_gb / std::max(1e-9, size.memory_gb));
}

std::vector<const Machine*> Autoscaler::update_summary(Time now) {
  summary_ = {};
  summary_.machines = fleet_size();
  std::vector<const Machine*> idle;
  for (const auto& [id, machine] : state_.machines()) {
    if (machine.scale_in_requested || machine.state == MachineState::failed) continue;
    if (machine.state == MachineState::booting) {
      summary_.booting += constraints_.boot_overdue(machine, now) ? 0 : 1;
      continue;
    }
    if (!constraints_.accepts_work(machine, now) || !state_.type_of(machine)) continue;
    if (machine.assignments.empty()) {
      idle.push_back(&machine);
    } else if (utilization_of(machine) >= constants::kNearlyDoneFraction) {
      ++summary_.saturated;
    }
  }
  summary_.booting += scale_out_.pending_machines();
  summary_.free = idle.size() + summary_.booting;
  summary_.waiting_tasks = planner_.waiting_tasks();
  return idle;
}

void Autoscaler::run(Time now) {
  last_run_at_ = now;
  auto idle = update_summary(now);
  const std::size_t allowed = allowed_additional_machines();
  const std::size_t requested = request_planned_machines(allowed, now);
  request_spot_replacements(allowed - std::min(allowed, requested), now);
  request_minimum_machines(requested, now);
  scale_in_idle_machines(std::move(idle), now);
}

void Autoscaler::scale_in_idle_machines(std::vector<const Machine*> idle, Time now) {
  const auto price_of = [this](const Machine* machine) {
    const auto* type = state_.type_of(*machine);
    return machine->spot ? type->spot_price : type->price;
  };
  // The most expensive machines are deleted first.
  std::sort(idle.begin(), idle.end(),
            [&](const Machine* a, const Machine* b) { return price_of(a) > price_of(b); });
  const auto& config = state_.config();
  std::vector<MachineId> to_delete;
  std::size_t idle_left = idle.size();
  for (const Machine* machine : idle) {
    if (machine->reserved_for_gang != 0 || machine->in_gang_reserve) continue;
    const double boot_fraction =
        machine->spot ? constants::kSpotIdleBootFraction : constants::kOnDemandIdleBootFraction;
    if (now - machine->became_idle_at < boot_fraction * state_.type_of(*machine)->boot_s) continue;
    ++summary_.scale_in_candidates;
    if (idle_left <= config.free_machines || summary_.machines - to_delete.size() <= config.min_machines)
      break;
    to_delete.push_back(machine->id);
    --idle_left;
  }
  scale_in_.request(to_delete);
}

}  // namespace dockdyke::core
