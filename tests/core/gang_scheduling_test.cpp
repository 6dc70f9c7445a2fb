// Tests of gang scheduling in the state machine: when tasks start, and when the next attempt may begin.
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

  // Adds two on-demand machines, each with capacity for one task of eight CPUs, that await responses.
  void add_two_workers() {
    complete_loading();
    worker_1 = connect_worker("n-1", "a", false);
    worker_2 = connect_worker("n-2", "a", false);
  }
  // Starts a gang of two tasks, one on each machine.
  void start_gang() {
    add_two_workers();
    submit(gang_spec("job-1", 2));
    assign_and_write();
    ASSERT_EQ(count(receive_response(worker_1), CommandKind::start), 1u);
    ASSERT_EQ(count(receive_response(worker_2), CommandKind::start), 1u);
    set_task_state(worker_1, TaskState::running);
    set_task_state(worker_2, TaskState::running);
    exchange_heartbeat(worker_1);
    exchange_heartbeat(worker_2);
  }
  // Submits a gang of three tasks, each as large as a machine, while there are no machines.
  void submit_same_zone_gang() {
    complete_loading();
    auto spec = gang_spec("job-1", 3);
    spec.same_zone = true;
    submit(spec);
  }
  std::map<std::string, std::uint64_t> requested_machines_by_zone() {
    std::map<std::string, std::uint64_t> machines;
    for (const auto& scale_out : emitted_effects<RequestScaleOut>())
      machines[scale_out.request.zone] += scale_out.request.count;
    return machines;
  }
  // Sets the state of the gang's task in the worker's next heartbeats.
  void set_task_state(Worker& worker, TaskState state, ExitCause cause = ExitCause::none,
                      Attempt attempt = 1) {
    worker.tasks.clear();
    worker.report_task("job-1", task_index_on(worker), attempt, state, cause);
  }
  TaskIndex task_index_on(const Worker& worker) const { return worker.name == "n-1" ? 0 : 1; }

  Worker worker_1;
  Worker worker_2;
};

TEST_F(GangTest, PlacedOnlyWhenAllTasksFit) {
  add_two_workers();
  submit(gang_spec("job-1", 3));
  assign_and_write();
  EXPECT_EQ(count(receive_response(worker_1), CommandKind::start), 0u);
  EXPECT_EQ(count(receive_response(worker_2), CommandKind::start), 0u);
  EXPECT_TRUE(cluster.job(JobId("job-1"))->assignments.empty()) << "no partial assignment is kept";
}

TEST_F(GangTest, AllTasksShareOneAttemptNumber) {
  add_two_workers();
  submit(gang_spec("job-1", 2));
  assign_and_write();
  const auto commands_1 = receive_response(worker_1);
  const auto commands_2 = receive_response(worker_2);
  ASSERT_EQ(count(commands_1, CommandKind::start), 1u);
  ASSERT_EQ(count(commands_2, CommandKind::start), 1u);
  EXPECT_EQ(commands_1.at(0).attempt, commands_2.at(0).attempt);
}

TEST_F(GangTest, RecordIsDurableBeforeFirstStart) {
  add_two_workers();
  state_service_available = false;
  submit(gang_spec("job-1", 2));
  assign_and_write();
  const auto write = cluster.next_write(now);
  ASSERT_TRUE(write);
  EXPECT_EQ(write->transaction.puts.at(0).key, "gang/job-1/1/0");
  EXPECT_EQ(cluster.response_hold(MachineId("n-1"), now), ResponseHold::awaiting_write);
  EXPECT_EQ(count(receive_response(worker_1), CommandKind::start), 0u) << "the record is not durable yet";
  cluster.apply(WriteApplied{write->number}, now);
  EXPECT_EQ(count(receive_response(worker_2), CommandKind::start), 1u);
}

class GangMultiPartRecordTest : public GangTest {
 protected:
  static ClusterConfig config_with_small_values() {
    auto config = cluster_config();
    config.max_value_bytes = 256 + 70;  // one machine per part, plus the margin
    return config;
  }
  GangMultiPartRecordTest() : GangTest(config_with_small_values()) {}
};

TEST_F(GangMultiPartRecordTest, StartsOnlyAfterLastPartIsStored) {
  add_two_workers();
  state_service_available = false;
  submit(gang_spec("job-1", 2));
  assign_and_write();
  const auto first_write = cluster.next_write(now);
  const auto second_write = cluster.next_write(now);
  ASSERT_TRUE(first_write && second_write);
  cluster.apply(WriteApplied{second_write->number}, now);
  EXPECT_EQ(count(receive_response(worker_1), CommandKind::start), 0u);
  send_heartbeat(worker_1);
  cluster.apply(WriteApplied{first_write->number}, now);
  EXPECT_EQ(count(receive_response(worker_1), CommandKind::start), 1u);
}

TEST_F(GangTest, IncompleteRecordIsDiscardedAndItsAttemptNumberSkipped) {
  cluster.apply(JobLoaded{job_record(gang_spec("job-1", 2)), Revision(40), false}, now);
  GangPart complete_part{
      JobId("job-1"), 3, 0, 1, {{0, 3, MachineId("n-7"), false}, {1, 3, MachineId("n-8"), false}}};
  GangPart incomplete_part{JobId("job-1"), 4, 0, 2, {{0, 4, MachineId("n-7"), false}}};
  cluster.apply(GangPartLoaded{"gang/job-1/3/0", complete_part}, now);
  cluster.apply(GangPartLoaded{"gang/job-1/4/0", incomplete_part}, now);
  add_two_workers();
  assign_and_write();
  const auto commands = receive_response(worker_1);
  ASSERT_EQ(count(commands, CommandKind::start), 1u);
  EXPECT_EQ(commands.at(0).attempt, 5u);
}

TEST_F(GangTest, NewLeaderKeepsAttemptUntilTasksConfirmedEnded) {
  cluster.apply(JobLoaded{job_record(gang_spec("job-1", 2)), Revision(40), false}, now);
  GangPart part{JobId("job-1"), 3, 0, 1, {{0, 3, MachineId("n-1"), false}, {1, 3, MachineId("n-2"), false}}};
  cluster.apply(GangPartLoaded{"gang/job-1/3/0", part}, now);
  complete_loading();
  worker_1 = Worker{"n-1", "a", false};
  worker_2 = Worker{"n-2", "a", false};
  Worker idle_1{"n-3", "a", false};
  Worker idle_2{"n-4", "a", false};
  for (auto* worker : {&worker_1, &worker_2, &idle_1, &idle_2}) exchange_heartbeat(*worker);
  // n-1 has acknowledged the token and lacks the task; n-2 still runs its task and must stop it.
  send_heartbeat(worker_1);
  set_task_state(worker_2, TaskState::running, ExitCause::none, 3);
  send_heartbeat(worker_2);
  send_heartbeat(idle_1);
  send_heartbeat(idle_2);
  EXPECT_EQ(count(receive_response(idle_1), CommandKind::start) +
                count(receive_response(idle_2), CommandKind::start),
            0u);
  EXPECT_EQ(count(receive_response(worker_2), CommandKind::stop), 1u);
  set_task_state(worker_2, TaskState::exited, ExitCause::stopped, 3);
  send_heartbeat(worker_2);
  EXPECT_EQ(cluster.job(JobId("job-1"))->gang.attempt, 4u)
      << "the next attempt begins once all tasks have ended";
}

TEST_F(GangTest, RecordsOfPreviousAttemptsAreDeleted) {
  start_gang();
  set_task_state(worker_1, TaskState::exited, ExitCause::gang_peer_lost);
  set_task_state(worker_2, TaskState::exited, ExitCause::gang_peer_lost);
  exchange_heartbeat(worker_1);
  send_heartbeat(worker_2);
  send_heartbeat(worker_1);
  advance_time(4);
  std::vector<std::string> deleted_keys;
  for (const auto& deletion : emitted_effects<DeleteKeys>())
    deleted_keys.insert(deleted_keys.end(), deletion.keys.begin(), deletion.keys.end());
  EXPECT_NE(std::find(deleted_keys.begin(), deleted_keys.end(), "gang/job-1/1/0"), deleted_keys.end());
  EXPECT_EQ(std::find(deleted_keys.begin(), deleted_keys.end(), "gang/job-1/2/0"), deleted_keys.end());
}

TEST_F(GangTest, DoesNotStartWhenRecordWriteConflictsWithCancellation) {
  add_two_workers();
  state_service_available = false;
  submit(gang_spec("job-1", 2));
  assign_and_write();
  const auto write = cluster.next_write(now);
  ASSERT_TRUE(write);
  const auto& preconditions = write->transaction.preconditions;
  ASSERT_TRUE(std::any_of(preconditions.begin(), preconditions.end(), [](const auto& precondition) {
    return precondition.key == "open/job-1";
  })) << "a delayed duplicate of the write must fail once the job has ended";
  cluster.apply(WriteConflicted{write->number, {"open/job-1"}}, now);
  EXPECT_EQ(count(receive_response(worker_1), CommandKind::start), 0u);
}

TEST_F(GangTest, TaskExitStopsOthersAndNextAttemptWaitsForAll) {
  start_gang();
  set_task_state(worker_1, TaskState::exited, ExitCause::gang_peer_lost);
  exchange_heartbeat(worker_1);
  worker_1.tasks.clear();
  send_heartbeat(worker_1);
  EXPECT_EQ(count(receive_response(worker_1), CommandKind::start), 0u)
      << "the end of the other task is not confirmed";
  const auto commands = exchange_heartbeat(worker_2);
  ASSERT_EQ(count(commands, CommandKind::stop), 1u);
  EXPECT_EQ(commands.at(0).grace_s, 0);
  set_task_state(worker_2, TaskState::exited, ExitCause::stopped);
  send_heartbeat(worker_1);
  send_heartbeat(worker_2);
  const auto restart_commands = receive_response(worker_1);
  ASSERT_EQ(count(restart_commands, CommandKind::start), 1u);
  EXPECT_EQ(restart_commands.at(0).attempt, 2u);
}

TEST_F(GangTest, OneDoneTaskCompletesGangAndAcknowledgesOnceDurable) {
  start_gang();
  state_service_available = false;
  set_task_state(worker_1, TaskState::exited, ExitCause::done);
  send_heartbeat(worker_1);
  EXPECT_EQ(count(receive_response(worker_1), CommandKind::acknowledge), 0u);
  const auto write = cluster.next_write(now);
  ASSERT_TRUE(write);
  ASSERT_EQ(write->completed_jobs, std::vector<JobId>{JobId("job-1")});
  EXPECT_EQ(write->transaction.puts.at(0).value.at("done"), 2);
  set_task_state(worker_2, TaskState::exited, ExitCause::done);
  send_heartbeat(worker_2);
  EXPECT_EQ(count(receive_response(worker_2), CommandKind::acknowledge), 0u);
  cluster.apply(WriteApplied{write->number}, now);
  EXPECT_EQ(cluster.job(JobId("job-1")), nullptr);
  EXPECT_EQ(count(exchange_heartbeat(worker_1), CommandKind::acknowledge), 1u);
  EXPECT_EQ(count(exchange_heartbeat(worker_2), CommandKind::acknowledge), 1u);
}

TEST_F(GangTest, CompletedGangIsNotRestartedAfterTaskLoss) {
  start_gang();
  set_task_state(worker_1, TaskState::exited, ExitCause::done);
  exchange_heartbeat(worker_1);
  worker_2.tasks.clear();  // its heartbeat lacks the task instead of showing it as done
  exchange_heartbeat(worker_2);
  worker_1.tasks.clear();
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(count(exchange_heartbeat(worker_1), CommandKind::start), 0u);
    EXPECT_EQ(count(exchange_heartbeat(worker_2), CommandKind::start), 0u);
  }
  EXPECT_EQ(cluster.job_count(), 0u);
}

// Guards against keeping the job and its record until the end of the leader's term.
TEST_F(GangTest, CompletedGangIsRemovedWhenStartWasLostOnTerminatingMachine) {
  add_two_workers();
  submit(gang_spec("job-1", 2));
  assign_and_write();
  ASSERT_EQ(count(receive_response(worker_1), CommandKind::start), 1u);
  ASSERT_EQ(count(receive_response(worker_2), CommandKind::start), 1u);  // this response is lost
  set_task_state(worker_1, TaskState::exited, ExitCause::done);
  exchange_heartbeat(worker_1);
  worker_1.tasks.clear();
  ASSERT_EQ(cluster.job_count(), 1u);
  worker_2.termination_notice_s = 60;
  exchange_heartbeat(worker_2);
  EXPECT_EQ(cluster.job_count(), 0u);
}

// Guards against keeping the job and its record until the end of the leader's term.
TEST_F(GangTest, CompletedGangIsRemovedAfterUnresponsiveMachinesLeaseExpires) {
  start_gang();
  set_task_state(worker_1, TaskState::exited, ExitCause::done);
  exchange_heartbeat(worker_1);
  worker_1.tasks.clear();
  ASSERT_EQ(cluster.job_count(), 1u);
  for (int i = 0; i < cluster_config().worker_lease_s + 4; ++i) {
    exchange_heartbeat(worker_1);
    advance_time(1);
  }
  EXPECT_EQ(cluster.job_count(), 0u);
}

TEST_F(GangTest, FailureOfAllTasksCountsOnce) {
  start_gang();
  set_task_state(worker_1, TaskState::exited, ExitCause::error);
  set_task_state(worker_2, TaskState::exited, ExitCause::error);
  exchange_heartbeat(worker_1);
  exchange_heartbeat(worker_2);
  EXPECT_EQ(cluster.job(JobId("job-1"))->consecutive_failures, 1u);
  EXPECT_EQ(cluster.machine(MachineId("n-1"))->failed_jobs.size(), 1u);
  EXPECT_TRUE(cluster.machine(MachineId("n-2"))->failed_jobs.empty());
}

TEST_F(GangTest, PeerLossCountsAgainstNeitherMachineNorJob) {
  start_gang();
  set_task_state(worker_1, TaskState::exited, ExitCause::gang_peer_lost);
  set_task_state(worker_2, TaskState::exited, ExitCause::gang_incomplete);
  exchange_heartbeat(worker_1);
  exchange_heartbeat(worker_2);
  EXPECT_EQ(cluster.job(JobId("job-1"))->consecutive_failures, 0u);
  EXPECT_TRUE(cluster.machine(MachineId("n-1"))->failed_jobs.empty());
  EXPECT_TRUE(cluster.machine(MachineId("n-2"))->failed_jobs.empty());
}

TEST_F(GangTest, UnknownTaskStateDoesNotConfirmEnd) {
  start_gang();
  set_task_state(worker_1, TaskState::unknown);
  exchange_heartbeat(worker_1);
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.size(), 2u);
  EXPECT_EQ(count(exchange_heartbeat(worker_2), CommandKind::stop), 0u);
}

class GangWithLongLeasesTest : public GangTest {
 protected:
  static ClusterConfig config_with_long_leases() {
    auto config = cluster_config();
    config.worker_lease_s = 45;  // longer than the gang assembly timeout, so that no lease expires before it
    config.cancellation_timeout_s = 75;
    return config;
  }
  GangWithLongLeasesTest() : GangTest(config_with_long_leases()) {}
};

TEST_F(GangWithLongLeasesTest, AttemptIsAbortedBeforeAssemblyTimeoutWhenStartIsLost) {
  add_two_workers();
  submit(gang_spec("job-1", 2));
  assign_and_write();
  receive_response(worker_1);
  receive_response(worker_2);  // n-2 sends no further heartbeats
  set_task_state(worker_1, TaskState::waiting_for_gang);
  const double started_at = now;
  bool stopped = false;
  while (!stopped && now - started_at < cluster_config().gang_assembly_timeout_s) {
    advance_time(1);
    stopped = count(exchange_heartbeat(worker_1), CommandKind::stop) > 0;
  }
  EXPECT_TRUE(stopped);
  EXPECT_LT(now - started_at, 0.7 * cluster_config().gang_assembly_timeout_s);
}

TEST_F(GangTest, SameZoneScaleOutAvoidsZoneWithPartialCapacity) {
  submit_same_zone_gang();
  advance_time(3);
  const auto refused = emitted_effects<RequestScaleOut>();
  ASSERT_FALSE(refused.empty());
  const std::string zone = refused.at(0).request.zone;
  for (const auto& scale_out : refused) cluster.apply(ScaleOutRefused{scale_out.request.id}, now);
  effects.clear();
  worker_1 = connect_worker("n-1", zone, false);
  for (int i = 0; i < 3; ++i) {
    exchange_heartbeat(worker_1);
    advance_time(1);
  }
  auto machines_by_zone = requested_machines_by_zone();
  EXPECT_EQ(machines_by_zone[zone], 0u);
  EXPECT_EQ(machines_by_zone[zone == "a" ? "b" : "a"], 3u);
}

TEST_F(GangTest, SameZoneScaleOutUsesSingleZone) {
  submit_same_zone_gang();
  advance_time(6);
  auto machines_by_zone = requested_machines_by_zone();
  ASSERT_EQ(machines_by_zone.size(), 1u);
  EXPECT_EQ(machines_by_zone.begin()->second, 3u);
}

TEST_F(GangTest, SameZoneScaleOutTriesAnotherZoneAfterRefusal) {
  submit_same_zone_gang();
  advance_time(6);
  const auto refused = emitted_effects<RequestScaleOut>();
  ASSERT_FALSE(refused.empty());
  for (const auto& scale_out : refused) cluster.apply(ScaleOutRefused{scale_out.request.id}, now);
  effects.clear();
  advance_time(3);
  const auto retried = emitted_effects<RequestScaleOut>();
  ASSERT_FALSE(retried.empty());
  EXPECT_NE(retried.at(0).request.zone, refused.at(0).request.zone);
}

TEST_F(GangTest, SameZoneGangIsNotPlacedAcrossZones) {
  complete_loading();
  worker_1 = connect_worker("n-1", "a", false);
  worker_2 = connect_worker("n-2", "b", false);
  auto spec = gang_spec("job-1", 2);
  spec.same_zone = true;
  submit(spec);
  assign_and_write();
  EXPECT_EQ(count(receive_response(worker_1), CommandKind::start) +
                count(receive_response(worker_2), CommandKind::start),
            0u);
}

// The team's quota is smaller than a gang of two tasks.
class GangQuotaTest : public GangTest {
 protected:
  static ClusterConfig config_with_quota() {
    auto config = cluster_config();
    config.teams[0].quota.cpus = 12;
    return config;
  }
  GangQuotaTest() : GangTest(config_with_quota()) {}
};

TEST_F(GangQuotaTest, WholeGangCountsAgainstTeamQuota) {
  add_two_workers();
  submit(gang_spec("job-1", 2));
  assign_and_write();
  EXPECT_EQ(count(receive_response(worker_1), CommandKind::start) +
                count(receive_response(worker_2), CommandKind::start),
            0u);
}

}  // namespace dockdyke::testing
