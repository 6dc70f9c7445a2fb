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

bool GangCheckpoint::can_save(const Job& job, Time now) const {
  const auto& spec = job.spec;
  if (spec.checkpoint_interval_s <= 0 || job.gang.aborted || job.gang.started_at == 0) return false;
  const bool all_reachable =
      std::all_of(job.assignments.begin(), job.assignments.end(), [&](const auto& each) {
        const TaskAssignment& assignment = each.second;
        const Machine& machine = *assignment.machine;
        return assignment.observed && assignment.state == wire::TaskState::running &&
               machine.token_acknowledged && machine.undelivered_responses == 0 &&
               !constraints_.unresponsive(machine, now);
      });
  // What has run since the last checkpoint, as far as is known here, must be worth the time that saving
  // takes.
  const double unsaved_s = std::fmod(now - job.gang.started_at, spec.checkpoint_interval_s);
  return all_reachable && job.assignments.size() == spec.task_count && unsaved_s > spec.checkpoint_duration_s;
}

void GangCheckpoint::save_and_stop(Job& job) {
  job.gang.aborted = true;
  std::map<Machine*, std::vector<wire::Command>, ById> commands;
  for (auto& [index, assignment] : job.assignments) {
    assignment.stop(job.spec.checkpoint_duration_s + constants::kGangCheckpointMargin);
    commands[assignment.machine].push_back(
        {wire::CommandKind::stop, {job.spec.id, index}, assignment.attempt, assignment.grace_s});
  }
  // Where all are on one machine its next response tells them at the same time.
  if (commands.size() < 2) return;
  for (auto& [machine, each] : commands)
    effects_.push(
        SendStopCommands{machine->id, machine->worker_address, machine->incarnation, std::move(each)});
}

void GangCheckpoint::handle_termination_notice(Job& job, double left_s, Time now) {
  if (job.gang.aborted || !job.unfinished()) return;
  const auto& spec = job.spec;
  const double ran_s = job.gang.started_at > 0 ? now - job.gang.started_at : 0;
  if (job.expected_run_s - ran_s <= left_s) return;  // it may well end before
  if (spec.checkpoint_interval_s <= 0) {
    lifecycle_.abort_gang(job);  // nothing of it can be kept: the sooner it starts again elsewhere the better
  } else if (left_s <= checkpoint_lead_time_s(state_.config(), spec) && left_s > spec.checkpoint_duration_s &&
             can_save(job, now)) {
    save_and_stop(job);
  }
}

}  // namespace dockdyke::core
