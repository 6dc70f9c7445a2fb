// Scenarios about what must never happen: a task twice, a result lost, a cancelled task left running.
#include "cluster_fixture.hpp"
#include "constants.hpp"

namespace dockdyke::testing {

using wire::CommandKind;
using wire::ExitCause;
using wire::TaskState;

class SafetyTest : public ClusterTest {};

TEST_F(SafetyTest, StartGoesOutOnlyOnceItsPlaceIsOnRecord) {
  loaded();
  auto worker = ready_worker("n-1");
  store_answers = false;
  submit(job_spec("job-1", 1));
  EXPECT_EQ(count(exchange(worker), CommandKind::start), 0u);
  EXPECT_EQ(cluster.response_hold(MachineId("n-1"), now), ResponseHold::awaiting_write);
  store_answers = true;
  const auto commands = exchange(worker);
  ASSERT_EQ(count(commands, CommandKind::start), 1u);
  EXPECT_EQ(commands[0].attempt, 1u);
}

TEST_F(SafetyTest, StartLostWithItsAnswerIsSentAgainAsTheSameAttempt) {
  loaded();
  auto worker = ready_worker("n-1");
  submit(job_spec("job-1", 1));
  ASSERT_EQ(count(exchange(worker), CommandKind::start), 1u);
  const auto again = exchange(worker);  // reports without the task
  ASSERT_EQ(count(again, CommandKind::start), 1u);
  EXPECT_EQ(again[0].attempt, 1u);
}

TEST_F(SafetyTest, InheritedTaskIsGoneOnlyByAReportUnderOurToken) {
  inherit(job_spec("job-1", 1), {{0, 3, MachineId("n-1"), false}});
  loaded();
  auto other = ready_worker("n-2");
  Worker worker{"n-1"};
  worker.token = 20;  // an earlier leader's: it may yet start the task
  exchange(worker);
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.at(0).machine->id, MachineId("n-1"));
  EXPECT_EQ(count(exchange(other), CommandKind::start), 0u);
  exchange(worker);  // now under our token and without the task
  settle();
  const auto& assignment = cluster.job(JobId("job-1"))->assignments.at(0);
  EXPECT_EQ(assignment.attempt, 4u) << "the lost attempt's number is never used again";
}

TEST_F(SafetyTest, AdoptedTaskThatItsWorkersNextSessionLacksGoesElsewhere) {
  // Found by random faults: our answers did not reach the worker for longer than its lease, its reports
  // went on. The task was not inherited any more and had never been sent by us, and counted as running there
  // for ever.
  inherit(job_spec("job-1", 1), {{0, 1, MachineId("n-1"), false}});
  loaded();
  Worker worker{"n-1"};
  worker.shows("job-1", 0, 1, TaskState::running);
  exchange(worker);
  exchange(worker);  // under our token: adopted
  ASSERT_TRUE(cluster.job(JobId("job-1"))->assignments.at(0).observed);
  worker.tasks.clear();
  worker.incarnation = 2;
  worker.sequence_number = 100;
  exchange(worker);
  settle();
  EXPECT_EQ(cluster.job(JobId("job-1"))->tasks[0].attempt, 2u);
}

TEST_F(SafetyTest, StoppedTaskWhoseStartNeverWentOutGivesItsPlaceUp) {
  // Found by random faults: in an outage its record waits, more urgent work has it stopped, and no report
  // can ever show it gone, since it never was anywhere.
  loaded();
  auto worker = ready_worker("n-1");
  store_answers = false;
  submit(job_spec("job-1", 1, 8));
  exchange(worker);
  ASSERT_EQ(cluster.job(JobId("job-1"))->assignments.size(), 1u);
  auto urgent = job_spec("job-2", 1, 8);
  urgent.priority = wire::Priority::high;
  submit(urgent);
  for (int i = 0; i < 5; ++i) {
    pass(2);
    exchange(worker);
  }
  store_answers = true;
  std::size_t urgent_starts = 0;
  for (int i = 0; i < 3; ++i) {
    pass(2);
    for (const auto& command : exchange(worker))
      urgent_starts += command.kind == CommandKind::start && command.task.job == JobId("job-2");
  }
  EXPECT_GE(urgent_starts, 1u);
}

TEST_F(SafetyTest, WorkerAnOlderLeaderMayKeepAliveIsDeletedNotPresumedDead) {
  inherit(job_spec("job-1", 1), {{0, 1, MachineId("n-1"), false}});
  loaded();
  cluster.apply(MachinesListed{{{MachineId("n-1"), "small", "a", true, wire::InstanceState::running, 90}}},
                now);
  auto other = ready_worker("n-2");
  pass(20);  // twice the lease
  exchange(other);
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.at(0).machine->id, MachineId("n-1"));
  pass(60);
  const std::vector<MachineId> silent_one{MachineId("n-1")};
  const auto deletions = seen<RequestScaleIn>();
  const bool deleted = std::any_of(deletions.begin(), deletions.end(),
                                   [&](const auto& each) { return each.machines == silent_one; });
  EXPECT_TRUE(deleted);
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.at(0).machine->id, MachineId("n-1"))
      << "not before the cloud says so";
  cluster.apply(MachinesDeleted{"return/1", silent_one}, now);
  EXPECT_TRUE(cluster.job(JobId("job-1"))->assignments.empty());
}

TEST_F(SafetyTest, TrustedWorkersTasksMoveOnlyAfterItsLease) {
  loaded();
  auto worker = ready_worker("n-1");
  submit(job_spec("job-1", 1));
  exchange(worker);
  worker.shows("job-1", 0, 1, TaskState::running);
  exchange(worker);
  auto other = ready_worker("n-2");
  pass(9);
  exchange(other);
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.at(0).machine->id, MachineId("n-1"));
  pass(3);
  exchange(other);
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.at(0).machine->id, MachineId("n-2"));
}

TEST_F(SafetyTest, LateReportChangesNothing) {
  loaded();
  auto worker = ready_worker("n-1");
  auto late = worker.heartbeat();  // without tasks, and held by the network
  submit(job_spec("job-1", 1));
  exchange(worker);
  worker.shows("job-1", 0, 1, TaskState::running);
  exchange(worker);
  EXPECT_EQ(cluster.apply_heartbeat(late, now), HeartbeatOutcome::stale);
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.at(0).attempt, 1u);
}

TEST_F(SafetyTest, ReportUnderAHigherTokenEndsTheLeadership) {
  loaded();
  Worker worker{"n-1"};
  worker.token = kToken + 1;
  exchange(worker);
  EXPECT_EQ(last_fate, HeartbeatOutcome::superseded);
}

TEST_F(SafetyTest, ResultIsForgottenOnlyOnceItIsOnRecord) {
  loaded();
  auto worker = ready_worker("n-1");
  submit(job_spec("job-1", 2, 8));
  exchange(worker);
  worker.shows("job-1", 0, 1, TaskState::exited, ExitCause::done);
  store_answers = false;
  EXPECT_EQ(count(exchange(worker), CommandKind::acknowledge), 0u);
  store_answers = true;
  const auto commands = exchange(worker);
  EXPECT_EQ(count(commands, CommandKind::acknowledge), 1u);
  EXPECT_EQ(cluster.job(JobId("job-1"))->done_count, 1u);
}

TEST_F(SafetyTest, CrashBetweenDoneAndForgetDoesNotRunTheTaskAgain) {
  inherit(job_spec("job-1", 2), {{0, 1, {}, true}, {1, 1, MachineId("n-1"), false}});
  loaded();
  Worker worker{"n-1"};
  worker.shows("job-1", 0, 1, TaskState::exited, ExitCause::done);
  worker.shows("job-1", 1, 1, TaskState::running);
  exchange(worker);
  const auto commands = exchange(worker);
  EXPECT_EQ(count(commands, CommandKind::acknowledge), 1u);
  EXPECT_EQ(count(commands, CommandKind::start), 0u);
  EXPECT_EQ(count(commands, CommandKind::stop), 0u);
}

TEST_F(SafetyTest, CancelledTaskIsStoppedUntilAReportProvesItGone) {
  loaded();
  auto worker = ready_worker("n-1");
  submit(job_spec("job-1", 1));
  ASSERT_EQ(count(exchange(worker), CommandKind::start), 1u);  // on its way
  cluster.apply(JobRecordDeleted{JobId("job-1")}, now);
  EXPECT_EQ(cluster.team_usage("team").cpus, 4);
  worker.shows("job-1", 0, 1, TaskState::running);
  const auto commands = exchange(worker);
  ASSERT_EQ(count(commands, CommandKind::stop), 1u);
  EXPECT_EQ(commands[0].grace_s, 0);
  worker.tasks.clear();
  exchange(worker);
  EXPECT_EQ(cluster.job(JobId("job-1")), nullptr);
  EXPECT_EQ(cluster.team_usage("team").cpus, 0);
  ASSERT_EQ(seen<DeleteKeys>().size(), 1u);
  EXPECT_EQ(seen<DeleteKeys>()[0].keys[0], key::terminating_job(JobId("job-1")));
}

TEST_F(SafetyTest, CopyOfAJobCancelledBeforeItWasHeardOfIsRemovedOnce) {
  // Found by random faults: news of the cancellation came first, and the copy stayed in the store for ever.
  loaded();
  cluster.apply(JobRecordDeleted{JobId("job-1")}, now);
  cluster.apply(JobRecordDeleted{JobId("job-1")}, now);  // by the watch, too
  ASSERT_EQ(seen<DeleteKeys>().size(), 1u);
  EXPECT_EQ(seen<DeleteKeys>()[0].keys, std::vector<std::string>{key::terminating_job(JobId("job-1"))});
}

TEST_F(SafetyTest, TaskCancelledBeforeTheTakeOverIsStillStoppedAndCounted) {
  inherit(job_spec("job-1", 1), {{0, 1, MachineId("n-1"), false}}, true);
  loaded();
  EXPECT_EQ(cluster.team_usage("team").cpus, 4) << "it may be running on a machine that is cut off";
  Worker worker{"n-1"};
  worker.shows("job-1", 0, 1, TaskState::running);
  exchange(worker);
  EXPECT_EQ(count(exchange(worker), CommandKind::stop), 1u);
}

TEST_F(SafetyTest, TaskCancelledBeforeTheTakeOverIsStoppedByTheFirstAnswer) {
  inherit(job_spec("job-1", 2), {{0, 1, MachineId("n-1"), false}, {1, 1, MachineId("n-1"), false}}, true);
  loaded();
  Worker worker{.name = "n-1", .token = kToken - 10};
  worker.shows("job-1", 0, 1, wire::TaskState::running);
  worker.shows("job-1", 1, 1, wire::TaskState::fetching);
  EXPECT_EQ(count(exchange(worker), CommandKind::stop), 2u);
}

TEST_F(SafetyTest, TaskOfAJobThatHasEndedIsStoppedByTheFirstAnswerWhichForgetsAndStartsNothing) {
  loaded();
  submit(job_spec("job-2", 1));
  Worker worker{.name = "n-1", .token = kToken - 10};
  worker.shows("job-1", 0, 1, wire::TaskState::running);
  worker.shows("job-1", 1, 1, wire::TaskState::exited);
  const auto commands = exchange(worker);
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_EQ(commands[0].kind, CommandKind::stop);
  EXPECT_EQ(commands[0].task.index, 0u);
}

TEST_F(SafetyTest, TaskOnAMachineThatIsBeingTakenIsStoppedByTheFirstAnswer) {
  auto spec = job_spec("job-1", 1);
  spec.checkpoint_interval_s = 5;
  spec.checkpoint_duration_s = 2;
  inherit(spec, {{0, 1, MachineId("n-1"), false}});
  loaded();
  Worker worker{.name = "n-1", .token = kToken - 10, .termination_notice_s = 6};
  worker.shows("job-1", 0, 1, wire::TaskState::running);
  heartbeat_only(worker);
  pass(1);
  EXPECT_EQ(count(answer(worker), CommandKind::stop), 1u);
}

TEST_F(SafetyTest, CancelledGangIsStoppedByTheFirstAnswer) {
  auto spec = job_spec("job-1", 2);
  spec.kind = wire::JobKind::gang;
  cluster.apply(JobLoaded{job_record(spec), Revision(40), true}, now);
  const GangPart part{
      JobId("job-1"), 3, 0, 1, {{0, 3, MachineId("n-1"), false}, {1, 3, MachineId("n-1"), false}}};
  cluster.apply(GangPartLoaded{"gang/job-1/3/0", part}, now);
  loaded();
  Worker worker{.name = "n-1", .token = kToken - 10};
  worker.shows("job-1", 0, 3, wire::TaskState::running);
  worker.shows("job-1", 1, 3, wire::TaskState::running);
  EXPECT_EQ(count(exchange(worker), CommandKind::stop), 2u);
}

TEST_F(SafetyTest, StopsGoOutAheadOfAcknowledgements) {
  loaded();
  Worker worker{.name = "n-1", .token = kToken};
  for (TaskIndex i = 0; i < constants::kMaxCommandsPerResponse; ++i)
    worker.shows("job-1", i, 1, wire::TaskState::exited);
  worker.shows("job-1", 5000, 1, wire::TaskState::running);
  const auto commands = exchange(worker);
  EXPECT_EQ(commands.size(), constants::kMaxCommandsPerResponse);
  EXPECT_EQ(count(commands, CommandKind::stop), 1u);
}

TEST_F(SafetyTest, TaskNobodyKnowsIsStoppedAndItsMachineGetsNoWorkMeanwhile) {
  loaded();
  Worker worker{"n-1"};
  worker.shows("job-9", 0, 1, TaskState::running);
  exchange(worker);
  submit(job_spec("job-1", 1));
  const auto commands = exchange(worker);
  EXPECT_EQ(count(commands, CommandKind::stop), 1u);
  EXPECT_EQ(count(commands, CommandKind::start), 0u);
}

TEST_F(SafetyTest, PageWhoseEarlierTryWasAppliedCountsAsWritten) {
  loaded();
  auto worker = ready_worker("n-1");
  store_answers = false;
  submit(job_spec("job-1", 1));
  cluster.assign_tasks(now);
  const auto page = cluster.next_write(now);
  ASSERT_TRUE(page);
  ASSERT_EQ(page->transaction.preconditions.size(), 1u);
  EXPECT_EQ(page->transaction.preconditions[0].version, Revision(0)) << "no page is written twice";
  EXPECT_EQ(count(answer(worker), CommandKind::start), 0u);
  cluster.apply(WriteConflicted{page->number, {page->transaction.preconditions[0].key}}, now);
  EXPECT_EQ(count(exchange(worker), CommandKind::start), 1u);
}

TEST_F(SafetyTest, FreshLookingSubmissionNeverHidesAnEarlierLeadersTasks) {
  // Seen when a user repeats a submission while the new leader is still loading.
  cluster.apply(JobSubmitted{job_record(job_spec("job-1", 1)), Revision(40)}, now);
  inherit(job_spec("job-1", 1), {{0, 1, MachineId("n-1"), false}});
  loaded();
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.at(0).machine->id, MachineId("n-1"));
}

TEST_F(SafetyTest, LateNewsOfASubmissionStartsNothingOnceTheJobIsOver) {
  // A watch's answer that was long on its way tells of a record that is gone by now.
  loaded();
  auto worker = ready_worker("n-1");
  submit(job_spec("job-1", 1));
  exchange(worker);
  worker.shows("job-1", 0, 1, TaskState::exited, ExitCause::done);
  exchange(worker);
  ASSERT_EQ(cluster.job(JobId("job-1")), nullptr);
  worker.tasks.clear();
  submit(job_spec("job-1", 1));
  EXPECT_EQ(count(exchange(worker), CommandKind::start), 0u);
  cluster.apply(JobRecordDeleted{JobId("job-2")}, now);  // its end is heard of first
  submit(job_spec("job-2", 1));
  EXPECT_EQ(cluster.job(JobId("job-2")), nullptr);
}

TEST_F(SafetyTest, NothingStartsWhileTheViewMayBeStale) {
  loaded();
  auto worker = ready_worker("n-1");
  submit(job_spec("job-1", 1));
  settle();
  cluster.apply_heartbeat(worker.heartbeat(), now);
  EXPECT_EQ(count(cluster.commands_for(MachineId("n-1"), false, now), CommandKind::start), 0u);
  EXPECT_EQ(count(cluster.commands_for(MachineId("n-1"), true, now), CommandKind::start), 1u);
}

TEST_F(SafetyTest, FinishedJobMovesInOneTransaction) {
  loaded();
  auto worker = ready_worker("n-1");
  submit(job_spec("job-1", 1));
  exchange(worker);
  worker.shows("job-1", 0, 1, TaskState::exited, ExitCause::done);
  exchange(worker);
  ASSERT_FALSE(saves.empty());
  const auto& txn = saves.back().transaction;
  EXPECT_EQ(txn.deletions, std::vector<std::string>{key::active_job(JobId("job-1"))});
  EXPECT_EQ(txn.puts.at(0).key, key::terminal_job(JobId("job-1")));
  EXPECT_EQ(cluster.job(JobId("job-1")), nullptr);
}

TEST_F(SafetyTest, DeletedMachinesLateReportBringsItBackFromNothing) {
  loaded();
  auto worker = ready_worker("n-1");
  cluster.apply(MachinesDeleted{"return/1", {MachineId("n-1")}}, now);
  exchange(worker);
  EXPECT_EQ(last_fate, HeartbeatOutcome::stale);
  cluster.apply(MachinesListed{{{MachineId("n-1"), "small", "a", true, wire::InstanceState::running, 90}}},
                now);
  EXPECT_EQ(cluster.machine(MachineId("n-1")), nullptr) << "the list lags";
}

// ---- A machine whose reports arrive but whom our answers do not reach
// --------------------------------------

TEST_F(SafetyTest, TasksOfAMachineThatNeverHeedsItsAnswersGoElsewhereByProof) {
  loaded();
  auto deaf = ready_worker("n-1");
  submit(job_spec("job-1", 2));
  ASSERT_EQ(count(exchange(deaf), CommandKind::start), 2u);
  auto other = ready_worker("n-2");
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.at(0).machine->id, MachineId("n-1"));
  pass(2);
  heartbeat_only(deaf);  // one lost answer is sent again: the same attempt, to the same machine
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.at(0).attempt, 1u);
  ASSERT_EQ(count(answer(deaf), CommandKind::start), 2u);
  pass(2);
  heartbeat_only(other);
  heartbeat_only(deaf);  // newer than the answer that carried the start, and without it
  settle();
  for (const auto& [index, assignment] : cluster.job(JobId("job-1"))->assignments) {
    EXPECT_EQ(assignment.machine->id, MachineId("n-2"));
    EXPECT_EQ(assignment.attempt, 2u);
  }
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.size(), 2u);
  EXPECT_EQ(cluster.progress(JobId("job-1"))->status.running, 0u) << "placed is not running";
}

TEST_F(SafetyTest, MachineThatNeverHeedsItsAnswersGetsNoWorkAndIsDeletedAfterItsLease) {
  loaded();
  auto deaf = ready_worker("n-1");
  submit(job_spec("job-1", 1));
  exchange(deaf);
  for (int i = 0; i < 2; ++i) {
    pass(2);
    exchange(deaf);
  }
  submit(job_spec("job-2", 1));
  for (int i = 0; i < 3; ++i) {
    pass(2);
    EXPECT_EQ(count(exchange(deaf), CommandKind::start), 0u);
  }
  EXPECT_TRUE(seen<RequestScaleIn>().empty()) << "its lease may still be running";
  for (int i = 0; i < 6; ++i) {
    pass(2);
    exchange(deaf);
  }
  ASSERT_FALSE(seen<RequestScaleIn>().empty());
  EXPECT_EQ(seen<RequestScaleIn>()[0].machines, std::vector<MachineId>{MachineId("n-1")});
}

TEST_F(SafetyTest, MachineThatNeverTakesANewLeadersTokenIsDeletedAndOnlyThenItsTasksMove) {
  inherit(job_spec("job-1", 1), {{0, 1, MachineId("n-1"), false}});
  loaded();
  Worker deaf{"n-1"};
  deaf.shows("job-1", 0, 1, TaskState::running);
  for (int i = 0; i < 12; ++i) {
    deaf.token = 20;  // an earlier leader's, for ever
    exchange(deaf);
    pass(2);
  }
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.at(0).machine->id, MachineId("n-1"));
  const std::vector<MachineId> deleted{MachineId("n-1")};
  ASSERT_FALSE(seen<RequestScaleIn>().empty());
  EXPECT_EQ(seen<RequestScaleIn>()[0].machines, deleted);
  cluster.apply(MachinesDeleted{"return/1", deleted}, now);
  EXPECT_TRUE(cluster.job(JobId("job-1"))->assignments.empty());
}

TEST_F(SafetyTest, MachineThatHeedsAgainGetsWorkAgain) {
  loaded();
  auto worker = ready_worker("n-1");
  submit(job_spec("job-1", 1));
  exchange(worker);
  exchange(worker);  // a lost answer
  worker.shows("job-1", 0, 1, TaskState::running);
  exchange(worker);
  EXPECT_EQ(cluster.machine(MachineId("n-1"))->undelivered_responses, 0u);
  submit(job_spec("job-2", 1));
  EXPECT_EQ(count(exchange(worker), CommandKind::start), 1u);
}

// ---- Late copies of reports
// --------------------------------------------------------------------------------

TEST_F(SafetyTest, LateCopyOfAReportRenewsNoLease) {
  loaded();
  auto worker = ready_worker("n-1");
  submit(job_spec("job-1", 1));
  exchange(worker);
  worker.shows("job-1", 0, 1, TaskState::running);
  const auto copy = worker.heartbeat();
  cluster.apply_heartbeat(copy, now);
  settle();
  answer(worker);
  auto other = ready_worker("n-2");
  for (int i = 0; i < 14; ++i) {
    pass(1);
    EXPECT_EQ(cluster.apply_heartbeat(copy, now), HeartbeatOutcome::stale);
  }
  exchange(other);
  heartbeat_only(other);
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.at(0).machine->id, MachineId("n-2"))
      << "the worker has been silent for longer than its lease, whatever the copies say";
}

TEST_F(SafetyTest, LateCopyOfAReportBringsNoTaskBack) {
  loaded();
  auto worker = ready_worker("n-1");
  submit(job_spec("job-1", 1));
  exchange(worker);
  worker.shows("job-1", 0, 1, TaskState::running);
  const auto copy = worker.heartbeat();
  cluster.apply_heartbeat(copy, now);
  worker.tasks.clear();
  worker.incarnation = 2;  // its lease ran out, and with it the task
  exchange(worker);
  EXPECT_EQ(cluster.apply_heartbeat(copy, now), HeartbeatOutcome::stale);
  EXPECT_FALSE(cluster.job(JobId("job-1"))->assignments.at(0).observed);
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.at(0).attempt, 2u);
}

TEST_F(SafetyTest, LateCopyAtANewLeaderWithNoEarlierWordOfTheMachineProvesNothing) {
  inherit(job_spec("job-1", 2), {{0, 1, MachineId("n-1"), false}, {1, 1, MachineId("n-1"), false}});
  loaded();
  Worker worker{"n-1"};
  worker.token = kToken - 1;
  auto copy = worker.heartbeat();  // from before the tasks were started, under the earlier leader
  worker.sequence_number = 50;
  EXPECT_EQ(cluster.apply_heartbeat(copy, now), HeartbeatOutcome::accepted);
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.size(), 2u) << "nothing absent from it is gone";
  EXPECT_EQ(count(answer(worker), CommandKind::start), 0u);
  worker.shows("job-1", 0, 1, TaskState::running);
  exchange(worker);  // now under our token
  settle();
  const auto& assignments = cluster.job(JobId("job-1"))->assignments;
  EXPECT_TRUE(assignments.at(0).observed);
  EXPECT_EQ(cluster.job(JobId("job-1"))->tasks[1].attempt, 2u) << "this one does prove";
  EXPECT_EQ(cluster.apply_heartbeat(copy, now), HeartbeatOutcome::stale);
}

class QuotaTest : public ClusterTest {
 protected:
  static ClusterConfig limited() {
    auto config = cluster_config();
    config.teams[0].quota.cpus = 8;
    return config;
  }
  QuotaTest() : ClusterTest(limited()) {}
};

TEST_F(QuotaTest, LimitCountsTasksOfAnEarlierLeaderUntilTheyAreProvedGone) {
  inherit(job_spec("job-1", 2), {{0, 1, MachineId("n-1"), false}, {1, 1, MachineId("n-1"), false}});
  loaded();
  submit(job_spec("job-2", 2));
  auto other = ready_worker("n-2");
  EXPECT_EQ(count(exchange(other), CommandKind::start), 0u);
  Worker worker{"n-1"};
  exchange(worker);
  exchange(worker);  // both proved gone
  settle();
  EXPECT_LE(cluster.team_usage("team").cpus, 8);
  EXPECT_GT(cluster.team_usage("team").cpus, 0);
}

}  // namespace dockdyke::testing
