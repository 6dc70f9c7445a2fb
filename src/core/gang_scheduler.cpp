#include "core/gang_scheduler.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "constants.hpp"
#include "core/task_fit.hpp"

namespace dockdyke::core {

GangScheduler::GangScheduler(ClusterState& state, const SchedulingConstraints& constraints, JobQueue& queue,
                             GangRecords& records, TaskLifecycle& lifecycle)
    : state_(state),
      constraints_(constraints),
      cost_(state, constraints),
      queue_(queue),
      records_(records),
      lifecycle_(lifecycle) {}

std::vector<MachineTasks> GangScheduler::choose_placement(const Job& job,
                                                          const std::vector<Machine*>& machines, Time now) {
  const auto& spec = job.spec;
  const std::size_t tasks = spec.task_count;
  if (constraints_.quota_headroom(job) < tasks) return {};
  const double largest_cpus = state_.largest_cpus();
  std::map<std::string, std::vector<GangCandidate>> groups;  // by `gang_zone_group`
  state_.count_scanned(machines.size());
  for (Machine* machine : machines) {
    if (machine->reserved_for_other(job, now)) continue;
    const auto cost = cost_.compute(job, *machine, largest_cpus);
    if (!cost) continue;
    const auto task_capacity = constraints_.free_capacity(*machine).tasks_fitting(spec.task_resources);
    GangCandidate candidate{machine, 0, *cost, task_capacity};
    if (!machine->has_image(spec.image)) candidate.start_delay_s = cost_.image_fetch_s(job, *machine);
    // All tasks run at the pace of the slowest one.
    candidate.start_delay_s += constants::kStragglerSignCostSeconds * machine->straggler_signs;
    groups[gang_zone_group(spec, machine->zone)].push_back(candidate);
  }
  const std::size_t zone_limit =
      spec.spread ? max_tasks_per_zone(spec) : std::numeric_limits<std::size_t>::max();
  GangPlacement best;
  for (auto& [zone, candidates] : groups) {
    auto placement = choose_machines(std::move(candidates), tasks, zone_limit);
    if (placement.machine_tasks.empty()) continue;
    if (best.machine_tasks.empty() || placement.rank < best.rank) best = std::move(placement);
  }
  return std::move(best.machine_tasks);
}

bool GangScheduler::assign(Job& job, const std::vector<Machine*>& machines, Time now) {
  job.allow_failed_machines_if_at_fault();
  const auto placement = choose_placement(job, machines, now);
  if (placement.empty()) return false;
  begin_attempt(job, placement, now);
  return true;
}

void GangScheduler::begin_attempt(Job& job, const std::vector<MachineTasks>& placement, Time now) {
  GangAttempt& gang = job.gang;
  ++gang.attempt;
  gang.aborted = false;
  gang.failure_counted = false;
  gang.confirmed_parts = 0;
  gang.assigned_at = now;
  gang.started_at = 0;
  gang.machine_count = placement.size();
  job.next_unattempted = job.spec.task_count;
  std::vector<TaskRecord> records;
  TaskIndex index = 0;
  for (const auto& placed : placement) {
    placed.machine->reserved_for_gang = 0;
    for (std::size_t i = 0; i < placed.tasks; ++i, ++index) {
      TaskAssignment assignment;
      assignment.machine = placed.machine;
      assignment.attempt = gang.attempt;
      assignment.assigned_at = now;
      job.tasks[index].attempt = gang.attempt;
      state_.begin_assignment(job, index, assignment);
      records.push_back({index, gang.attempt, placed.machine->id, false});
    }
  }
  records_.add(job, records);
}

std::vector<Machine*> machines_accepting_work(ClusterState& state, const SchedulingConstraints& constraints,
                                              Time now) {
  std::vector<Machine*> out;
  for (auto& [id, machine] : state.machines())
    if (constraints.accepts_work(machine, now)) out.push_back(&machine);
  return out;
}

void GangScheduler::assign_to_any_machines(Time now) {
  std::optional<std::vector<Machine*>> machines;  // computed when the first gang needs them
  for (const auto& queued : queue_.ordered(now)) {
    Job& job = *queued.job;
    if (!job.is_gang() || job.waiting_tasks() == 0 || now < job.backoff_ends_at) continue;
    const double wait_s = constants::kGangPlacementWaitFraction * constraints_.heartbeat_round_s();
    if (now - job.queued_at < wait_s) continue;
    if (!machines) machines = machines_accepting_work(state_, constraints_, now);
    assign(job, *machines, now);
  }
}

void GangScheduler::abort_incomplete_attempts(Time now) {
  for (auto& [id, job] : state_.jobs())
    if (job.is_gang() && !job.assignments.empty() && !job.gang.aborted && job.unfinished())
      abort_if_incomplete(job, now);
}

void GangScheduler::abort_if_incomplete(Job& job, Time now) {
  const auto& config = state_.config();
  const double timeout_s = std::min(constants::kGangAssemblyTimeoutFraction * config.gang_assembly_timeout_s,
                                    constants::kGangAssemblyIntervalFactor * config.heartbeat_interval_s);
  if (now - job.gang.assigned_at < timeout_s) return;
  for (auto& [index, assignment] : job.assignments) {
    if (assignment.observed || assignment.adopted) continue;
    // A machine whose heartbeats do not show the task by now may be too slow for the next attempt as well.
    assignment.machine->assignments_resume_at = now + constants::kNoCapacityBackoffSeconds;
    lifecycle_.abort_gang(job);
  }
}

}  // namespace dockdyke::core
