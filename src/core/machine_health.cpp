#include "core/machine_health.hpp"

#include <algorithm>
#include <cmath>

#include "constants.hpp"

namespace dockdyke::core {

namespace {

// Returns whether a run time is longer than `factor` times the mean of the job's completed tasks. False while
// too few tasks have completed.
bool exceeds_mean_run_time(const Job& job, double ran_s, double factor) {
  // The shortest tasks complete first, so the mean is only representative once half of the attempted tasks
  // have completed.
  return job.completed_runs >= constants::kMinRunsForStragglers &&
         2 * job.completed_runs >= job.next_unattempted && ran_s > factor * job.mean_run_s();
}

}  // namespace

MachineHealth::MachineHealth(ClusterState& state, const SchedulingConstraints& constraints)
    : state_(state), constraints_(constraints) {}

// ---- Failures ---------------------------------------------------------------------------------------------

void MachineHealth::add_to_failed_jobs(const Job& job, Time now) {
  for (const auto& id : job.failed_machines)
    if (Machine* machine = state_.find_machine(id)) machine->failed_jobs[job.spec.id] = now;
}

void MachineHealth::remove_from_failed_jobs(const Job& job) {
  for (const auto& id : job.failed_machines)
    if (Machine* machine = state_.find_machine(id)) machine->failed_jobs.erase(job.spec.id);
}

void MachineHealth::record_success(Job& job, Machine& machine, Time now) {
  machine.failed_jobs.clear();
  // The job can complete, so its earlier failures are attributed to the machines.
  add_to_failed_jobs(job, now);
  job.consecutive_failures = 0;
  job.failed_machines.clear();
}

void MachineHealth::record_failure(Job& job, Machine& machine, Time now) {
  ++job.consecutive_failures;
  job.failed_machines.insert(machine.id);
  if (job.failed_machines.size() == 1) {
    machine.failed_jobs[job.spec.id] = now;
  } else {
    // Failures on several machines are attributed to the job until one of its tasks completes.
    remove_from_failed_jobs(job);
  }
  if (job.failed_machines.size() < constants::kSuspectJobMachineThreshold) return;
  const double doublings = std::min<double>(
      6, static_cast<double>(job.failed_machines.size() - constants::kSuspectJobMachineThreshold));
  job.backoff_ends_at = now + std::min(constants::kMaxErrorBackoffSeconds,
                                       constants::kInitialErrorBackoffSeconds * std::exp2(doublings + 1));
}

void MachineHealth::drain_faulty_machines(Time now) {
  for (auto& [id, machine] : state_.machines()) {
    if (machine.draining || machine.failed_jobs.size() < constants::kFaultyMachineJobThreshold) continue;
    // The machine already accepts no work. During the delay, broken jobs also fail on other machines and are
    // removed from `failed_jobs`, so that healthy machines are not drained because of them.
    Time latest = 0;
    for (const auto& [job, failed_at] : machine.failed_jobs) latest = std::max(latest, failed_at);
    if (now - latest >= constants::kQuarantineDelaySeconds) machine.draining = true;
  }
}

// ---- Stragglers -------------------------------------------------------------------------------------------

void MachineHealth::record_run_time(Job& job, Machine& machine, Attempt attempt, double run_s) {
  const bool slow = attempt == 1 && exceeds_mean_run_time(job, run_s, constants::kStragglerFactor);
  machine.straggler_signs = slow ? machine.straggler_signs + 1 : 0;
  job.total_run_s += run_s;
  ++job.completed_runs;
}

std::uint32_t MachineHealth::count_straggler_signs(const Machine& machine, Time now) const {
  std::uint32_t signs = machine.straggler_signs;
  for (const auto& task : machine.assignments) {
    const TaskAssignment& assignment = task.assignment();
    // Later attempts are ignored, so that a task with a long run time is not restarted again and again.
    if (assignment.run_started_at == 0 || assignment.stopping || assignment.attempt > 1) continue;
    const double ran_s = now - assignment.run_started_at;
    if (exceeds_mean_run_time(*task.job, ran_s, constants::kStragglerFactor)) ++signs;
    if (exceeds_mean_run_time(*task.job, ran_s, constants::kCertainStragglerFactor))
      signs += constants::kStragglerSignsThreshold;
  }
  return signs;
}

void MachineHealth::drain_if_straggler(Machine& machine, Time now) {
  if (machine.state != MachineState::up || machine.scale_in_requested ||
      constraints_.unresponsive(machine, now))
    return;
  if (count_straggler_signs(machine, now) < constants::kStragglerSignsThreshold) return;
  machine.draining = true;
  for (const auto& task : machine.assignments) {
    const auto& spec = task.job->spec;
    TaskAssignment& assignment = task.assignment();
    if (assignment.stopping || assignment.attempt > 1 || spec.kind != wire::JobKind::array) continue;
    // A task that has run this long is likely to end soon and continues, unless it can resume from a
    // checkpoint.
    const bool far_from_done =
        assignment.ran_s(now) < constants::kCertainStragglerFactor * task.job->mean_run_s();
    if (spec.checkpoint_interval_s > 0 || far_from_done) assignment.request_stop(spec.checkpoint_duration_s);
  }
}

}  // namespace dockdyke::core
