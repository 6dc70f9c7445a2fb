#include "core/leader_state_machine.hpp"

#include <algorithm>
#include <utility>

#include "constants.hpp"
#include "core/state_keys.hpp"

namespace dockdyke::core {

LeaderStateMachine::LeaderStateMachine(ClusterConfig config, FencingToken token, Time now,
                                       std::int64_t unix_time_ms)
    : elected_at_(now),
      elected_unix_ms_(unix_time_ms),
      state_(std::move(config), token),
      constraints_(state_),
      queue_(state_, constraints_, run_time_estimator_),
      task_log_(state_, effects_),
      gang_records_(state_, effects_),
      writes_(state_, task_log_, gang_records_),
      cancellations_(state_),
      lifecycle_(state_, queue_, task_log_, cancellations_, effects_),
      recovery_(state_, task_log_, writes_, lifecycle_),
      gang_checkpoint_(state_, constraints_, lifecycle_, effects_),
      termination_notices_(state_, gang_checkpoint_),
      health_(state_, constraints_),
      failure_detector_(state_, constraints_, lifecycle_),
      undispatched_tasks_(state_, constraints_, lifecycle_),
      reconciler_(state_, queue_, task_log_, writes_, lifecycle_, health_, undispatched_tasks_,
                  termination_notices_, run_time_estimator_),
      worker_commands_(state_, constraints_, queue_, cancellations_),
      scale_out_(token, effects_),
      scale_in_(state_, effects_),
      inventory_(state_, scale_out_, scale_in_, lifecycle_),
      offering_selector_(state_, constraints_, scale_out_),
      scarce_types_(state_, queue_, offering_selector_),
      gang_scheduler_(state_, constraints_, queue_, gang_records_, lifecycle_),
      gang_reservations_(state_, constraints_, queue_),
      placer_(state_, constraints_, queue_, task_log_, scarce_types_, gang_scheduler_),
      preemption_(state_, constraints_, queue_),
      planner_(state_, constraints_, queue_, scale_out_, offering_selector_, scarce_types_,
               gang_reservations_),
      autoscaler_(state_, constraints_, planner_, scale_out_, scale_in_) {}

// ---- Inputs -----------------------------------------------------------------------------------------------

void LeaderStateMachine::apply(const Event& event, Time now) {
  std::visit([&](const auto& each) { on(each, now); }, event);
}

HeartbeatOutcome LeaderStateMachine::apply_heartbeat(const wire::Heartbeat& heartbeat, Time now) {
  return reconciler_.apply(heartbeat, now);
}

void LeaderStateMachine::assign_tasks(Time now) {
  if (!state_.loaded()) return;
  lifecycle_.stop_aborted_gangs(now);
  placer_.assign_tasks(now);
}

// ---- Records of previous leaders --------------------------------------------------------------------------

namespace {

// Returns the seconds from `then_ms` to `now_ms` (Unix time). Negative if the clock of the controller that
// wrote the record is ahead of this one's, so callers clamp it.
double age_s(std::int64_t now_ms, std::int64_t then_ms) {
  return static_cast<double>(now_ms - then_ms) / 1000.0;
}

}  // namespace

Job& LeaderStateMachine::add_job(const JobRecord& record, Revision version, Time now) {
  const double job_age_s = age_s(elected_unix_ms_, record.submitted_ms) + (now - elected_at_);
  Job& job = state_.add_job(record.spec, version, now - std::max(0.0, job_age_s), now);
  job.expected_run_s = run_time_estimator_.expected_run_s(record.spec.job_class, record.spec.estimated_run_s);
  gang_reservations_.record_arrival(job, now);
  queue_.invalidate();
  return job;
}

void LeaderStateMachine::on(const JobLoaded& event, Time now) {
  // Active records are loaded before terminating ones. A job that is cancelled in between is already known as
  // active, and the watch delivers the removal of its active record.
  if (state_.find_job(event.record.spec.id)) return;
  Job& job = add_job(event.record, event.version, now);
  if (!event.terminating) return;
  job.cancelled = true;
  const double cancelled_s = age_s(elected_unix_ms_, event.record.cancelled_ms.value_or(elected_unix_ms_));
  job.cancelled_at = now - std::max(0.0, cancelled_s);
}

void LeaderStateMachine::on(const SegmentLoaded& event, Time) {
  recovery_.load(event);
}

void LeaderStateMachine::on(const GangPartLoaded& event, Time) {
  recovery_.load(event);
}

void LeaderStateMachine::on(const ScaleOutLoaded& event, Time now) {
  scale_out_.adopt(event.request, now);
}

void LeaderStateMachine::on(const ScaleInLoaded& event, Time now) {
  scale_in_.adopt(event.key, event.machines, now);
}

void LeaderStateMachine::on(const LoadCompleted& event, Time now) {
  loaded_revision_ = event.revision;
  recovery_.complete(now);
}

// ---- Jobs -------------------------------------------------------------------------------------------------

void LeaderStateMachine::on(const JobSubmitted& event, Time now) {
  // While records are being loaded, segments may hold tasks of this job, and loading adds the job from its
  // record. A delayed submission event may also arrive after the job has ended.
  const auto& id = event.record.spec.id;
  if (!state_.loaded() || state_.find_job(id) || state_.recently_ended(id)) return;
  // Loading has delivered all jobs up to its revision. A job that it lacked had ended by then, and its record
  // was read before, for a request that this controller handled as a follower.
  if (event.version <= loaded_revision_) return;
  add_job(event.record, event.version, now);
}

void LeaderStateMachine::on(const JobRecordDeleted& event, Time now) {
  Job* job = state_.find_job(event.id);
  if (!job) {
    // The job's submission event may still arrive. A job that was cancelled before this leader knew it has no
    // tasks, and no other code deletes its terminating record.
    if (state_.record_ended_job(event.id, now) && state_.loaded())
      effects_.push(DeleteKeys{{key::terminating_job(event.id)}});
    return;
  }
  if (job->unfinished()) {
    job->cancelled = true;
    job->cancelled_at = now;
    if (state_.loaded()) lifecycle_.stop_cancelled_job(*job, now);
  }
  state_.request_assignment_pass();
  if (state_.loaded()) lifecycle_.remove_if_finished(*job, now);
}

// ---- Writes -----------------------------------------------------------------------------------------------

std::optional<StateWrite> LeaderStateMachine::next_write(Time now) {
  return writes_.next(now);
}

std::optional<double> LeaderStateMachine::next_write_due_in(Time now) const {
  return writes_.next_due_in(now);
}

std::vector<Effect> LeaderStateMachine::take_effects() {
  return effects_.take();
}

std::vector<CancellationReport> LeaderStateMachine::take_cancellation_reports() {
  return cancellations_.take_reports();
}

void LeaderStateMachine::on(const WriteApplied& event, Time now) {
  for (const auto& id : writes_.on_applied(event.number)) lifecycle_.handle_stored_terminal_record(id, now);
}

void LeaderStateMachine::on(const WriteConflicted& event, Time now) {
  for (const auto& id : writes_.on_conflicted(event.number, event.failed_keys)) {
    // The job's active record was removed by a previous attempt of this write or by a cancellation. After a
    // cancellation no other code deletes the terminating record.
    effects_.push(DeleteKeys{{key::terminating_job(id)}});
    lifecycle_.handle_stored_terminal_record(id, now);
  }
}

void LeaderStateMachine::on(const WriteRejected& event, Time) {
  if (Job* gang = writes_.on_rejected(event.number)) lifecycle_.abort_gang(*gang);
}

void LeaderStateMachine::on(const WriteRateLowered& event, Time) {
  state_.lower_write_rate(event.writes_per_second);
}

// ---- The cloud --------------------------------------------------------------------------------------------

void LeaderStateMachine::on(const MachinesListed& event, Time now) {
  inventory_.apply(event, now);
}

void LeaderStateMachine::on(const ScaleOutGranted& event, Time now) {
  inventory_.apply(event, now);
}

void LeaderStateMachine::on(const ScaleOutRefused& event, Time now) {
  scale_out_.on_refused(event.id, now);
}

void LeaderStateMachine::on(const MachinesDeleted& event, Time now) {
  inventory_.apply(event, now);
}

void LeaderStateMachine::on(const MachineTypesChanged& event, Time) {
  state_.update_types(event.types);
}

// ---- Time -------------------------------------------------------------------------------------------------

void LeaderStateMachine::on(const Tick&, Time now) {
  state_.expire_tombstones(now);
  if (!state_.loaded()) return;
  task_log_.delete_obsolete_keys();
  scale_in_.request(failure_detector_.machines_to_delete_for_cancellations(now));
  cancellations_.report_at_risk(now);
  failure_detector_.expire_leases(now);
  health_.drain_faulty_machines(now);
  gang_scheduler_.abort_incomplete_attempts(now);
  for (auto& [id, machine] : state_.machines()) {
    undispatched_tasks_.release_if_obstructed(machine, now);
    termination_notices_.apply(machine, now);
    health_.drain_if_straggler(machine, now);
  }
  queue_.invalidate();
  scarce_types_.update(now);
  gang_scheduler_.assign_to_any_machines(now);
  gang_reservations_.reserve_for_waiting_gang(now);
  gang_reservations_.update_capacity_reserve(now);
  preemption_.run(now);
  if (autoscaler_.run_due(now)) {
    scale_in_.request(failure_detector_.machines_to_delete(now));
    autoscaler_.run(now);
  } else {
    autoscaler_.scale_out_for_waiting_tasks(now);
  }
  state_.request_assignment_pass();  // backoffs may have expired
}

// ---- Responses to workers ---------------------------------------------------------------------------------

std::vector<wire::Command> LeaderStateMachine::commands_for(const MachineId& machine, bool allow_starts,
                                                            Time now) {
  return worker_commands_.commands_for(machine, allow_starts, now);
}

ResponseHold LeaderStateMachine::response_hold(const MachineId& machine, Time now) const {
  return worker_commands_.response_hold(machine, now);
}

bool LeaderStateMachine::awaits_response(const wire::Heartbeat& heartbeat) const {
  return worker_commands_.awaits_response(heartbeat);
}

void LeaderStateMachine::response_sent(const MachineId& machine, Time now) {
  worker_commands_.response_sent(machine, now);
}

}  // namespace dockdyke::core
