// What time brings: leases that end, notices, cancellations that are due, and the leader's tick.
#include <algorithm>
#include <utility>

#include "constants.hpp"
#include "core/cluster.hpp"

namespace dockdyke::core {

// ---- Time -------------------------------------------------------------------------------------------------

bool Cluster::lease_over(const Machine& machine, Time now) const {
  const double lease =
      config_.worker_lease_s * (1 + 2 * constants::kMaxClockDrift) + constants::kLeaseExpiryMargin;
  // Only a worker that has shown our token is known to live on our answers alone; one that an earlier
  // leader may still keep alive is waited for or deleted.
  return machine.token_acknowledged &&
         now - std::max(machine.last_response_at, machine.last_heartbeat_at) > lease;
}

void Cluster::expire_leases(Time now) {
  for (auto& [id, machine] : machines_) {
    if (machine.assignments.empty()) continue;
    if (silent(machine, now)) withdraw_unsent(machine, now);
    if (!lease_over(machine, now)) continue;
    const auto assignments = machine.assignments;
    for (const auto& task : assignments) {
      if (task.job->cancelled) continue;
      release(*task.job, task.index, now);
      drop_if_gone(*task.job, now);  // a gang that is done may have been waiting for this proof
    }
  }
}

void Cluster::delete_cancelled_work(Time now) {
  // A machine that hangs ends nothing: what it held when its lease ran out it holds until it goes on or is
  // deleted. Waited for like any silent machine, some held cancelled tasks past the time that these have.
  const double reserve_s = std::min(constants::kCancellationReserveMax,
                                    constants::kCancellationReserveShare * config_.cancellation_timeout_s);
  std::vector<MachineId> held;
  for (auto& [id, machine] : machines_) {
    if (machine.scale_in_requested || machine.state != MachineState::up || !silent(machine, now)) continue;
    const bool over = lease_over(machine, now);
    const bool due =
        std::any_of(machine.assignments.begin(), machine.assignments.end(), [&](const AssignedTask& task) {
          return task.job->cancelled &&
                 (over || now - task.job->cancelled_at > config_.cancellation_timeout_s - reserve_s);
        });
    if (due) held.push_back(id);
  }
  give_back(std::move(held), now);
}

void Cluster::stop_for_notices(Machine& machine, Time now) {
  if (!machine.terminates_at) return;
  withdraw_unsent(machine, now);
  const double left = *machine.terminates_at - now;
  for (const auto& task : machine.assignments) {
    const auto& spec = task.job->spec;
    TaskAssignment& assignment = task.assignment();
    if (assignment.stopping) continue;
    if (task.job->is_gang()) {
      stop_gang_for_notice(*task.job, left, now);
      continue;
    }
    const double ran = assignment.ran_s(now);
    const double remaining = std::max(0.0, task.job->expected_run_s - ran);
    if (spec.checkpoint_interval_s > 0) {
      // Orders travel only with answers, so the last chance is a report period before it is needed.
      if (left <= spec.checkpoint_duration_s + constants::kTerminationNoticeMargin +
                      1.25 * config_.heartbeat_interval_s)
        assignment.stop(spec.checkpoint_duration_s);
    } else if (spec.kind == wire::JobKind::service || remaining > left) {
      assignment.stop(0);  // it can't end here: the sooner it starts again elsewhere the better
    }
  }
}

void Cluster::on(const Tick&, Time now) {
  const auto outdated = [&](const auto& each) { return now - each.second > constants::kTombstoneTtl; };
  std::erase_if(tombstones_, outdated);
  std::erase_if(over_, outdated);
  if (!loaded_) return;
  if (!dead_keys_.empty()) discard(std::exchange(dead_keys_, {}));
  delete_cancelled_work(now);
  expire_leases(now);
  judge_machines(now);
  watch_gangs(now);
  for (auto& [id, machine] : machines_) {
    stop_for_notices(machine, now);
    leave_slow_machine(machine, now);
  }
  ranking_stale_ = true;
  find_scarce_types(now);
  place_gangs_anywhere(now);
  keep_room_for_gang(now);
  hold_reserve(now);
  if (now - preempted_at_ >= constants::kPreemptionInterval) {
    preempted_at_ = now;
    make_room(now);
  }
  if (now - scaled_at_ >= constants::kAutoscalerInterval) {
    scaled_at_ = now;
    review_machines(now);
    scale(now);
  } else {
    const std::size_t fleet = fleet_size();
    if (fleet < config_.max_machines) rent_for_waiting(config_.max_machines - fleet, now);
  }
  place_wanted_ = true;  // pauses may have run out
}

}  // namespace dockdyke::core
