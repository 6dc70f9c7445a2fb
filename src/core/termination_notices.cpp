#include "core/termination_notices.hpp"

#include <algorithm>

#include "core/checkpoint_timing.hpp"

namespace dockdyke::core {

TerminationNotices::TerminationNotices(const ClusterState& state, GangCheckpoint& gang_checkpoint)
    : state_(state), gang_checkpoint_(gang_checkpoint) {}

void TerminationNotices::apply(Machine& machine, Time now) {
  if (!machine.terminates_at) return;
  const double time_left_s = *machine.terminates_at - now;
  for (const auto& task : machine.assignments) {
    if (task.assignment().stopping) continue;
    if (task.job->is_gang()) {
      gang_checkpoint_.handle_termination_notice(*task.job, time_left_s, now);
    } else {
      stop_if_due(task, time_left_s, now);
    }
  }
}

void TerminationNotices::stop_if_due(const AssignedTask& task, double time_left_s, Time now) {
  const auto& spec = task.job->spec;
  TaskAssignment& assignment = task.assignment();
  const double remaining_run_s = std::max(0.0, task.job->expected_run_s - assignment.ran_s(now));
  if (spec.checkpoint_interval_s > 0) {
    if (time_left_s <= checkpoint_lead_time_s(state_.config(), spec))
      assignment.request_stop(spec.checkpoint_duration_s);
  } else if (spec.kind == wire::JobKind::service || remaining_run_s > time_left_s) {
    assignment.request_stop(0);  // it cannot end here, so it is restarted elsewhere without delay
  }
}

}  // namespace dockdyke::core
