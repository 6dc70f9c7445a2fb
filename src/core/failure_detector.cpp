#include "core/failure_detector.hpp"

#include <algorithm>

#include "constants.hpp"

namespace dockdyke::core {

FailureDetector::FailureDetector(ClusterState& state, const SchedulingConstraints& constraints,
                                 TaskLifecycle& lifecycle)
    : state_(state), constraints_(constraints), lifecycle_(lifecycle) {}

bool FailureDetector::lease_expired(const Machine& machine, Time now) const {
  const double lease_s =
      state_.config().worker_lease_s * (1 + 2 * constants::kMaxClockDrift) + constants::kLeaseExpiryMargin;
  // Only a worker that has shown this leader's token is known to live on its responses only; one that an
  // earlier leader may still keep alive is waited for or deleted.
  return machine.token_acknowledged &&
         now - std::max(machine.last_response_at, machine.last_heartbeat_at) > lease_s;
}

void FailureDetector::expire_leases(Time now) {
  for (auto& [id, machine] : state_.machines()) {
    if (machine.assignments.empty()) continue;
    if (constraints_.silent(machine, now)) lifecycle_.release_undispatched(machine, now);
    if (!lease_expired(machine, now)) continue;
    const auto assignments = machine.assignments;
    // A gang that is done may have been waiting for this proof to be removed.
    for (const auto& task : assignments)
      if (!task.job->cancelled) lifecycle_.release_and_remove(task, now);
  }
}

std::vector<MachineId> FailureDetector::machines_holding_cancelled_tasks(Time now) const {
  // A machine that hangs ends nothing: what it held when its lease expired it holds until it goes on or is
  // deleted. Waited for like any silent machine, some held cancelled tasks past the time that these have.
  const double timeout_s = state_.config().cancellation_timeout_s;
  const double reserve_s =
      std::min(constants::kCancellationReserveMax, constants::kCancellationReserveShare * timeout_s);
  std::vector<MachineId> holding;
  for (const auto& [id, machine] : state_.machines()) {
    if (machine.scale_in_requested || machine.state != MachineState::up || !constraints_.silent(machine, now))
      continue;
    const bool expired = lease_expired(machine, now);
    const bool due =
        std::any_of(machine.assignments.begin(), machine.assignments.end(), [&](const AssignedTask& task) {
          return task.job->cancelled && (expired || now - task.job->cancelled_at > timeout_s - reserve_s);
        });
    if (due) holding.push_back(id);
  }
  return holding;
}

bool FailureDetector::boot_failed(const Machine& machine, Time now) const {
  const double age_s = now - machine.rented_at;
  if (const auto* type = state_.type_of(machine)) return age_s > constants::kLostBootFactor * type->boot_s;
  // One known only from a record and shown by no list is most likely gone; deleting it is the proof.
  return !machine.listed && age_s > 2 * state_.config().machine_list_lag_s + constants::kUnknownMachineGrace;
}

bool FailureDetector::unreachable(const Machine& machine, Time now) const {
  const bool terminated = machine.terminates_at && now > *machine.terminates_at;
  return machine.missed_listings >= constants::kMissedListingsThreshold || terminated ||
         now - machine.last_heartbeat_at > state_.config().worker_lease_s + constants::kSilentMachineGrace;
}

bool FailureDetector::responses_lost(const Machine& machine, Time now) const {
  return machine.undelivered_responses >= constants::kUndeliveredResponsesThreshold &&
         now - machine.undelivered_since > state_.config().worker_lease_s + constants::kLeaseExpiryMargin;
}

bool FailureDetector::to_be_deleted(const Machine& machine, Time now) const {
  if (machine.state == MachineState::gone) return true;
  if (machine.state == MachineState::booting) return boot_failed(machine, now);
  if (constraints_.silent(machine, now)) return unreachable(machine, now);
  if (responses_lost(machine, now)) return machine.assignments.empty() || !machine.token_acknowledged;
  return machine.draining && machine.assignments.empty();
}

std::vector<MachineId> FailureDetector::machines_to_delete(Time now) const {
  std::vector<MachineId> out;
  for (const auto& [id, machine] : state_.machines())
    if (!machine.scale_in_requested && to_be_deleted(machine, now)) out.push_back(id);
  return out;
}

}  // namespace dockdyke::core
