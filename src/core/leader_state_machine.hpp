// The state machine behind a leader: events, heartbeats and the time go in; commands to workers, writes and
// other effects come out. It does no I/O and has no clock of its own, so the same inputs give the same
// outputs.
//
// It owns the parts that hold the state and decide, and determines the order in which they act on an event.
// The parts depend on each other in one direction, in the order of their declaration below.
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
#include "core/state_recovery.hpp"
#include "core/task_lifecycle.hpp"
#include "core/task_log.hpp"
#include "core/task_placer.hpp"
#include "core/termination_notices.hpp"
#include "core/time.hpp"
#include "core/views.hpp"
#include "core/worker_commands.hpp"
#include "core/write_queue.hpp"

namespace dockdyke::core {

class LeaderStateMachine {
 public:
  // Acts under `token`, elected at `now`. `time_of_day_ms`: milliseconds since 1970, to tell the age of jobs.
  LeaderStateMachine(ClusterConfig config, FencingToken token, Time now, std::int64_t time_of_day_ms);
  // The parts refer to each other.
  LeaderStateMachine(const LeaderStateMachine&) = delete;
  LeaderStateMachine& operator=(const LeaderStateMachine&) = delete;

  // ---- Inputs ----
  void apply(const Event& event, Time now);
  HeartbeatOutcome apply_heartbeat(const wire::Heartbeat& heartbeat, Time now);
  // Assigns waiting tasks; to be called after a batch of events and heartbeats.
  void assign_tasks(Time now);

  // ---- Responses to workers ----
  // The commands for the response to the machine's last heartbeat; starts count as dispatched from here on.
  // Without `allow_starts` (the leader's view may be stale) only tasks that are there are dealt with.
  std::vector<wire::Command> commands_for(const MachineId& machine, bool allow_starts, Time now);
  // Why the response to the machine's last heartbeat should wait.
  ResponseHold response_hold(const MachineId& machine, Time now) const;
  // The heartbeat is the machine's last one and has not been answered.
  bool awaits_response(const wire::Heartbeat& heartbeat) const;
  void response_sent(const MachineId& machine, Time now);

  // ---- Writes and other effects ----
  // The next transaction to write; nothing where all is stored, in flight or not yet due.
  std::optional<StateWrite> next_write(Time now);
  // Seconds until `next_write` may have one; nothing where all is stored or in flight.
  std::optional<double> next_write_due_in(Time now) const;
  std::vector<Effect> take_effects();
  // What happened to cancelled jobs since the last call.
  std::vector<CancellationReport> take_cancellation_reports();

  // ---- Views ----
  FencingToken token() const { return state_.token(); }
  bool loaded() const { return state_.loaded(); }
  // What users are told of an active job; nothing where it is unknown here or cancelled.
  std::optional<JobProgress> progress(const JobId& id) const;
  const Job* job(const JobId& id) const { return state_.find_job(id); }
  const Machine* machine(const MachineId& id) const { return state_.find_machine(id); }
  std::size_t jobs() const { return state_.jobs().size(); }
  std::size_t fleet() const { return state_.machines().size(); }
  // Machines whose workers should be sending heartbeats.
  std::size_t machines_up() const;
  // Jobs that should have an active record.
  std::vector<JobId> active_jobs() const;
  wire::Resources team_usage(const std::string& team) const { return state_.team_usage(team); }
  const FleetSummary& fleet_summary() const { return autoscaler_.summary(); }
  AssignmentCounts assignment_counts() const;
  CancellationSummary cancellation_summary(Time now) const { return cancellations_.summary(now); }
  std::map<InstanceOffering, OfferingUsage> usage_by_offering() const;
  std::size_t task_log_segments() const { return task_log_.segment_count(); }
  // Machines and jobs looked at so far while tasks were assigned: the work that must not grow with the fleet.
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
  std::int64_t elected_ms_;  // the same moment by the time of day

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
  TerminationNotices notices_;
  MachineHealth health_;
  FailureDetector failure_detector_;
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
