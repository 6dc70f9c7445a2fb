// Deletion of machines on which cancelled tasks would otherwise not end within the cancellation timeout.
#include "cluster_fixture.hpp"
#include "constants.hpp"

namespace dockdyke::testing {

using wire::TaskState;

class CancelledTaskDeletionTest : public ClusterTest {
 protected:
  // Starts the leader `age_s` after a cancellation under a previous leader. The task may still run on n-1.
  void load_after_cancellation(double age_s) {
    auto record = job_record(job_spec("job-1", 1));
    record.cancelled_ms = static_cast<std::int64_t>(-age_s * 1000);
    cluster.apply(JobLoaded{record, Revision(40), true}, now);
    const auto segment = key::segment(FencingToken(kToken - 10), 1);
    cluster.apply(SegmentLoaded{segment, {{JobId("job-1"), {{0, 1, MachineId("n-1"), false}}}}}, now);
    complete_loading();
  }

  void apply_machine_list() {
    wire::ListedMachine listed;
    listed.id = MachineId("n-1");
    listed.type = "small";
    listed.zone = "a";
    listed.state = wire::InstanceState::running;
    listed.age_s = 60;
    cluster.apply(MachinesListed{{listed}}, now);
  }

  // Sends a heartbeat each second from a worker that executes no command.
  void advance_time_with_heartbeats(double duration_s) {
    for (int i = 0; i < duration_s; ++i) {
      worker.tasks.clear();
      worker.report_task("job-1", 0, 1, TaskState::running);
      exchange_heartbeat(worker);
      advance_time(1);
    }
  }

  bool deletion_requested() { return !emitted_effects<RequestScaleIn>().empty(); }

  static constexpr double kReserveSeconds = constants::kMaxCancellationReserveSeconds;
  const double timeout_s = cluster_config().cancellation_timeout_s;
  Worker worker{.name = "n-1", .token = kToken - 10};
};

TEST_F(CancelledTaskDeletionTest, MachineWithoutHeartbeatIsDeletedWhenLittleTimeIsLeft) {
  load_after_cancellation(timeout_s - kReserveSeconds + 1);
  apply_machine_list();
  advance_time(1);
  EXPECT_TRUE(deletion_requested());
}

TEST_F(CancelledTaskDeletionTest, UnlistedMachineIsDeletedWhenLittleTimeIsLeft) {
  load_after_cancellation(timeout_s - kReserveSeconds + 1);
  advance_time(1);
  EXPECT_TRUE(deletion_requested());
}

TEST_F(CancelledTaskDeletionTest, UnacknowledgedMachineIsDeletedWhenLittleTimeIsLeft) {
  load_after_cancellation(timeout_s - kReserveSeconds + 1);
  apply_machine_list();
  worker.report_task("job-1", 0, 1, TaskState::running);
  send_heartbeat(worker);  // under the previous leader's token
  advance_time(1);
  EXPECT_TRUE(deletion_requested());
}

TEST_F(CancelledTaskDeletionTest, MachineIsKeptWhileEnoughTimeIsLeft) {
  load_after_cancellation(5);
  apply_machine_list();
  advance_time(2);
  EXPECT_FALSE(deletion_requested());
}

TEST_F(CancelledTaskDeletionTest, ResponsiveMachineIsDeletedWhenHalfOfReserveIsLeft) {
  load_after_cancellation(timeout_s - kReserveSeconds - 4);
  exchange_heartbeat(worker);
  advance_time_with_heartbeats(8);
  EXPECT_FALSE(deletion_requested());
  advance_time_with_heartbeats(4);
  EXPECT_TRUE(deletion_requested());
}

TEST_F(CancelledTaskDeletionTest, MachineMayConfirmTaskEndAfterCancellationTimeout) {
  load_after_cancellation(timeout_s + 20);
  apply_machine_list();
  advance_time(2);
  EXPECT_FALSE(deletion_requested());
  exchange_heartbeat(worker);
  worker.tasks.clear();
  exchange_heartbeat(worker);
  advance_time(1);
  EXPECT_EQ(cluster.job_count(), 0u);
  EXPECT_FALSE(deletion_requested());
}

}  // namespace dockdyke::testing
