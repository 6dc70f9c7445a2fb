// Safety properties of the leader: no task runs twice, no result is lost, and no cancelled task keeps
// running.
#include "cluster_fixture.hpp"
#include "constants.hpp"

namespace dockdyke::testing {

using wire::CommandKind;
using wire::ExitCause;
using wire::TaskState;

class SafetyTest : public ClusterTest {};

TEST_F(SafetyTest, StartIsSentOnlyAfterAssignmentIsDurable) {
  complete_loading();
  auto worker = connect_worker("n-1");
  state_service_available = false;
  submit(job_spec("job-1", 1));
  EXPECT_EQ(count(exchange_heartbeat(worker), CommandKind::start), 0u);
  EXPECT_EQ(cluster.response_hold(MachineId("n-1"), now), ResponseHold::awaiting_write);
  state_service_available = true;
  const auto commands = exchange_heartbeat(worker);
  ASSERT_EQ(count(commands, CommandKind::start), 1u);
  EXPECT_EQ(commands[0].attempt, 1u);
}

TEST_F(SafetyTest, LostStartIsResentAsSameAttempt) {
  complete_loading();
  auto worker = connect_worker("n-1");
  submit(job_spec("job-1", 1));
  ASSERT_EQ(count(exchange_heartbeat(worker), CommandKind::start), 1u);
  const auto resent = exchange_heartbeat(worker);  // the heartbeat lacks the task
  ASSERT_EQ(count(resent, CommandKind::start), 1u);
  EXPECT_EQ(resent[0].attempt, 1u);
}

TEST_F(SafetyTest, AdoptedTaskIsReleasedOnlyUnderAcknowledgedToken) {
  load_job(job_spec("job-1", 1), {{0, 3, MachineId("n-1"), false}});
  complete_loading();
  auto other = connect_worker("n-2");
  Worker worker{"n-1"};
  worker.token = 20;  // of a previous leader, which may still start the task
  exchange_heartbeat(worker);
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.at(0).machine->id, MachineId("n-1"));
  EXPECT_EQ(count(exchange_heartbeat(other), CommandKind::start), 0u);
  exchange_heartbeat(worker);  // acknowledges the token and lacks the task
  assign_and_write();
  const auto& assignment = cluster.job(JobId("job-1"))->assignments.at(0);
  EXPECT_EQ(assignment.attempt, 4u) << "attempt numbers must not be reused";
}

TEST_F(SafetyTest, AdoptedTaskMissingFromNewIncarnationIsReassigned) {
  // An adopted task that was observed must be released although this leader has not dispatched it.
  load_job(job_spec("job-1", 1), {{0, 1, MachineId("n-1"), false}});
  complete_loading();
  Worker worker{"n-1"};
  worker.report_task("job-1", 0, 1, TaskState::running);
  exchange_heartbeat(worker);
  exchange_heartbeat(worker);  // acknowledges the token, so the task is observed
  ASSERT_TRUE(cluster.job(JobId("job-1"))->assignments.at(0).observed);
  worker.tasks.clear();
  worker.incarnation = 2;
  worker.sequence_number = 100;
  exchange_heartbeat(worker);
  assign_and_write();
  EXPECT_EQ(cluster.job(JobId("job-1"))->tasks[0].attempt, 2u);
}

TEST_F(SafetyTest, StoppedUndispatchedTaskReleasesCapacity) {
  // The task is preempted before its assignment is durable. It was never on a worker, so no heartbeat can
  // confirm that it has ended.
  complete_loading();
  auto worker = connect_worker("n-1");
  state_service_available = false;
  submit(job_spec("job-1", 1, 8));
  exchange_heartbeat(worker);
  ASSERT_EQ(cluster.job(JobId("job-1"))->assignments.size(), 1u);
  auto urgent = job_spec("job-2", 1, 8);
  urgent.priority = wire::Priority::high;
  submit(urgent);
  for (int i = 0; i < 5; ++i) {
    advance_time(2);
    exchange_heartbeat(worker);
  }
  state_service_available = true;
  std::size_t urgent_starts = 0;
  for (int i = 0; i < 3; ++i) {
    advance_time(2);
    for (const auto& command : exchange_heartbeat(worker))
      urgent_starts += command.kind == CommandKind::start && command.task.job == JobId("job-2");
  }
  EXPECT_GE(urgent_starts, 1u);
}

TEST_F(SafetyTest, PreviousLeadersWorkerIsDeletedBeforeTaskRelease) {
  load_job(job_spec("job-1", 1), {{0, 1, MachineId("n-1"), false}});
  complete_loading();
  cluster.apply(MachinesListed{{{MachineId("n-1"), "small", "a", true, wire::InstanceState::running, 90}}},
                now);
  auto other = connect_worker("n-2");
  advance_time(20);  // twice the lease duration
  exchange_heartbeat(other);
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.at(0).machine->id, MachineId("n-1"));
  advance_time(60);
  const std::vector<MachineId> unresponsive{MachineId("n-1")};
  const auto deletions = emitted_effects<RequestScaleIn>();
  const bool deleted = std::any_of(deletions.begin(), deletions.end(),
                                   [&](const auto& each) { return each.machines == unresponsive; });
  EXPECT_TRUE(deleted);
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.at(0).machine->id, MachineId("n-1"))
      << "the task must not be released before the cloud confirms the deletion";
  cluster.apply(MachinesDeleted{"return/1", unresponsive}, now);
  EXPECT_TRUE(cluster.job(JobId("job-1"))->assignments.empty());
}

TEST_F(SafetyTest, TasksAreReassignedOnlyAfterLeaseExpiry) {
  complete_loading();
  auto worker = connect_worker("n-1");
  submit(job_spec("job-1", 1));
  exchange_heartbeat(worker);
  worker.report_task("job-1", 0, 1, TaskState::running);
  exchange_heartbeat(worker);
  auto other = connect_worker("n-2");
  advance_time(9);
  exchange_heartbeat(other);
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.at(0).machine->id, MachineId("n-1"));
  advance_time(3);
  exchange_heartbeat(other);
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.at(0).machine->id, MachineId("n-2"));
}

TEST_F(SafetyTest, DelayedHeartbeatIsStale) {
  complete_loading();
  auto worker = connect_worker("n-1");
  auto delayed = worker.next_heartbeat();  // lacks the task and arrives late
  submit(job_spec("job-1", 1));
  exchange_heartbeat(worker);
  worker.report_task("job-1", 0, 1, TaskState::running);
  exchange_heartbeat(worker);
  EXPECT_EQ(cluster.apply_heartbeat(delayed, now), HeartbeatOutcome::stale);
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.at(0).attempt, 1u);
}

TEST_F(SafetyTest, HeartbeatWithHigherTokenSupersedesLeader) {
  complete_loading();
  Worker worker{"n-1"};
  worker.token = kToken + 1;
  exchange_heartbeat(worker);
  EXPECT_EQ(last_heartbeat_outcome, HeartbeatOutcome::superseded);
}

TEST_F(SafetyTest, ExitIsAcknowledgedOnlyAfterResultIsDurable) {
  complete_loading();
  auto worker = connect_worker("n-1");
  submit(job_spec("job-1", 2, 8));
  exchange_heartbeat(worker);
  worker.report_task("job-1", 0, 1, TaskState::exited, ExitCause::done);
  state_service_available = false;
  EXPECT_EQ(count(exchange_heartbeat(worker), CommandKind::acknowledge), 0u);
  state_service_available = true;
  const auto commands = exchange_heartbeat(worker);
  EXPECT_EQ(count(commands, CommandKind::acknowledge), 1u);
  EXPECT_EQ(cluster.job(JobId("job-1"))->done_count, 1u);
}

TEST_F(SafetyTest, CompletedTaskIsNotRestartedAfterFailover) {
  load_job(job_spec("job-1", 2), {{0, 1, {}, true}, {1, 1, MachineId("n-1"), false}});
  complete_loading();
  Worker worker{"n-1"};
  worker.report_task("job-1", 0, 1, TaskState::exited, ExitCause::done);
  worker.report_task("job-1", 1, 1, TaskState::running);
  exchange_heartbeat(worker);
  const auto commands = exchange_heartbeat(worker);
  EXPECT_EQ(count(commands, CommandKind::acknowledge), 1u);
  EXPECT_EQ(count(commands, CommandKind::start), 0u);
  EXPECT_EQ(count(commands, CommandKind::stop), 0u);
}

TEST_F(SafetyTest, CancelledTaskIsStoppedUntilConfirmedEnded) {
  complete_loading();
  auto worker = connect_worker("n-1");
  submit(job_spec("job-1", 1));
  ASSERT_EQ(count(exchange_heartbeat(worker), CommandKind::start), 1u);  // still in flight
  cluster.apply(JobRecordDeleted{JobId("job-1")}, now);
  EXPECT_EQ(cluster.team_usage("team").cpus, 4);
  worker.report_task("job-1", 0, 1, TaskState::running);
  const auto commands = exchange_heartbeat(worker);
  ASSERT_EQ(count(commands, CommandKind::stop), 1u);
  EXPECT_EQ(commands[0].grace_s, 0);
  worker.tasks.clear();
  exchange_heartbeat(worker);
  EXPECT_EQ(cluster.job(JobId("job-1")), nullptr);
  EXPECT_EQ(cluster.team_usage("team").cpus, 0);
  ASSERT_EQ(emitted_effects<DeleteKeys>().size(), 1u);
  EXPECT_EQ(emitted_effects<DeleteKeys>()[0].keys[0], key::terminating_job(JobId("job-1")));
}

TEST_F(SafetyTest, TerminatingRecordOfUnknownJobIsDeletedOnce) {
  // If the cancellation is delivered before the submission, the terminating record must not stay in the state
  // service.
  complete_loading();
  cluster.apply(JobRecordDeleted{JobId("job-1")}, now);
  cluster.apply(JobRecordDeleted{JobId("job-1")}, now);  // the watch delivers it again
  ASSERT_EQ(emitted_effects<DeleteKeys>().size(), 1u);
  EXPECT_EQ(emitted_effects<DeleteKeys>()[0].keys,
            std::vector<std::string>{key::terminating_job(JobId("job-1"))});
}

TEST_F(SafetyTest, TaskCancelledBeforeFailoverIsStoppedAndCountsTowardsUsage) {
  load_job(job_spec("job-1", 1), {{0, 1, MachineId("n-1"), false}}, true);
  complete_loading();
  EXPECT_EQ(cluster.team_usage("team").cpus, 4) << "the task may be running on an unreachable machine";
  Worker worker{"n-1"};
  worker.report_task("job-1", 0, 1, TaskState::running);
  exchange_heartbeat(worker);
  EXPECT_EQ(count(exchange_heartbeat(worker), CommandKind::stop), 1u);
}

TEST_F(SafetyTest, TaskCancelledBeforeFailoverIsStoppedInFirstResponse) {
  load_job(job_spec("job-1", 2), {{0, 1, MachineId("n-1"), false}, {1, 1, MachineId("n-1"), false}}, true);
  complete_loading();
  Worker worker{.name = "n-1", .token = kToken - 10};
  worker.report_task("job-1", 0, 1, wire::TaskState::running);
  worker.report_task("job-1", 1, 1, wire::TaskState::fetching_image);
  EXPECT_EQ(count(exchange_heartbeat(worker), CommandKind::stop), 2u);
}

TEST_F(SafetyTest, FirstResponseOnlyStopsTasksOfUnknownJob) {
  complete_loading();
  submit(job_spec("job-2", 1));
  Worker worker{.name = "n-1", .token = kToken - 10};
  worker.report_task("job-1", 0, 1, wire::TaskState::running);
  worker.report_task("job-1", 1, 1, wire::TaskState::exited);
  const auto commands = exchange_heartbeat(worker);
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_EQ(commands[0].kind, CommandKind::stop);
  EXPECT_EQ(commands[0].task.index, 0u);
}

TEST_F(SafetyTest, TaskOnTerminatingMachineIsStoppedInFirstResponse) {
  auto spec = job_spec("job-1", 1);
  spec.checkpoint_interval_s = 5;
  spec.checkpoint_duration_s = 2;
  load_job(spec, {{0, 1, MachineId("n-1"), false}});
  complete_loading();
  Worker worker{.name = "n-1", .token = kToken - 10, .termination_notice_s = 6};
  worker.report_task("job-1", 0, 1, wire::TaskState::running);
  send_heartbeat(worker);
  advance_time(1);
  EXPECT_EQ(count(receive_response(worker), CommandKind::stop), 1u);
}

TEST_F(SafetyTest, CancelledGangIsStoppedInFirstResponse) {
  auto spec = job_spec("job-1", 2);
  spec.kind = wire::JobKind::gang;
  cluster.apply(JobLoaded{job_record(spec), Revision(40), true}, now);
  const GangPart part{
      JobId("job-1"), 3, 0, 1, {{0, 3, MachineId("n-1"), false}, {1, 3, MachineId("n-1"), false}}};
  cluster.apply(GangPartLoaded{"gang/job-1/3/0", part}, now);
  complete_loading();
  Worker worker{.name = "n-1", .token = kToken - 10};
  worker.report_task("job-1", 0, 3, wire::TaskState::running);
  worker.report_task("job-1", 1, 3, wire::TaskState::running);
  EXPECT_EQ(count(exchange_heartbeat(worker), CommandKind::stop), 2u);
}

TEST_F(SafetyTest, StopsPrecedeAcknowledgements) {
  complete_loading();
  Worker worker{.name = "n-1", .token = kToken};
  for (TaskIndex i = 0; i < constants::kMaxCommandsPerResponse; ++i)
    worker.report_task("job-1", i, 1, wire::TaskState::exited);
  worker.report_task("job-1", 5000, 1, wire::TaskState::running);
  const auto commands = exchange_heartbeat(worker);
  EXPECT_EQ(commands.size(), constants::kMaxCommandsPerResponse);
  EXPECT_EQ(count(commands, CommandKind::stop), 1u);
}

TEST_F(SafetyTest, MachineWithUnknownTaskGetsStopAndNoStart) {
  complete_loading();
  Worker worker{"n-1"};
  worker.report_task("job-9", 0, 1, TaskState::running);
  exchange_heartbeat(worker);
  submit(job_spec("job-1", 1));
  const auto commands = exchange_heartbeat(worker);
  EXPECT_EQ(count(commands, CommandKind::stop), 1u);
  EXPECT_EQ(count(commands, CommandKind::start), 0u);
}

TEST_F(SafetyTest, SegmentAppliedByPreviousAttemptCountsAsDurable) {
  complete_loading();
  auto worker = connect_worker("n-1");
  state_service_available = false;
  submit(job_spec("job-1", 1));
  cluster.assign_tasks(now);
  const auto write = cluster.next_write(now);
  ASSERT_TRUE(write);
  ASSERT_EQ(write->transaction.preconditions.size(), 1u);
  EXPECT_EQ(write->transaction.preconditions[0].version, Revision(0))
      << "a segment must not be written twice";
  EXPECT_EQ(count(receive_response(worker), CommandKind::start), 0u);
  cluster.apply(WriteConflicted{write->number, {write->transaction.preconditions[0].key}}, now);
  EXPECT_EQ(count(exchange_heartbeat(worker), CommandKind::start), 1u);
}

TEST_F(SafetyTest, ResubmissionWhileLoadingKeepsTasksOfPreviousLeader) {
  // The idempotent submission arrives while the new leader is still loading records.
  cluster.apply(JobSubmitted{job_record(job_spec("job-1", 1)), Revision(40)}, now);
  load_job(job_spec("job-1", 1), {{0, 1, MachineId("n-1"), false}});
  complete_loading();
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.at(0).machine->id, MachineId("n-1"));
}

// Guards against a job that runs after its end, since its record was read before a new leader loaded all
// records and the submission event arrives afterwards.
TEST_F(SafetyTest, SubmissionEventOlderThanLoadedRecordsIsIgnored) {
  cluster.apply(LoadCompleted{Revision(60)}, now);
  auto worker = connect_worker("n-1");
  cluster.apply(JobSubmitted{job_record(job_spec("job-1", 1)), Revision(60)}, now);
  EXPECT_EQ(count(exchange_heartbeat(worker), CommandKind::start), 0u);
  EXPECT_EQ(cluster.job(JobId("job-1")), nullptr);
  cluster.apply(JobSubmitted{job_record(job_spec("job-2", 1)), Revision(61)}, now);
  EXPECT_EQ(count(exchange_heartbeat(worker), CommandKind::start), 1u);
}

TEST_F(SafetyTest, DelayedSubmissionEventDoesNotRestartEndedJob) {
  // A delayed watch response can deliver the submission after the job has ended and its record has been
  // removed.
  complete_loading();
  auto worker = connect_worker("n-1");
  submit(job_spec("job-1", 1));
  exchange_heartbeat(worker);
  worker.report_task("job-1", 0, 1, TaskState::exited, ExitCause::done);
  exchange_heartbeat(worker);
  ASSERT_EQ(cluster.job(JobId("job-1")), nullptr);
  worker.tasks.clear();
  submit(job_spec("job-1", 1));
  EXPECT_EQ(count(exchange_heartbeat(worker), CommandKind::start), 0u);
  cluster.apply(JobRecordDeleted{JobId("job-2")}, now);  // the removal is delivered first
  submit(job_spec("job-2", 1));
  EXPECT_EQ(cluster.job(JobId("job-2")), nullptr);
}

TEST_F(SafetyTest, NoStartIsSentWhileLocalViewMayBeStale) {
  complete_loading();
  auto worker = connect_worker("n-1");
  submit(job_spec("job-1", 1));
  assign_and_write();
  cluster.apply_heartbeat(worker.next_heartbeat(), now);
  EXPECT_EQ(count(cluster.commands_for(MachineId("n-1"), false, now), CommandKind::start), 0u);
  EXPECT_EQ(count(cluster.commands_for(MachineId("n-1"), true, now), CommandKind::start), 1u);
}

TEST_F(SafetyTest, CompletedJobRecordMovesInOneTransaction) {
  complete_loading();
  auto worker = connect_worker("n-1");
  submit(job_spec("job-1", 1));
  exchange_heartbeat(worker);
  worker.report_task("job-1", 0, 1, TaskState::exited, ExitCause::done);
  exchange_heartbeat(worker);
  ASSERT_FALSE(applied_writes.empty());
  const auto& txn = applied_writes.back().transaction;
  EXPECT_EQ(txn.deletions, std::vector<std::string>{key::active_job(JobId("job-1"))});
  EXPECT_EQ(txn.puts.at(0).key, key::terminal_job(JobId("job-1")));
  EXPECT_EQ(cluster.job(JobId("job-1")), nullptr);
}

TEST_F(SafetyTest, DelayedHeartbeatOrListDoesNotRestoreDeletedMachine) {
  complete_loading();
  auto worker = connect_worker("n-1");
  cluster.apply(MachinesDeleted{"return/1", {MachineId("n-1")}}, now);
  exchange_heartbeat(worker);
  EXPECT_EQ(last_heartbeat_outcome, HeartbeatOutcome::stale);
  cluster.apply(MachinesListed{{{MachineId("n-1"), "small", "a", true, wire::InstanceState::running, 90}}},
                now);
  EXPECT_EQ(cluster.machine(MachineId("n-1")), nullptr) << "the list lags behind the deletion";
}

// ---- Heartbeats arrive, but responses do not reach the worker ----

TEST_F(SafetyTest, TasksAreReassignedWhenResponsesAreNotDelivered) {
  complete_loading();
  auto worker = connect_worker("n-1");
  submit(job_spec("job-1", 2));
  ASSERT_EQ(count(exchange_heartbeat(worker), CommandKind::start), 2u);
  auto other = connect_worker("n-2");
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.at(0).machine->id, MachineId("n-1"));
  advance_time(2);
  send_heartbeat(worker);  // after one lost response the same attempt is sent again to the same machine
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.at(0).attempt, 1u);
  ASSERT_EQ(count(receive_response(worker), CommandKind::start), 2u);
  advance_time(2);
  send_heartbeat(other);
  send_heartbeat(worker);  // newer than the response that carried the start commands, and lacks the tasks
  assign_and_write();
  for (const auto& [index, assignment] : cluster.job(JobId("job-1"))->assignments) {
    EXPECT_EQ(assignment.machine->id, MachineId("n-2"));
    EXPECT_EQ(assignment.attempt, 2u);
  }
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.size(), 2u);
  EXPECT_EQ(cluster.progress(JobId("job-1"))->status.running_tasks, 0u)
      << "an assigned task that was not observed does not count as running";
}

TEST_F(SafetyTest, MachineWithUndeliveredResponsesIsDeletedAfterLease) {
  complete_loading();
  auto worker = connect_worker("n-1");
  submit(job_spec("job-1", 1));
  exchange_heartbeat(worker);
  for (int i = 0; i < 2; ++i) {
    advance_time(2);
    exchange_heartbeat(worker);
  }
  submit(job_spec("job-2", 1));
  for (int i = 0; i < 3; ++i) {
    advance_time(2);
    EXPECT_EQ(count(exchange_heartbeat(worker), CommandKind::start), 0u);
  }
  EXPECT_TRUE(emitted_effects<RequestScaleIn>().empty()) << "the worker's lease may still be valid";
  for (int i = 0; i < 6; ++i) {
    advance_time(2);
    exchange_heartbeat(worker);
  }
  ASSERT_FALSE(emitted_effects<RequestScaleIn>().empty());
  EXPECT_EQ(emitted_effects<RequestScaleIn>()[0].machines, std::vector<MachineId>{MachineId("n-1")});
}

TEST_F(SafetyTest, UnacknowledgedTokenLeadsToDeletionBeforeTaskRelease) {
  load_job(job_spec("job-1", 1), {{0, 1, MachineId("n-1"), false}});
  complete_loading();
  Worker worker{"n-1"};
  worker.report_task("job-1", 0, 1, TaskState::running);
  for (int i = 0; i < 12; ++i) {
    worker.token = 20;  // always of a previous leader
    exchange_heartbeat(worker);
    advance_time(2);
  }
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.at(0).machine->id, MachineId("n-1"));
  const std::vector<MachineId> deleted{MachineId("n-1")};
  ASSERT_FALSE(emitted_effects<RequestScaleIn>().empty());
  EXPECT_EQ(emitted_effects<RequestScaleIn>()[0].machines, deleted);
  cluster.apply(MachinesDeleted{"return/1", deleted}, now);
  EXPECT_TRUE(cluster.job(JobId("job-1"))->assignments.empty());
}

TEST_F(SafetyTest, MachineGetsWorkAgainOnceResponsesAreDelivered) {
  complete_loading();
  auto worker = connect_worker("n-1");
  submit(job_spec("job-1", 1));
  exchange_heartbeat(worker);
  exchange_heartbeat(worker);  // the response to the previous heartbeat was lost
  worker.report_task("job-1", 0, 1, TaskState::running);
  exchange_heartbeat(worker);
  EXPECT_EQ(cluster.machine(MachineId("n-1"))->undelivered_responses, 0u);
  submit(job_spec("job-2", 1));
  EXPECT_EQ(count(exchange_heartbeat(worker), CommandKind::start), 1u);
}

// ---- Delayed and duplicated heartbeats ----

TEST_F(SafetyTest, DuplicatedHeartbeatDoesNotRenewLease) {
  complete_loading();
  auto worker = connect_worker("n-1");
  submit(job_spec("job-1", 1));
  exchange_heartbeat(worker);
  worker.report_task("job-1", 0, 1, TaskState::running);
  const auto duplicate = worker.next_heartbeat();
  cluster.apply_heartbeat(duplicate, now);
  assign_and_write();
  receive_response(worker);
  auto other = connect_worker("n-2");
  for (int i = 0; i < 14; ++i) {
    advance_time(1);
    EXPECT_EQ(cluster.apply_heartbeat(duplicate, now), HeartbeatOutcome::stale);
  }
  exchange_heartbeat(other);
  send_heartbeat(other);
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.at(0).machine->id, MachineId("n-2"))
      << "duplicated heartbeats must not count as new ones";
}

TEST_F(SafetyTest, DuplicatedHeartbeatDoesNotRestoreTask) {
  complete_loading();
  auto worker = connect_worker("n-1");
  submit(job_spec("job-1", 1));
  exchange_heartbeat(worker);
  worker.report_task("job-1", 0, 1, TaskState::running);
  const auto duplicate = worker.next_heartbeat();
  cluster.apply_heartbeat(duplicate, now);
  worker.tasks.clear();
  worker.incarnation = 2;  // the worker's lease has expired, which ended the task
  exchange_heartbeat(worker);
  EXPECT_EQ(cluster.apply_heartbeat(duplicate, now), HeartbeatOutcome::stale);
  EXPECT_FALSE(cluster.job(JobId("job-1"))->assignments.at(0).observed);
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.at(0).attempt, 2u);
}

TEST_F(SafetyTest, DelayedHeartbeatAtNewLeaderReleasesNoTasks) {
  load_job(job_spec("job-1", 2), {{0, 1, MachineId("n-1"), false}, {1, 1, MachineId("n-1"), false}});
  complete_loading();
  Worker worker{"n-1"};
  worker.token = kToken - 1;
  auto delayed = worker.next_heartbeat();  // sent under the previous leader, before the tasks were started
  worker.sequence_number = 50;
  EXPECT_EQ(cluster.apply_heartbeat(delayed, now), HeartbeatOutcome::accepted);
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.size(), 2u)
      << "tasks missing from it are not confirmed ended";
  EXPECT_EQ(count(receive_response(worker), CommandKind::start), 0u);
  worker.report_task("job-1", 0, 1, TaskState::running);
  exchange_heartbeat(worker);  // acknowledges the token
  assign_and_write();
  const auto& assignments = cluster.job(JobId("job-1"))->assignments;
  EXPECT_TRUE(assignments.at(0).observed);
  EXPECT_EQ(cluster.job(JobId("job-1"))->tasks[1].attempt, 2u)
      << "this heartbeat confirms that the task has ended";
  EXPECT_EQ(cluster.apply_heartbeat(delayed, now), HeartbeatOutcome::stale);
}

// Guards against a second start of an attempt by copies of heartbeats, after its task was moved, completed or
// cancelled.
TEST_F(SafetyTest, CopiesOfHeartbeatsRepeatNoStart) {
  complete_loading();
  std::map<wire::TaskId, std::set<Attempt>> started;
  std::vector<wire::Heartbeat> sent;
  // Sends the worker's next heartbeat and copies of all earlier ones, and starts what the response commands.
  const auto exchange_with_copies = [&](Worker& worker) {
    sent.push_back(worker.next_heartbeat());
    cluster.apply_heartbeat(sent.back(), now);
    assign_and_write();
    for (const auto& copy : sent) EXPECT_EQ(cluster.apply_heartbeat(copy, now), HeartbeatOutcome::stale);
    const auto commands = receive_response(worker);
    worker.run_started_tasks(commands);
    for (const auto& command : commands) {
      if (command.kind == CommandKind::acknowledge)
        std::erase_if(worker.tasks, [&](const auto& task) { return task.task == command.task; });
      if (command.kind != CommandKind::start) continue;
      EXPECT_TRUE(started[command.task].insert(command.attempt).second)
          << wire::to_string(command.task) << " attempt " << command.attempt << " is started twice";
    }
  };
  Worker first{"n-1"};
  for (int i = 0; i < 2; ++i) exchange_with_copies(first);
  for (const char* id : {"job-1", "job-2", "job-3"}) submit(job_spec(id, 1, 2));
  for (int i = 0; i < 3; ++i) exchange_with_copies(first);
  ASSERT_EQ(first.tasks.size(), 3u);
  first.end_tasks(ExitCause::done, JobId("job-1"));
  cluster.apply(JobRecordDeleted{JobId("job-2")}, now);
  first.termination_notice_s = 60;
  exchange_with_copies(first);
  first.end_tasks(ExitCause::stopped, JobId("job-2"));
  first.end_tasks(ExitCause::stopped, JobId("job-3"));  // it is moved
  for (int i = 0; i < 3; ++i) exchange_with_copies(first);
  EXPECT_TRUE(first.tasks.empty());
  Worker second{"n-2"};
  for (int i = 0; i < 4; ++i) {
    exchange_with_copies(second);
    exchange_with_copies(first);
  }
  const std::map<wire::TaskId, std::set<Attempt>> expected{
      {{JobId("job-1"), 0}, {1}}, {{JobId("job-2"), 0}, {1}}, {{JobId("job-3"), 0}, {1, 2}}};
  EXPECT_EQ(started, expected);
}

class QuotaTest : public ClusterTest {
 protected:
  static ClusterConfig config_with_quota() {
    auto config = cluster_config();
    config.teams[0].quota.cpus = 8;
    return config;
  }
  QuotaTest() : ClusterTest(config_with_quota()) {}
};

TEST_F(QuotaTest, TasksOfPreviousLeaderCountTowardsQuotaUntilConfirmedEnded) {
  load_job(job_spec("job-1", 2), {{0, 1, MachineId("n-1"), false}, {1, 1, MachineId("n-1"), false}});
  complete_loading();
  submit(job_spec("job-2", 2));
  auto other = connect_worker("n-2");
  EXPECT_EQ(count(exchange_heartbeat(other), CommandKind::start), 0u);
  Worker worker{"n-1"};
  exchange_heartbeat(worker);
  exchange_heartbeat(worker);  // confirms that both tasks have ended
  assign_and_write();
  EXPECT_LE(cluster.team_usage("team").cpus, 8);
  EXPECT_GT(cluster.team_usage("team").cpus, 0);
}

}  // namespace dockdyke::testing
