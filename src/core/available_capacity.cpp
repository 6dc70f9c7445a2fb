#include "core/available_capacity.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "constants.hpp"
#include "core/completion_forecast.hpp"
#include "core/objectives.hpp"

namespace dockdyke::core {

AvailableCapacity::AvailableCapacity(const ClusterState& state, const SchedulingConstraints& constraints,
                                     JobQueue& queue, const ScaleOutRequests& scale_out)
    : state_(state), constraints_(constraints), queue_(queue), scale_out_(scale_out) {}

std::vector<bool> AvailableCapacity::types_at_slo_risk(Time now) {
  std::vector<bool> at_slo_risk(state_.types().size());
  for (const auto& queued : queue_.ordered(now)) {
    const Job& job = *queued.job;
    if (job.waiting_tasks() == 0 || now < job.backoff_ends_at) continue;
    const auto start_s = start_target_s(state_.config(), job.spec.job_class);
    if (!start_s) continue;
    const double max_wait_s =
        std::max(constants::kScaleOutDelaySeconds, constants::kStartAtRiskFraction * *start_s);
    if (now - job.queued_at <= max_wait_s) continue;
    for (std::size_t type = 0; type < at_slo_risk.size(); ++type)
      at_slo_risk[type] = at_slo_risk[type] || job.compatible_with(type);
  }
  return at_slo_risk;
}

void AvailableCapacity::add_soon_free_capacity(const Machine& machine, bool at_slo_risk, Time now,
                                               FreeCapacity& free) const {
  for (const auto& task : machine.assignments) {
    const bool ends_soon = at_slo_risk
                               ? nearly_done(*task.job, task.assignment(), now)
                               : ends_before_new_machine_boots(state_, *task.job, task.assignment(), now);
    if (ends_soon) free.release(task.job->spec.task_resources);
  }
}

namespace {

// Free capacity as whole multiples of `kCapacityStep` and `kTaskSlotStep`, rounded down.
struct CapacitySteps {
  long cpus = 0;
  long gpus = 0;
  long memory = 0;
  std::ptrdiff_t task_slots = 0;
  auto operator<=>(const CapacitySteps&) const = default;
};

CapacitySteps to_steps(const FreeCapacity& free) {
  const auto steps = [](double amount) {
    return static_cast<long>(std::floor(amount / constants::kCapacityStep + 1e-6));
  };
  return {steps(free.resources.cpus), steps(free.resources.gpus), steps(free.resources.memory_gb),
          free.task_slots / constants::kTaskSlotStep};
}

FreeCapacity to_capacity(const CapacitySteps& steps, const wire::MachineType& type) {
  const wire::Resources resources{static_cast<double>(steps.cpus), static_cast<double>(steps.gpus),
                                  static_cast<double>(steps.memory)};
  return {resources * constants::kCapacityStep, steps.task_slots * constants::kTaskSlotStep, type.size};
}

struct GroupKey {
  std::size_t type = 0;
  std::string zone;
  bool spot = false;
  CapacitySteps free;
  auto operator<=>(const GroupKey&) const = default;
};

}  // namespace

std::vector<MachineGroup> AvailableCapacity::groups(bool include_soon_free, Time now) {
  const auto at_slo_risk = types_at_slo_risk(now);
  std::map<GroupKey, std::size_t> counts;
  const auto add = [&](std::size_t type, const std::string& zone, bool spot, const FreeCapacity& free,
                       std::size_t machines) {
    GroupKey key{type, zone, spot, to_steps(free)};
    if (key.free.cpus > 0 && key.free.task_slots > 0) counts[std::move(key)] += machines;
  };
  for (const auto& [id, machine] : state_.machines()) {
    if (!state_.type_of(machine) || machine.scale_in_requested) continue;
    FreeCapacity free = constraints_.free_capacity(machine);
    if (machine.state == MachineState::up) {
      if (!constraints_.accepts_work(machine, now)) continue;
      if (include_soon_free) add_soon_free_capacity(machine, at_slo_risk[machine.type_number], now, free);
    } else if (machine.state != MachineState::booting || constraints_.boot_overdue(machine, now)) {
      continue;
    }
    add(machine.type_number, machine.zone, machine.spot, free, 1);
  }
  for (const auto& [id, pending] : scale_out_.pending()) {
    const auto& request = pending.request;
    if (const auto type = state_.type_number(request.type); type != kNoType)
      add(type, request.zone, request.spot, empty_machine_capacity(state_.types()[type]), request.count);
  }
  std::vector<MachineGroup> groups;
  groups.reserve(counts.size());
  for (const auto& [key, machines] : counts)
    groups.push_back(
        {key.type, key.zone, key.spot, to_capacity(key.free, state_.types()[key.type]), machines});
  return groups;
}

}  // namespace dockdyke::core
