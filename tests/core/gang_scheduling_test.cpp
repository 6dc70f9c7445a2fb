// Gangs in the pure core: what is started when, and what proves that the next attempt may begin.
#include "cluster_fixture.hpp"

namespace dockdyke::testing {

using wire::CommandKind;
using wire::ExitCause;
using wire::TaskState;

namespace {

wire::JobSpec gang_spec(const std::string& id, TaskIndex tasks, double cpus = 8) {
  auto spec = job_spec(id, tasks, cpus);
  spec.kind = wire::JobKind::gang;
  spec.spot_allowed = false;
  return spec;
}

}  // namespace

class GangTest : public ClusterTest {
 protected:
  explicit GangTest(ClusterConfig config = cluster_config()) : ClusterTest(std::move(config)) {}

  // Two ordinary machines, each with room for one task of eight CPUs, that wait for their answers.
  void two_machines() {
    complete_loading();
    one = connect_worker("n-1", "a", false);
    two = connect_worker("n-2", "a", false);
  }
  // A gang of two that runs, one task on each machine.
  void running_gang() {
    two_machines();
    submit(gang_spec("job-1", 2));
    assign_and_write();
    ASSERT_EQ(count(receive_response(one), CommandKind::start), 1u);
    ASSERT_EQ(count(receive_response(two), CommandKind::start), 1u);
    show(one, TaskState::running);
    show(two, TaskState::running);
    exchange_heartbeat(one);
    exchange_heartbeat(two);
  }
  // Three tasks, each as large as a machine, and no machine yet.
  void submit_gang_bound_to_one_zone() {
    complete_loading();
    auto spec = gang_spec("job-1", 3);
    spec.same_zone = true;
    submit(spec);
  }
  std::map<std::string, std::uint64_t> rented_by_zone() {
    std::map<std::string, std::uint64_t> rented;
    for (const auto& rent : emitted_effects<RequestScaleOut>())
      rented[rent.request.zone] += rent.request.count;
    return rented;
  }
  // What the worker shows of its task of the gang's attempt.
  void show(Worker& worker, TaskState state, ExitCause cause = ExitCause::none, Attempt attempt = 1) {
    worker.tasks.clear();
    worker.report_task("job-1", index_on(worker), attempt, state, cause);
  }
  TaskIndex index_on(const Worker& worker) const { return worker.name == "n-1" ? 0 : 1; }

  Worker one;
  Worker two;
};

TEST_F(GangTest, IsPlacedOnlyWhenAllItsTasksFitAtOnce) {
  two_machines();
  submit(gang_spec("job-1", 3));
  assign_and_write();
  EXPECT_EQ(count(receive_response(one), CommandKind::start), 0u);
  EXPECT_EQ(count(receive_response(two), CommandKind::start), 0u);
  EXPECT_TRUE(cluster.job(JobId("job-1"))->assignments.empty()) << "no halves are held";
}

TEST_F(GangTest, HasOneAttemptNumberForAllItsTasks) {
  two_machines();
  submit(gang_spec("job-1", 2));
  assign_and_write();
  const auto first = receive_response(one);
  const auto second = receive_response(two);
  ASSERT_EQ(count(first, CommandKind::start), 1u);
  ASSERT_EQ(count(second, CommandKind::start), 1u);
  EXPECT_EQ(first.at(0).attempt, second.at(0).attempt);
}

TEST_F(GangTest, IsOnRecordWithAllItsMachinesBeforeTheFirstStart) {
  two_machines();
  state_service_available = false;
  submit(gang_spec("job-1", 2));
  assign_and_write();
  const auto save = cluster.next_write(now);
  ASSERT_TRUE(save);
  EXPECT_EQ(save->transaction.puts.at(0).key, "gang/job-1/1/0");
  EXPECT_EQ(cluster.response_hold(MachineId("n-1"), now), ResponseHold::awaiting_write);
  EXPECT_EQ(count(receive_response(one), CommandKind::start), 0u) << "not on record yet";
  cluster.apply(WriteApplied{save->number}, now);
  EXPECT_EQ(count(receive_response(two), CommandKind::start), 1u);
}

class GangInPartsTest : public GangTest {
 protected:
  static ClusterConfig config_with_small_values() {
    auto config = cluster_config();
    config.max_value_bytes = 256 + 70;  // one machine a part, beside the margin
    return config;
  }
  GangInPartsTest() : GangTest(config_with_small_values()) {}
};

TEST_F(GangInPartsTest, NothingStartsBeforeTheLastPartIsStored) {
  two_machines();
  state_service_available = false;
  submit(gang_spec("job-1", 2));
  assign_and_write();
  const auto first = cluster.next_write(now);
  const auto second = cluster.next_write(now);
  ASSERT_TRUE(first && second);
  cluster.apply(WriteApplied{second->number}, now);
  EXPECT_EQ(count(receive_response(one), CommandKind::start), 0u);
  send_heartbeat(one);
  cluster.apply(WriteApplied{first->number}, now);
  EXPECT_EQ(count(receive_response(one), CommandKind::start), 1u);
}

TEST_F(GangTest, AnIncompleteRecordMeansThatNothingWasStartedAndItsNumberIsBurned) {
  cluster.apply(JobLoaded{job_record(gang_spec("job-1", 2)), Revision(40), false}, now);
  GangPart earlier{
      JobId("job-1"), 3, 0, 1, {{0, 3, MachineId("n-7"), false}, {1, 3, MachineId("n-8"), false}}};
  GangPart half{JobId("job-1"), 4, 0, 2, {{0, 4, MachineId("n-7"), false}}};
  cluster.apply(GangPartLoaded{"gang/job-1/3/0", earlier}, now);
  cluster.apply(GangPartLoaded{"gang/job-1/4/0", half}, now);
  two_machines();
  assign_and_write();
  const auto commands = receive_response(one);
  ASSERT_EQ(count(commands, CommandKind::start), 1u);
  EXPECT_EQ(commands.at(0).attempt, 5u);
}

TEST_F(GangTest, ANewLeaderKeepsTheAttemptOnRecordUntilItsTasksAreProvedGone) {
  cluster.apply(JobLoaded{job_record(gang_spec("job-1", 2)), Revision(40), false}, now);
  GangPart part{JobId("job-1"), 3, 0, 1, {{0, 3, MachineId("n-1"), false}, {1, 3, MachineId("n-2"), false}}};
  cluster.apply(GangPartLoaded{"gang/job-1/3/0", part}, now);
  complete_loading();
  one = Worker{"n-1", "a", false};
  two = Worker{"n-2", "a", false};
  Worker free{"n-3", "a", false};
  Worker free_too{"n-4", "a", false};
  for (auto* worker : {&one, &two, &free, &free_too}) exchange_heartbeat(*worker);
  // n-1 has shown our token and lacks the task; n-2 still has it, and is told to stop.
  send_heartbeat(one);
  show(two, TaskState::running, ExitCause::none, 3);
  send_heartbeat(two);
  send_heartbeat(free);
  send_heartbeat(free_too);
  EXPECT_EQ(count(receive_response(free), CommandKind::start) +
                count(receive_response(free_too), CommandKind::start),
            0u);
  EXPECT_EQ(count(receive_response(two), CommandKind::stop), 1u);
  show(two, TaskState::exited, ExitCause::stopped, 3);
  send_heartbeat(two);
  EXPECT_EQ(cluster.job(JobId("job-1"))->gang.attempt, 4u) << "the next attempt, once all are gone";
}

TEST_F(GangTest, RecordsOfEarlierAttemptsAndOfJobsThatAreOverAreRemoved) {
  running_gang();
  show(one, TaskState::exited, ExitCause::peer_lost);
  show(two, TaskState::exited, ExitCause::peer_lost);
  exchange_heartbeat(one);
  send_heartbeat(two);
  send_heartbeat(one);
  advance_time(4);
  std::vector<std::string> removed;
  for (const auto& each : emitted_effects<DeleteKeys>())
    removed.insert(removed.end(), each.keys.begin(), each.keys.end());
  EXPECT_NE(std::find(removed.begin(), removed.end(), "gang/job-1/1/0"), removed.end());
  EXPECT_EQ(std::find(removed.begin(), removed.end(), "gang/job-1/2/0"), removed.end());
}

TEST_F(GangTest, APartThatIsStoredAfterItsJobWasCancelledDoesNotCount) {
  two_machines();
  state_service_available = false;
  submit(gang_spec("job-1", 2));
  assign_and_write();
  const auto save = cluster.next_write(now);
  ASSERT_TRUE(save);
  const auto& preconditions = save->transaction.preconditions;
  ASSERT_TRUE(std::any_of(preconditions.begin(), preconditions.end(), [](const auto& each) {
    return each.key == "open/job-1";
  })) << "a copy that is carried out late must find the job open";
  cluster.apply(WriteConflicted{save->number, {"open/job-1"}}, now);
  EXPECT_EQ(count(receive_response(one), CommandKind::start), 0u);
}

TEST_F(GangTest, ATaskThatIsGoneStopsTheOthersAndTheNextAttemptWaitsForAll) {
  running_gang();
  show(one, TaskState::exited, ExitCause::peer_lost);
  exchange_heartbeat(one);
  one.tasks.clear();
  send_heartbeat(one);
  EXPECT_EQ(count(receive_response(one), CommandKind::start), 0u) << "the other task is not proved gone";
  const auto commands = exchange_heartbeat(two);
  ASSERT_EQ(count(commands, CommandKind::stop), 1u);
  EXPECT_EQ(commands.at(0).grace_s, 0);
  show(two, TaskState::exited, ExitCause::stopped);
  send_heartbeat(one);
  send_heartbeat(two);
  const auto again = receive_response(one);
  ASSERT_EQ(count(again, CommandKind::start), 1u);
  EXPECT_EQ(again.at(0).attempt, 2u);
}

TEST_F(GangTest, OneTaskDoneMeansThatAllAreAndNoneIsForgottenBeforeThatIsOnRecord) {
  running_gang();
  state_service_available = false;
  show(one, TaskState::exited, ExitCause::done);
  send_heartbeat(one);
  EXPECT_EQ(count(receive_response(one), CommandKind::acknowledge), 0u);
  const auto save = cluster.next_write(now);
  ASSERT_TRUE(save);
  ASSERT_EQ(save->completed_jobs, std::vector<JobId>{JobId("job-1")});
  EXPECT_EQ(save->transaction.puts.at(0).value.at("done"), 2);
  show(two, TaskState::exited, ExitCause::done);
  send_heartbeat(two);
  EXPECT_EQ(count(receive_response(two), CommandKind::acknowledge), 0u);
  cluster.apply(WriteApplied{save->number}, now);
  EXPECT_EQ(cluster.job(JobId("job-1")), nullptr);
  EXPECT_EQ(count(exchange_heartbeat(one), CommandKind::acknowledge), 1u);
  EXPECT_EQ(count(exchange_heartbeat(two), CommandKind::acknowledge), 1u);
}

TEST_F(GangTest, AGangThatIsDoneIsNeverStartedAgainAlsoWhereATaskWasLost) {
  running_gang();
  show(one, TaskState::exited, ExitCause::done);
  exchange_heartbeat(one);
  two.tasks.clear();  // it lost its task instead of showing it done
  exchange_heartbeat(two);
  one.tasks.clear();
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(count(exchange_heartbeat(one), CommandKind::start), 0u);
    EXPECT_EQ(count(exchange_heartbeat(two), CommandKind::start), 0u);
  }
  EXPECT_EQ(cluster.job_count(), 0u);
}

// The books kept such a job, and its record, for as long as the leader lived.
TEST_F(GangTest, AGangThatIsDoneIsOffTheBooksOnceTheLeaseOfItsSilentMachineIsOver) {
  running_gang();
  show(one, TaskState::exited, ExitCause::done);
  exchange_heartbeat(one);
  one.tasks.clear();
  ASSERT_EQ(cluster.job_count(), 1u);
  for (int i = 0; i < cluster_config().worker_lease_s + 4; ++i) {
    exchange_heartbeat(one);
    advance_time(1);
  }
  EXPECT_EQ(cluster.job_count(), 0u);
}

TEST_F(GangTest, AFailureCountsOnceAndLostPeersBlameNobody) {
  running_gang();
  show(one, TaskState::exited, ExitCause::error);
  show(two, TaskState::exited, ExitCause::error);
  exchange_heartbeat(one);
  exchange_heartbeat(two);
  EXPECT_EQ(cluster.job(JobId("job-1"))->consecutive_failures, 1u);
  EXPECT_EQ(cluster.machine(MachineId("n-1"))->failed_jobs.size(), 1u);
  EXPECT_TRUE(cluster.machine(MachineId("n-2"))->failed_jobs.empty());
}

TEST_F(GangTest, LostPeersBlameNeitherMachineNorJob) {
  running_gang();
  show(one, TaskState::exited, ExitCause::peer_lost);
  show(two, TaskState::exited, ExitCause::gang_incomplete);
  exchange_heartbeat(one);
  exchange_heartbeat(two);
  EXPECT_EQ(cluster.job(JobId("job-1"))->consecutive_failures, 0u);
  EXPECT_TRUE(cluster.machine(MachineId("n-1"))->failed_jobs.empty());
  EXPECT_TRUE(cluster.machine(MachineId("n-2"))->failed_jobs.empty());
}

TEST_F(GangTest, AnUnknownStateProvesNothingGone) {
  running_gang();
  show(one, TaskState::unknown);
  exchange_heartbeat(one);
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.size(), 2u);
  EXPECT_EQ(count(exchange_heartbeat(two), CommandKind::stop), 0u);
}

class GangWithLongLeasesTest : public GangTest {
 protected:
  static ClusterConfig config_with_long_leases() {
    auto config = cluster_config();
    config.worker_lease_s = 45;  // beyond `gang_wait_s`: no lease ends in time
    config.cancellation_timeout_s = 75;
    return config;
  }
  GangWithLongLeasesTest() : GangTest(config_with_long_leases()) {}
};

TEST_F(GangWithLongLeasesTest, IsGivenUpWellBeforeItsTasksWouldWhenAMachineDoesNotTakeItsStart) {
  two_machines();
  submit(gang_spec("job-1", 2));
  assign_and_write();
  receive_response(one);
  receive_response(two);  // and is silent from now on
  show(one, TaskState::waiting);
  const double began = now;
  bool stopped = false;
  while (!stopped && now - began < cluster_config().gang_assembly_timeout_s) {
    advance_time(1);
    stopped = count(exchange_heartbeat(one), CommandKind::stop) > 0;
  }
  EXPECT_TRUE(stopped);
  EXPECT_LT(now - began, 0.7 * cluster_config().gang_assembly_timeout_s);
}

TEST_F(GangTest, IsRentedForWhereAllOfItCanBeHadAlsoWhenAnotherZoneHasRoomForSome) {
  submit_gang_bound_to_one_zone();
  advance_time(3);
  const auto refused = emitted_effects<RequestScaleOut>();
  ASSERT_FALSE(refused.empty());
  const std::string zone = refused.at(0).request.zone;
  for (const auto& rent : refused) cluster.apply(ScaleOutRefused{rent.request.id}, now);
  effects.clear();
  one = connect_worker("n-1", zone, false);
  for (int i = 0; i < 3; ++i) {
    exchange_heartbeat(one);
    advance_time(1);
  }
  auto rented = rented_by_zone();
  EXPECT_EQ(rented[zone], 0u);
  EXPECT_EQ(rented[zone == "a" ? "b" : "a"], 3u);
}

TEST_F(GangTest, IsRentedForAsAWholeInOneZone) {
  submit_gang_bound_to_one_zone();
  advance_time(6);
  auto rented = rented_by_zone();
  ASSERT_EQ(rented.size(), 1u);
  EXPECT_EQ(rented.begin()->second, 3u);
}

TEST_F(GangTest, IsRentedForInAnotherZoneAfterARefusal) {
  submit_gang_bound_to_one_zone();
  advance_time(6);
  const auto first = emitted_effects<RequestScaleOut>();
  ASSERT_FALSE(first.empty());
  for (const auto& rent : first) cluster.apply(ScaleOutRefused{rent.request.id}, now);
  effects.clear();
  advance_time(3);
  const auto again = emitted_effects<RequestScaleOut>();
  ASSERT_FALSE(again.empty());
  EXPECT_NE(again.at(0).request.zone, first.at(0).request.zone);
}

TEST_F(GangTest, BoundToOneZoneIsNotPlacedAcrossTwo) {
  complete_loading();
  one = connect_worker("n-1", "a", false);
  two = connect_worker("n-2", "b", false);
  auto spec = gang_spec("job-1", 2);
  spec.same_zone = true;
  submit(spec);
  assign_and_write();
  EXPECT_EQ(
      count(receive_response(one), CommandKind::start) + count(receive_response(two), CommandKind::start),
      0u);
}

// A team whose quota holds less than a gang of two.
class GangQuotaTest : public GangTest {
 protected:
  static ClusterConfig with_quota() {
    auto config = cluster_config();
    config.teams[0].quota.cpus = 12;
    return config;
  }
  GangQuotaTest() : GangTest(with_quota()) {}
};

TEST_F(GangQuotaTest, CountsAgainstItsTeamsQuotaAsAWhole) {
  two_machines();
  submit(gang_spec("job-1", 2));
  assign_and_write();
  EXPECT_EQ(
      count(receive_response(one), CommandKind::start) + count(receive_response(two), CommandKind::start),
      0u);
}

}  // namespace dockdyke::testing
