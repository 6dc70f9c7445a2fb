#include "core/machine_health.hpp"

#include <algorithm>
#include <cmath>

#include "constants.hpp"

namespace dockdyke::core {

namespace {

// The task has run far longer than those of its job that have completed, so most likely its machine is slow.
bool exceeds_typical_run(const Job& job, double ran_s, double factor) {
  // The first to complete are the shortest: with half of them done their mean is near enough to that of all.
  return job.completed_runs >= constants::kMinRunsForStragglers &&
         2 * job.completed_runs >= job.next_unattempted && ran_s > factor * job.mean_run_s();
}

}  // namespace

MachineHealth::MachineHealth(ClusterState& state, const SchedulingConstraints& constraints)
    : state_(state), constraints_(constraints) {}

// ---- Failures ---------------------------------------------------------------------------------------------

void MachineHealth::blame_machines(const Job& job, Time now) {
  for (const auto& id : job.failed_machines)
    if (Machine* machine = state_.find_machine(id)) machine->failed_jobs[job.spec.id] = now;
}

void MachineHealth::clear_blame(const Job& job) {
  for (const auto& id : job.failed_machines)
    if (Machine* machine = state_.find_machine(id)) machine->failed_jobs.erase(job.spec.id);
}

void MachineHealth::record_success(Job& job, Machine& machine, Time now) {
  machine.failed_jobs.clear();
  // The job does run, so the machines on which it failed are at fault.
  blame_machines(job, now);
  job.failures = 0;
  job.failed_machines.clear();
}

void MachineHealth::record_failure(Job& job, Machine& machine, Time now) {
  ++job.failures;
  job.failed_machines.insert(machine.id);
  if (job.failed_machines.size() == 1) {
    machine.failed_jobs[job.spec.id] = now;
  } else {
    // Failing on several machines speaks against the job, until one of its tasks completes.
    clear_blame(job);
  }
  if (job.failed_machines.size() < constants::kSuspectJobMachines) return;
  const double doublings =
      std::min<double>(6, static_cast<double>(job.failed_machines.size() - constants::kSuspectJobMachines));
  job.backoff_until =
      now + std::min(constants::kErrorBackoffMax, constants::kErrorBackoffInitial * std::exp2(doublings + 1));
}

void MachineHealth::drain_faulty_machines(Time now) {
  for (auto& [id, machine] : state_.machines()) {
    if (machine.draining || machine.failed_jobs.size() < constants::kFaultyMachineJobs) continue;
    // It gets no work meanwhile. The delay lets the jobs fail elsewhere too, if it is they that are broken:
    // two broken jobs had several healthy machines deleted when this was decided at once.
    Time latest = 0;
    for (const auto& [job, failed_at] : machine.failed_jobs) latest = std::max(latest, failed_at);
    if (now - latest >= constants::kQuarantineDelay) machine.draining = true;
  }
}

// ---- Stragglers -------------------------------------------------------------------------------------------

void MachineHealth::record_run_time(Job& job, Machine& machine, Attempt attempt, double run_s) {
  const bool slow = attempt == 1 && exceeds_typical_run(job, run_s, constants::kStragglerFactor);
  machine.straggler_signs = slow ? machine.straggler_signs + 1 : 0;
  job.total_run_s += run_s;
  ++job.completed_runs;
}

std::uint32_t MachineHealth::straggler_signs(const Machine& machine, Time now) const {
  std::uint32_t signs = machine.straggler_signs;
  for (const auto& task : machine.assignments) {
    const TaskAssignment& assignment = task.assignment();
    // Only first attempts count: a task that simply takes long must not be moved for ever.
    if (assignment.running_since == 0 || assignment.stopping || assignment.attempt > 1) continue;
    const double ran_s = now - assignment.running_since;
    if (exceeds_typical_run(*task.job, ran_s, constants::kStragglerFactor)) ++signs;
    if (exceeds_typical_run(*task.job, ran_s, constants::kCertainStragglerFactor))
      signs += constants::kStragglerSignsThreshold;
  }
  return signs;
}

void MachineHealth::drain_if_straggler(Machine& machine, Time now) {
  if (machine.state != MachineState::up || machine.scale_in_requested ||
      constraints_.unresponsive(machine, now))
    return;
  if (straggler_signs(machine, now) < constants::kStragglerSignsThreshold) return;
  machine.draining = true;
  for (const auto& task : machine.assignments) {
    const auto& spec = task.job->spec;
    TaskAssignment& assignment = task.assignment();
    if (assignment.stopping || assignment.attempt > 1 || spec.kind != wire::JobKind::array) continue;
    // A task that is nearly through even so had better go on; one that saves checkpoints loses little.
    const bool far_from_done =
        assignment.ran_s(now) < constants::kCertainStragglerFactor * task.job->mean_run_s();
    if (spec.checkpoint_interval_s > 0 || far_from_done) assignment.stop(spec.checkpoint_duration_s);
  }
}

}  // namespace dockdyke::core
