#include "core/gang_checkpoint.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>
#include <vector>

#include "constants.hpp"
#include "core/checkpoint_timing.hpp"

namespace dockdyke::core {

GangCheckpoint::GangCheckpoint(const ClusterState& state, const SchedulingConstraints& constraints,
                               TaskLifecycle& lifecycle, EffectQueue& effects)
    : state_(state), constraints_(constraints), lifecycle_(lifecycle), effects_(effects) {}

bool GangCheckpoint::should_checkpoint(const Job& job, Time now) const {
  const auto& spec = job.spec;
  if (spec.checkpoint_interval_s <= 0 || job.gang.aborted || job.gang.started_at == 0) return false;
  const bool all_reachable =
      std::all_of(job.assignments.begin(), job.assignments.end(), [&](const auto& entry) {
        const TaskAssignment& assignment = entry.second;
        const Machine& machine = *assignment.machine;
        return assignment.observed && assignment.state == wire::TaskState::running &&
               machine.token_acknowledged && machine.undelivered_responses == 0 &&
               !constraints_.unresponsive(machine, now);
      });
  // The progress since the last checkpoint, as estimated by the leader, must exceed the time that a
  // checkpoint takes.
  const double since_checkpoint_s = std::fmod(now - job.gang.started_at, spec.checkpoint_interval_s);
  return all_reachable && job.assignments.size() == spec.task_count &&
         since_checkpoint_s > spec.checkpoint_duration_s;
}

void GangCheckpoint::checkpoint_and_stop(Job& job) {
  job.gang.aborted = true;
  std::map<Machine*, std::vector<wire::Command>, MachineIdLess> commands;
  for (auto& [index, assignment] : job.assignments) {
    assignment.request_stop(job.spec.checkpoint_duration_s + constants::kGangCheckpointMarginSeconds);
    commands[assignment.machine].push_back(
        {wire::CommandKind::stop, {job.spec.id, index}, assignment.attempt, assignment.grace_s});
  }
  // A single machine receives all stop commands in its next heartbeat response.
  if (commands.size() < 2) return;
  for (auto& [machine, stop_commands] : commands)
    effects_.push(SendStopCommands{machine->id, machine->worker_address, machine->incarnation,
                                   std::move(stop_commands)});
}

void GangCheckpoint::handle_termination_notice(Job& job, double time_left_s, Time now) {
  if (job.gang.aborted || !job.unfinished()) return;
  const auto& spec = job.spec;
  const double ran_s = job.gang.started_at > 0 ? now - job.gang.started_at : 0;
  if (job.expected_run_s - ran_s <= time_left_s) return;  // expected to end in time
  if (spec.checkpoint_interval_s <= 0) {
    lifecycle_.abort_gang(job);  // it writes no checkpoints, so it restarts elsewhere as early as possible
  } else if (time_left_s <= checkpoint_lead_time_s(state_.config(), spec) &&
             time_left_s > spec.checkpoint_duration_s && should_checkpoint(job, now)) {
    checkpoint_and_stop(job);
  }
}

}  // namespace dockdyke::core
