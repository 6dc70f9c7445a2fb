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
  return now - last_run_at_ >= constants::kAutoscalerInterval;
}

std::size_t Autoscaler::fleet_size() const {
  const auto& machines = state_.machines();
  const auto present = std::count_if(machines.begin(), machines.end(), [](const auto& each) {
    return !each.second.scale_in_requested && each.second.state != MachineState::gone;
  });
  return static_cast<std::size_t>(present) + scale_out_.pending_machines();
}

std::size_t Autoscaler::headroom() const {
  const std::size_t fleet = fleet_size();
  const std::size_t max_machines = state_.config().max_machines;
  return max_machines > fleet ? max_machines - fleet : 0;
}

// ---- Scaling out ------------------------------------------------------------------------------------------

void Autoscaler::scale_out_for_waiting(Time now) {
  const std::size_t max_machines = headroom();
  if (max_machines > 0) request_needed(max_machines, now);
}

std::size_t Autoscaler::request_needed(std::size_t max_machines, Time now) {
  auto calls = static_cast<std::size_t>(std::max(
      1.0, state_.config().cloud_rps * constants::kHousekeepingInterval * constants::kScaleOutCallShare));
  std::size_t requested = 0;
  const auto request_all = [&](const CapacityPlanner::Need& need) {
    for (const auto& [offering, machines] : need) {
      // A large need takes several calls, each of them full.
      std::size_t missing = machines;
      for (; missing > 0 && calls > 0; --calls) {
        const auto count = std::min<std::size_t>(missing, constants::kMaxMachinesPerScaleOut);
        scale_out_.request(offering, count, now);
        missing -= count;
        requested += count;
      }
    }
  };
  request_all(planner_.need_of_waiting_jobs(max_machines, now));
  summary_.waiting_tasks = planner_.waiting_tasks();
  request_all(planner_.need_of_expected_gangs(max_machines - std::min(max_machines, requested), now));
  return requested;
}

std::map<std::string, double> Autoscaler::free_spot_machines(Time now) const {
  std::map<std::string, double> machines;
  for (const auto& [id, machine] : state_.machines()) {
    if (machine.scale_in_requested || !state_.type_of(machine) || !machine.spot) continue;
    const bool free = constraints_.accepts_work(machine, now) && machine.assignments.empty();
    const bool coming = machine.state == MachineState::booting && !constraints_.boot_overdue(machine, now);
    if (free || coming) machines[machine.type] += 1;
  }
  for (const auto& [id, pending] : scale_out_.pending())
    if (pending.request.spot) machines[pending.request.type] += static_cast<double>(pending.request.count);
  return machines;
}

void Autoscaler::update_on_demand_load() {
  std::map<std::string, double> load;
  for (const auto& [id, machine] : state_.machines()) {
    if (machine.scale_in_requested || !state_.type_of(machine) || machine.spot) continue;
    if (machine.state != MachineState::up || machine.assignments.empty()) continue;
    const bool replaceable =
        std::all_of(machine.assignments.begin(), machine.assignments.end(),
                    [](const AssignedTask& task) { return task.job->spec.spot_allowed; });
    load[machine.type] += replaceable ? 1 : 0;
  }
  for (const auto& type : state_.types()) {
    double& lasting = on_demand_load_[type.name];
    lasting += constants::kOnDemandLoadSmoothing * (load[type.name] - lasting);
  }
}

std::optional<InstanceOffering> Autoscaler::spot_offering(const wire::MachineType& type, Time now) const {
  for (const auto& zone : type.zones) {
    InstanceOffering offering{type.name, zone, true};
    if (!scale_out_.in_backoff(offering, now)) return offering;
  }
  return std::nullopt;
}

void Autoscaler::replace_on_demand(std::size_t max_machines, Time now) {
  // Spot machines cost a fraction, and once they are up the on-demand ones become empty and are returned.
  // Only a load that has lasted counts, as a boot outlasts most single tasks.
  update_on_demand_load();
  // The memory outlasts the load: by itself it went on requesting for two minutes after the last job of a
  // day.
  const auto& jobs = state_.jobs();
  const bool any_work =
      std::any_of(jobs.begin(), jobs.end(), [](const auto& each) { return each.second.unfinished(); });
  if (!any_work) return;
  auto free_spot = free_spot_machines(now);
  for (const auto& type : state_.types()) {
    const double excess = on_demand_load_[type.name] - free_spot[type.name];
    if (excess < constants::kSpotReplacementThreshold || max_machines == 0 || type.spot_price >= type.price)
      continue;
    const auto offering = spot_offering(type, now);
    if (!offering) continue;
    // One at a time where one makes up for it; a large load in one full call.
    const auto share = static_cast<std::size_t>(excess * constants::kSpotReplacementShare);
    const auto count = std::min<std::size_t>(
        {max_machines, constants::kMaxMachinesPerScaleOut, std::max<std::size_t>(1, share)});
    scale_out_.request(*offering, count, now);
    max_machines -= count;
  }
}

std::optional<InstanceOffering> Autoscaler::cheapest_spot_offering(Time now) const {
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

void Autoscaler::fill_buffer(std::size_t requested, Time now) {
  const auto missing = [](std::size_t wanted, std::size_t present) {
    return wanted > present ? wanted - present : 0;
  };
  const auto& config = state_.config();
  const std::size_t fleet = summary_.machines;
  const std::size_t short_of_free = missing(config.free_machines, summary_.free + requested);
  const std::size_t short_of_min = missing(config.min_machines, fleet + requested);
  const std::size_t allowed = missing(config.max_machines, fleet);
  const std::size_t more = std::min(allowed, std::max(short_of_free, short_of_min));
  if (more == 0 || requested > 0) return;
  if (const auto offering = cheapest_spot_offering(now)) scale_out_.request(*offering, more, now);
}

// ---- The full run -----------------------------------------------------------------------------------------

double Autoscaler::load_of(const Machine& machine) const {
  const auto& size = state_.type_of(machine)->size;
  const auto free = constraints_.free_capacity(machine);
  return std::max(1 - free.cpus / std::max(1e-9, size.cpus),
                  1 - free.memory_gb / std::max(1e-9, size.memory_gb));
}

std::vector<const Machine*> Autoscaler::count_fleet(Time now) {
  summary_ = {};
  summary_.machines = fleet_size();
  std::vector<const Machine*> idle;
  for (const auto& [id, machine] : state_.machines()) {
    if (machine.scale_in_requested || machine.state == MachineState::gone) continue;
    if (machine.state == MachineState::booting) {
      summary_.booting += constraints_.boot_overdue(machine, now) ? 0 : 1;
      continue;
    }
    if (!constraints_.accepts_work(machine, now) || !state_.type_of(machine)) continue;
    if (machine.assignments.empty()) {
      idle.push_back(&machine);
    } else if (load_of(machine) >= constants::kNearlyDoneProgress) {
      ++summary_.overwhelmed;
    }
  }
  summary_.booting += scale_out_.pending_machines();
  summary_.free = idle.size() + summary_.booting;
  summary_.waiting_tasks = planner_.waiting_tasks();
  return idle;
}

void Autoscaler::run(Time now) {
  last_run_at_ = now;
  auto idle = count_fleet(now);
  const std::size_t allowed = headroom();
  const std::size_t requested = request_needed(allowed, now);
  replace_on_demand(allowed - std::min(allowed, requested), now);
  fill_buffer(requested, now);
  return_idle(std::move(idle), now);
}

void Autoscaler::return_idle(std::vector<const Machine*> idle, Time now) {
  const auto price_of = [this](const Machine* machine) {
    const auto* type = state_.type_of(*machine);
    return machine->spot ? type->spot_price : type->price;
  };
  // The dearest first.
  std::sort(idle.begin(), idle.end(),
            [&](const Machine* a, const Machine* b) { return price_of(a) > price_of(b); });
  const auto& config = state_.config();
  std::vector<MachineId> returned;
  std::size_t idle_left = idle.size();
  for (const Machine* machine : idle) {
    if (machine->reserved_for_gang != 0 || machine->in_gang_reserve) continue;
    const double boot_share =
        machine->spot ? constants::kSpotIdleBootShare : constants::kOnDemandIdleBootShare;
    if (now - machine->idle_since < boot_share * state_.type_of(*machine)->boot_s) continue;
    ++summary_.underwhelmed;
    if (idle_left <= config.free_machines || summary_.machines - returned.size() <= config.min_machines)
      break;
    returned.push_back(machine->id);
    --idle_left;
  }
  scale_in_.request(returned);
}

}  // namespace dockdyke::core
