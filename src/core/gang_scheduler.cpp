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

std::vector<GangShare> GangScheduler::choose(const Job& job, const std::vector<Machine*>& machines,
                                             Time now) {
  const auto& spec = job.spec;
  const std::size_t tasks = spec.task_count;
  if (constraints_.quota_headroom(job) < tasks) return {};
  const double largest_cpus = state_.largest_cpus();
  std::map<std::string, std::vector<GangCandidate>> groups;  // by zone where all tasks must share one
  state_.count_scanned(machines.size());
  for (Machine* machine : machines) {
    if (machine->reserved_against(job, now)) continue;
    const auto cost = cost_.compute(job, *machine, largest_cpus);
    if (!cost) continue;
    const auto fits = tasks_fitting(spec.task_resources, constraints_.free_capacity(*machine));
    GangCandidate candidate{machine, 0, *cost, fits};
    if (!machine->has_image(spec.image)) candidate.fetch_s = cost_.image_fetch_s(job, *machine);
    // All tasks proceed at the pace of the slowest.
    candidate.fetch_s += constants::kStragglerSignCost * machine->straggler_signs;
    groups[spec.same_zone ? machine->zone : std::string()].push_back(candidate);
  }
  const std::size_t most_per_zone = spec.spread ? (tasks + 1) / 2 : std::numeric_limits<std::size_t>::max();
  GangChoice best;
  for (auto& [zone, candidates] : groups) {
    auto choice = choose_machines(std::move(candidates), tasks, most_per_zone);
    if (choice.shares.empty()) continue;
    if (best.shares.empty() || choice.rank < best.rank) best = std::move(choice);
  }
  return std::move(best.shares);
}

bool GangScheduler::assign(Job& job, const std::vector<Machine*>& machines, Time now) {
  // A job that failed on every machine in reach starts over with all of them.
  if (job.failed_machines.size() >= constants::kSuspectJobMachines) job.failed_machines.clear();
  const auto shares = choose(job, machines, now);
  if (shares.empty()) return false;
  begin_attempt(job, shares, now);
  return true;
}

void GangScheduler::begin_attempt(Job& job, const std::vector<GangShare>& shares, Time now) {
  GangAttempt& gang = job.gang;
  ++gang.attempt;
  gang.aborted = false;
  gang.failure_counted = false;
  gang.confirmed = 0;
  gang.assigned_at = now;
  gang.started_at = 0;
  gang.machine_count = shares.size();
  job.next_unattempted = job.spec.task_count;
  std::vector<TaskRecord> records;
  TaskIndex index = 0;
  for (const auto& share : shares) {
    share.machine->reserved_for_gang = 0;
    for (std::size_t i = 0; i < share.tasks; ++i, ++index) {
      TaskAssignment assignment;
      assignment.machine = share.machine;
      assignment.attempt = gang.attempt;
      assignment.assigned_at = now;
      job.tasks[index].attempt = gang.attempt;
      state_.begin_assignment(job, index, assignment);
      records.push_back({index, gang.attempt, share.machine->id, false});
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
  std::optional<std::vector<Machine*>> machines;  // found when the first gang needs them
  for (const auto& queued : queue_.ordered(now)) {
    Job& job = *queued.job;
    if (!job.is_gang() || job.waiting_tasks() == 0 || now < job.backoff_until) continue;
    const double wait_s = constants::kGangPlacementWaitShare * constraints_.heartbeat_round_s();
    if (now - job.queued_since < wait_s) continue;
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
  const double timeout_s = std::min(constants::kGangAssemblyShare * config.gang_assembly_timeout_s,
                                    constants::kGangAssemblyHeartbeats * config.heartbeat_interval_s);
  if (now - job.gang.assigned_at < timeout_s) return;
  for (auto& [index, assignment] : job.assignments) {
    if (assignment.observed || assignment.adopted) continue;
    // A machine that has not shown its task by now may not do so in time with the next attempt either.
    assignment.machine->assignments_paused_until = now + constants::kNoCapacityBackoff;
    lifecycle_.abort_gang(job);
  }
}

}  // namespace dockdyke::core
