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
    if (constraints_.unresponsive(machine, now)) lifecycle_.release_undispatched(machine, now);
    if (!lease_expired(machine, now)) continue;
    const auto assignments = machine.assignments;
    // A gang that is done may have been waiting for this proof to be removed.
    for (const auto& task : assignments)
      if (!task.job->cancelled) lifecycle_.release_and_remove(task, now);
  }
}

std::optional<double> FailureDetector::cancellation_time_left_s(const Machine& machine, Time now) const {
  std::optional<double> left_s;
  for (const auto& task : machine.assignments) {
    if (!task.job->cancelled) continue;
    const double task_left_s = state_.config().cancellation_timeout_s - (now - task.job->cancelled_at);
    left_s = std::min(task_left_s, left_s.value_or(task_left_s));
  }
  return left_s;
}

bool FailureDetector::in_contact(const Machine& machine, Time now) const {
  return machine.token_acknowledged && !constraints_.unresponsive(machine, now);
}

bool FailureDetector::cancellation_requires_deletion(const Machine& machine, Time now) const {
  const auto left_s = cancellation_time_left_s(machine, now);
  if (!left_s) return false;
  const bool silent = constraints_.unresponsive(machine, now);
  // A machine that hangs ends nothing: what it held when its lease expired it holds until it goes on or is
  // deleted. Waited for like any silent machine, some held cancelled tasks past the time that these have.
  if (silent && lease_expired(machine, now)) return true;
  const double reserve_s =
      std::min(constants::kCancellationReserveMax,
               constants::kCancellationReserveShare * state_.config().cancellation_timeout_s);
  // With the time over, deletion is no longer urgent: most often the task is gone and only the proof is
  // missing.
  if (*left_s <= 0) return silent;
  // Silence starts afresh with each leader. Counted as contact, it made a machine that nobody had heard look
  // alive to one short-lived leader after the other.
  if (*left_s < reserve_s && !in_contact(machine, now)) return true;
  return *left_s < constants::kCancellationLastResortShare * reserve_s;
}

std::vector<MachineId> FailureDetector::machines_holding_cancelled_tasks(Time now) const {
  std::vector<MachineId> holding;
  for (const auto& [id, machine] : state_.machines())
    if (!machine.scale_in_requested && cancellation_requires_deletion(machine, now)) holding.push_back(id);
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
  if (constraints_.unresponsive(machine, now)) return unreachable(machine, now);
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
