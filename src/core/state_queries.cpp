#include "core/state_queries.hpp"

#include <algorithm>

#include "core/zone_constraints.hpp"

namespace dockdyke::core {

std::optional<JobProgress> job_progress(const ClusterState& state, const JobId& id) {
  using wire::TaskState;
  const Job* found = state.find_job(id);
  if (!state.loaded() || !found || found->cancelled) return std::nullopt;
  const auto running = static_cast<std::uint64_t>(
      std::count_if(found->assignments.begin(), found->assignments.end(), [](const auto& each) {
        const TaskAssignment& assignment = each.second;
        return assignment.observed &&
               (assignment.state == TaskState::running || assignment.state == TaskState::checkpointing);
      }));
  const bool started = running > 0 || found->done_count > 0;
  const auto job_state = started ? wire::JobState::running : wire::JobState::pending;
  return JobProgress{found->version, {job_state, found->done_count, running}};
}

std::size_t up_machine_count(const ClusterState& state) {
  const auto& machines = state.machines();
  return static_cast<std::size_t>(std::count_if(machines.begin(), machines.end(), [](const auto& each) {
    return each.second.state == MachineState::up && !each.second.scale_in_requested;
  }));
}

std::vector<JobId> active_jobs(const ClusterState& state) {
  std::vector<JobId> active;
  for (const auto& [id, job] : state.jobs())
    if (!job.cancelled) active.push_back(id);
  return active;
}

AssignmentCounts assignment_counts(const ClusterState& state) {
  AssignmentCounts counts;
  for (const auto& [id, job] : state.jobs())
    for (const auto& [index, assignment] : job.assignments) {
      if (!assignment.observed) continue;
      counts.fetching += assignment.state == wire::TaskState::fetching_image ? 1 : 0;
      counts.running += assignment.state == wire::TaskState::running ? 1 : 0;
    }
  return counts;
}

ZoneConflictSummary zone_conflict_summary(const ClusterState& state) {
  ZoneConflictSummary summary;
  for (const auto& [id, job] : state.jobs()) {
    if (!job.unfinished() || satisfies_zone_constraints(job)) continue;
    if (summary.jobs++ > 0) continue;
    summary.job = id;
    summary.assignments_by_zone = job.assignments_by_zone;
    summary.adopted =
        static_cast<std::size_t>(std::count_if(job.assignments.begin(), job.assignments.end(),
                                               [](const auto& each) { return each.second.adopted; }));
    summary.waiting = job.waiting_tasks();
  }
  return summary;
}

std::map<InstanceOffering, OfferingUsage> usage_by_offering(const ClusterState& state) {
  std::map<InstanceOffering, OfferingUsage> usages;
  for (const auto& [id, machine] : state.machines()) {
    if (machine.state == MachineState::failed) continue;
    OfferingUsage& usage = usages[{machine.type, machine.zone, machine.spot}];
    ++usage.machines;
    usage.booting += machine.state == MachineState::booting ? 1 : 0;
    usage.empty += machine.state == MachineState::up && machine.assignments.empty() ? 1 : 0;
    if (const auto* type = state.type_of(machine)) usage.cpus += type->size.cpus;
    usage.cpus_used += machine.used.cpus;
  }
  return usages;
}

}  // namespace dockdyke::core
