// Deterministic state machine of the leader. Its inputs are events, heartbeats and the current time; its
// outputs are commands to workers, writes and other effects. It does no I/O and reads no clock, so equal
// inputs give equal outputs.
//
// It owns the components that hold the state and make the decisions, and defines the order in which they
// handle an event. A component depends only on components that are declared before it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/autoscaler.hpp"
#include "core/cancellation_tracker.hpp"
#include "core/capacity_planner.hpp"
#include "core/cluster_state.hpp"
#include "core/effects.hpp"
#include "core/events.hpp"
#include "core/failure_detector.hpp"
#include "core/gang_checkpoint.hpp"
#include "core/gang_records.hpp"
#include "core/gang_reservations.hpp"
#include "core/gang_scheduler.hpp"
#include "core/job_queue.hpp"
#include "core/machine_health.hpp"
#include "core/machine_inventory.hpp"
#include "core/offering_selector.hpp"
#include "core/preemption.hpp"
#include "core/reconciler.hpp"
#include "core/run_time_estimator.hpp"
#include "core/scale_in_requests.hpp"
#include "core/scale_out_requests.hpp"
#include "core/scarce_types.hpp"
#include "core/scheduling_constraints.hpp"
#include "core/state_queries.hpp"
#include "core/state_recovery.hpp"
#include "core/task_lifecycle.hpp"
#include "core/task_log.hpp"
#include "core/task_placer.hpp"
#include "core/termination_notices.hpp"
#include "core/time.hpp"
#include "core/undispatched_tasks.hpp"
#include "core/views.hpp"
#include "core/worker_commands.hpp"
#include "core/write_queue.hpp"

namespace dockdyke::core {

class LeaderStateMachine {
 public:
  // Acts under `token`, elected at `now`. `unix_time_ms` is the Unix time of the election in milliseconds,
  // from which the ages of stored jobs are computed.
  LeaderStateMachine(ClusterConfig config, FencingToken token, Time now, std::int64_t unix_time_ms);
  // Not copyable, since the components hold references to each other.
  LeaderStateMachine(const LeaderStateMachine&) = delete;
  LeaderStateMachine& operator=(const LeaderStateMachine&) = delete;

  // ---- Inputs ----
  void apply(const Event& event, Time now);
  HeartbeatOutcome apply_heartbeat(const wire::Heartbeat& heartbeat, Time now);
  // Assigns waiting tasks. The caller runs it after each batch of events and heartbeats.
  void assign_tasks(Time now);

  // ---- Responses to workers ----
  // Returns the commands for the response to the machine's last heartbeat and marks the tasks of its start
  // commands as dispatched. `allow_starts` is false while the leader's local view may be stale; then there
  // are no start commands.
  std::vector<wire::Command> commands_for(const MachineId& machine, bool allow_starts, Time now);
  // Returns whether, and for what, the response to the machine's last heartbeat should be held.
  ResponseHold response_hold(const MachineId& machine, Time now) const;
  // Whether this is the machine's last heartbeat and no response to it has been sent.
  bool awaits_response(const wire::Heartbeat& heartbeat) const;
  void response_sent(const MachineId& machine, Time now);

  // ---- Writes and other effects ----
  // Returns the next transaction to write, or std::nullopt if everything is stored, in flight or not yet due.
  std::optional<StateWrite> next_write(Time now);
  // Returns the seconds until the next write is due, or std::nullopt if everything is stored or in flight.
  std::optional<double> next_write_due_in(Time now) const;
  std::vector<Effect> take_effects();
  // Returns the reports on cancelled jobs since the last call.
  std::vector<CancellationReport> take_cancellation_reports();

  // ---- Queries ----
  FencingToken token() const { return state_.token(); }
  bool loaded() const { return state_.loaded(); }
  // Returns the progress of a job for status requests, or std::nullopt if the records are not loaded, or the
  // job is unknown or cancelled.
  std::optional<JobProgress> progress(const JobId& id) const { return job_progress(state_, id); }
  const Job* job(const JobId& id) const { return state_.find_job(id); }
  const Machine* machine(const MachineId& id) const { return state_.find_machine(id); }
  std::size_t job_count() const { return state_.jobs().size(); }
  // Returns the number of machines whose workers are expected to send heartbeats.
  std::size_t up_machine_count() const { return core::up_machine_count(state_); }
  // Returns the jobs that should have an active record in the state service.
  std::vector<JobId> active_jobs() const { return core::active_jobs(state_); }
  wire::Resources team_usage(const std::string& team) const { return state_.team_usage(team); }
  const FleetSummary& fleet_summary() const { return autoscaler_.summary(); }
  AssignmentCounts assignment_counts() const { return core::assignment_counts(state_); }
  ZoneConflictSummary zone_conflict_summary() const { return core::zone_conflict_summary(state_); }
  UndispatchedSummary undispatched_summary(Time now) const { return undispatched_tasks_.summary(now); }
  CancellationSummary cancellation_summary(Time now) const { return cancellations_.summary(now); }
  std::map<InstanceOffering, OfferingUsage> usage_by_offering() const {
    return core::usage_by_offering(state_);
  }
  std::size_t task_log_segments() const { return task_log_.segment_count(); }
  // Number of machines and jobs examined so far during task assignment. Tests check that the number per
  // assignment does not grow with the fleet.
  std::uint64_t scanned() const { return state_.scanned(); }

 private:
  void on(const JobLoaded& event, Time now);
  void on(const SegmentLoaded& event, Time now);
  void on(const GangPartLoaded& event, Time now);
  void on(const ScaleOutLoaded& event, Time now);
  void on(const ScaleInLoaded& event, Time now);
  void on(const LoadCompleted& event, Time now);
  void on(const JobSubmitted& event, Time now);
  void on(const JobRecordDeleted& event, Time now);
  void on(const WriteApplied& event, Time now);
  void on(const WriteConflicted& event, Time now);
  void on(const WriteRejected& event, Time now);
  void on(const WriteRateLowered& event, Time now);
  void on(const MachinesListed& event, Time now);
  void on(const ScaleOutGranted& event, Time now);
  void on(const ScaleOutRefused& event, Time now);
  void on(const MachinesDeleted& event, Time now);
  void on(const MachineTypesChanged& event, Time now);
  void on(const Tick& event, Time now);

  Job& add_job(const JobRecord& record, Revision version, Time now);

  Time elected_at_;
  std::int64_t elected_unix_ms_;  // the same point in time as Unix time
  Revision loaded_revision_;      // up to which all stored jobs are known

  // State
  EffectQueue effects_;
  ClusterState state_;
  SchedulingConstraints constraints_;
  RunTimeEstimator run_time_estimator_;
  JobQueue queue_;
  // Durable state
  TaskLog task_log_;
  GangRecords gang_records_;
  WriteQueue writes_;
  CancellationTracker cancellations_;
  TaskLifecycle lifecycle_;
  StateRecovery recovery_;
  // Workers
  GangCheckpoint gang_checkpoint_;
  TerminationNotices termination_notices_;
  MachineHealth health_;
  FailureDetector failure_detector_;
  UndispatchedTasks undispatched_tasks_;
  Reconciler reconciler_;
  WorkerCommands worker_commands_;
  // The cloud
  ScaleOutRequests scale_out_;
  ScaleInRequests scale_in_;
  MachineInventory inventory_;
  OfferingSelector offering_selector_;
  ScarceTypes scarce_types_;
  // Scheduling
  GangScheduler gang_scheduler_;
  GangReservations gang_reservations_;
  TaskPlacer placer_;
  Preemption preemption_;
  CapacityPlanner planner_;
  Autoscaler autoscaler_;
};

}  // namespace dockdyke::core
