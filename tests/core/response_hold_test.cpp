// Which heartbeat responses are held for work that may come.
#include "cluster_fixture.hpp"
#include "constants.hpp"

namespace dockdyke::testing {

class ResponseHoldTest : public ClusterTest {
 protected:
  static constexpr double kEstimatedRunSeconds = 100;

  // A worker that has been running one task of so many CPUs, of its eight, for `ran_s`.
  Worker busy_worker(double cpus, double ran_s) {
    loaded();
    auto spec = job_spec("job-1", 1, cpus);
    spec.estimated_run_s = kEstimatedRunSeconds;
    submit(spec);
    auto worker = ready_worker("n-1");
    answer(worker);
    worker.shows("job-1", 0, 1, wire::TaskState::running);
    exchange(worker);
    // It sends heartbeats all the time.
    const Time end = now + ran_s;
    while (now < end) {
      now += 1;
      exchange(worker);
      cluster.apply(Tick{}, now);
    }
    heartbeat_only(worker);
    return worker;
  }
  ResponseHold hold() const { return cluster.response_hold(MachineId("n-1"), now); }
};

TEST_F(ResponseHoldTest, EmptyMachineWaitsForWork) {
  loaded();
  ready_worker("n-1");
  EXPECT_EQ(hold(), ResponseHold::awaiting_work);
}

TEST_F(ResponseHoldTest, MachineWithRoomAndALongTaskWaitsForWork) {
  busy_worker(4, 10);
  EXPECT_EQ(hold(), ResponseHold::awaiting_work);
}

TEST_F(ResponseHoldTest, TaskThatMayEndSoonIsReportedWithoutDelay) {
  busy_worker(4, constants::kMaxHoldProgressFraction * kEstimatedRunSeconds + 2);
  EXPECT_EQ(hold(), ResponseHold::none);
}

TEST_F(ResponseHoldTest, FullMachineHasNothingToWaitFor) {
  busy_worker(8, 10);
  EXPECT_EQ(hold(), ResponseHold::none);
}

TEST_F(ResponseHoldTest, StopCommandIsSentAtOnce) {
  busy_worker(4, 10);
  cluster.apply(JobRecordRemoved{JobId("job-1")}, now);
  EXPECT_EQ(hold(), ResponseHold::none);
}

}  // namespace dockdyke::testing
