// Which machines are deleted because nothing else ends the cancelled tasks on them in time.
#include "cluster_fixture.hpp"
#include "constants.hpp"

namespace dockdyke::testing {

using wire::TaskState;

class CancelledTaskDeletionTest : public ClusterTest {
 protected:
  // A leader begins `age_s` after a cancellation that was confirmed under an earlier one.
  void begin_after_cancellation(double age_s) {
    auto record = job_record(job_spec("job-1", 1));
    record.cancelled_ms = static_cast<std::int64_t>(-age_s * 1000);
    cluster.apply(JobLoaded{record, Revision(40), true}, now);
    const auto segment = key::segment(FencingToken(kToken - 10), 1);
    cluster.apply(SegmentLoaded{segment, {{JobId("job-1"), {{0, 1, MachineId("n-1"), false}}}}}, now);
    loaded();
  }

  void list_machine() {
    wire::ListedMachine listed;
    listed.id = MachineId("n-1");
    listed.type = "small";
    listed.zone = "a";
    listed.state = wire::InstanceState::running;
    listed.age_s = 60;
    cluster.apply(MachinesListed{{listed}}, now);
  }

  // The worker sends heartbeats and never executes what the responses tell it.
  void pass_with_heartbeats(double s) {
    for (int i = 0; i < s; ++i) {
      worker.tasks.clear();
      worker.shows("job-1", 0, 1, TaskState::running);
      exchange(worker);
      pass(1);
    }
  }

  bool deletion_requested() { return !seen<RequestScaleIn>().empty(); }

  static constexpr double kReserveS = constants::kMaxCancellationReserveSeconds;
  const double timeout_s = cluster_config().cancellation_timeout_s;
  Worker worker{.name = "n-1", .token = kToken - 10};
};

TEST_F(CancelledTaskDeletionTest, MachineThatThisLeaderHasNotHeardGoesAtOnceWhenLittleTimeIsLeft) {
  begin_after_cancellation(timeout_s - kReserveS + 1);
  list_machine();
  pass(1);
  EXPECT_TRUE(deletion_requested());
}

TEST_F(CancelledTaskDeletionTest, SoDoesOneThatTheCloudHasNotListedYet) {
  begin_after_cancellation(timeout_s - kReserveS + 1);
  pass(1);
  EXPECT_TRUE(deletion_requested());
}

TEST_F(CancelledTaskDeletionTest, SoDoesOneOfWhichOnlyALateHeartbeatHasArrived) {
  begin_after_cancellation(timeout_s - kReserveS + 1);
  list_machine();
  worker.shows("job-1", 0, 1, TaskState::running);
  heartbeat_only(worker);  // under the earlier leader's token
  pass(1);
  EXPECT_TRUE(deletion_requested());
}

TEST_F(CancelledTaskDeletionTest, WithTimeLeftTheWorkerIsWaitedFor) {
  begin_after_cancellation(5);
  list_machine();
  pass(2);
  EXPECT_FALSE(deletion_requested());
}

TEST_F(CancelledTaskDeletionTest, MachineInContactThatKeepsItsTaskGoesWhenHalfOfTheReserveIsLeft) {
  begin_after_cancellation(timeout_s - kReserveS - 4);
  exchange(worker);
  pass_with_heartbeats(8);
  EXPECT_FALSE(deletion_requested());
  pass_with_heartbeats(4);
  EXPECT_TRUE(deletion_requested());
}

TEST_F(CancelledTaskDeletionTest, AfterItsTimeAMachineIsGivenTheChanceToShowThatTheTaskIsGone) {
  begin_after_cancellation(timeout_s + 20);
  list_machine();
  pass(2);
  EXPECT_FALSE(deletion_requested());
  exchange(worker);
  worker.tasks.clear();
  exchange(worker);
  pass(1);
  EXPECT_EQ(cluster.jobs(), 0u);
  EXPECT_FALSE(deletion_requested());
}

}  // namespace dockdyke::testing
