// Selection of the heartbeat responses that are held until work arrives.
#include "cluster_fixture.hpp"
#include "constants.hpp"

namespace dockdyke::testing {

class ResponseHoldTest : public ClusterTest {
 protected:
  static constexpr double kEstimatedRunSeconds = 100;

  // Connects a worker with 8 CPUs and runs a task with `cpus` CPUs on it for `ran_s`. Its last heartbeat
  // awaits a response.
  Worker run_task_on_worker(double cpus, double ran_s) {
    complete_loading();
    auto spec = job_spec("job-1", 1, cpus);
    spec.estimated_run_s = kEstimatedRunSeconds;
    submit(spec);
    auto worker = connect_worker("n-1");
    receive_response(worker);
    worker.report_task("job-1", 0, 1, wire::TaskState::running);
    exchange_heartbeat(worker);
    const Time end = now + ran_s;
    while (now < end) {
      now += 1;
      exchange_heartbeat(worker);
      cluster.apply(Tick{}, now);
    }
    send_heartbeat(worker);
    return worker;
  }
  ResponseHold hold() const { return cluster.response_hold(MachineId("n-1"), now); }
};

TEST_F(ResponseHoldTest, EmptyMachineWaitsForWork) {
  complete_loading();
  connect_worker("n-1");
  EXPECT_EQ(hold(), ResponseHold::awaiting_work);
}

TEST_F(ResponseHoldTest, MachineWithFreeCapacityAndLongTaskWaitsForWork) {
  run_task_on_worker(4, 10);
  EXPECT_EQ(hold(), ResponseHold::awaiting_work);
}

TEST_F(ResponseHoldTest, ResponseIsNotHeldWhenTaskMayEndSoon) {
  run_task_on_worker(4, constants::kMaxHoldProgressFraction * kEstimatedRunSeconds + 2);
  EXPECT_EQ(hold(), ResponseHold::none);
}

TEST_F(ResponseHoldTest, ResponseToFullMachineIsNotHeld) {
  run_task_on_worker(8, 10);
  EXPECT_EQ(hold(), ResponseHold::none);
}

TEST_F(ResponseHoldTest, StopCommandIsNotHeld) {
  run_task_on_worker(4, 10);
  cluster.apply(JobRecordDeleted{JobId("job-1")}, now);
  EXPECT_EQ(hold(), ResponseHold::none);
}

}  // namespace dockdyke::testing
