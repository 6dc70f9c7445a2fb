#include "core/failure_detector.hpp"

#include <algorithm>

#include "constants.hpp"

namespace dockdyke::core {

FailureDetector::FailureDetector(ClusterState& state, const SchedulingConstraints& constraints,
                                 TaskLifecycle& lifecycle)
    : state_(state), constraints_(constraints), lifecycle_(lifecycle) {}

bool FailureDetector::lease_expired(const Machine& machine, Time now) const {
  const double lease_s = state_.config().worker_lease_s * (1 + 2 * constants::kMaxClockDriftFraction) +
                         constants::kLeaseExpiryMarginSeconds;
  // Until the worker acknowledges this leader's token, a previous leader may still renew the lease.
  return machine.token_acknowledged &&
         now - std::max(machine.last_response_at, machine.last_heartbeat_at) > lease_s;
}

void FailureDetector::expire_leases(Time now) {
  for (auto& [id, machine] : state_.machines()) {
    if (machine.assignments.empty() || !lease_expired(machine, now)) continue;
    const auto assignments = machine.assignments;
    // A completed gang is removed once all its tasks are confirmed ended, so this may remove the job.
    for (const auto& task : assignments)
      if (!task.job->cancelled) lifecycle_.release_and_remove_if_finished(task, now);
  }
}

std::optional<double> FailureDetector::cancellation_time_left_s(const Machine& machine, Time now) const {
  std::optional<double> left_s;
  for (const auto& task : machine.assignments) {
    if (!task.job->cancelled) continue;
    const double task_left_s = state_.cancellation_time_left_s(*task.job, now);
    left_s = std::min(task_left_s, left_s.value_or(task_left_s));
  }
  return left_s;
}

bool FailureDetector::responsive_under_token(const Machine& machine, Time now) const {
  return machine.token_acknowledged && !constraints_.unresponsive(machine, now);
}

bool FailureDetector::cancellation_requires_deletion(const Machine& machine, Time now) const {
  const auto left_s = cancellation_time_left_s(machine, now);
  if (!left_s) return false;
  const bool unresponsive = constraints_.unresponsive(machine, now);
  // A hung machine does not end its tasks when its lease expires, and waiting until it is presumed lost could
  // exceed the cancellation timeout.
  if (unresponsive && lease_expired(machine, now)) return true;
  const double reserve_s =
      std::min(constants::kMaxCancellationReserveSeconds,
               constants::kCancellationReserveFraction * state_.config().cancellation_timeout_s);
  // After the timeout the task has most likely ended, and only the confirmation is missing.
  if (*left_s <= 0) return unresponsive;
  // A new leader considers a machine responsive until the heartbeat threshold has passed. Under a series of
  // short-lived leaders an unresponsive machine would never be deleted, so an acknowledged token is required.
  if (*left_s < reserve_s && !responsive_under_token(machine, now)) return true;
  return *left_s < constants::kUnconditionalDeletionReserveFraction * reserve_s;
}

std::vector<MachineId> FailureDetector::machines_to_delete_for_cancellations(Time now) const {
  std::vector<MachineId> machines;
  for (const auto& [id, machine] : state_.machines())
    if (!machine.scale_in_requested && cancellation_requires_deletion(machine, now)) machines.push_back(id);
  return machines;
}

bool FailureDetector::boot_failed(const Machine& machine, Time now) const {
  const double age_s = now - machine.launched_at;
  if (const auto* type = state_.type_of(machine)) return age_s > constants::kBootTimeoutFactor * type->boot_s;
  // A machine known only from a record and missing from the cloud's list most likely does not exist. Deleting
  // it confirms that its tasks have ended.
  return !machine.listed &&
         age_s > 2 * state_.config().machine_list_lag_s + constants::kUnknownMachineGraceSeconds;
}

bool FailureDetector::presumed_lost(const Machine& machine, Time now) const {
  const bool termination_due = machine.terminates_at && now > *machine.terminates_at;
  return machine.missed_listings >= constants::kMissedListingsThreshold || termination_due ||
         now - machine.last_heartbeat_at >
             state_.config().worker_lease_s + constants::kUnresponsiveMachineGraceSeconds;
}

bool FailureDetector::responses_lost(const Machine& machine, Time now) const {
  return machine.undelivered_responses >= constants::kUndeliveredResponsesThreshold &&
         now - machine.first_undelivered_at >
             state_.config().worker_lease_s + constants::kLeaseExpiryMarginSeconds;
}

bool FailureDetector::requires_deletion(const Machine& machine, Time now) const {
  if (machine.state == MachineState::failed) return true;
  if (machine.state == MachineState::booting && boot_failed(machine, now)) return true;
  // A machine with tasks has been up under a previous leader, even if an old list shows it as booting.
  if (machine.state == MachineState::booting && machine.assignments.empty()) return false;
  if (constraints_.unresponsive(machine, now)) return presumed_lost(machine, now);
  if (responses_lost(machine, now)) return machine.assignments.empty() || !machine.token_acknowledged;
  return machine.draining && machine.assignments.empty();
}

std::vector<MachineId> FailureDetector::machines_to_delete(Time now) const {
  std::vector<MachineId> machines;
  for (const auto& [id, machine] : state_.machines())
    if (!machine.scale_in_requested && requires_deletion(machine, now)) machines.push_back(id);
  return machines;
}

}  // namespace dockdyke::core
