// Tests that no value in a request decides how long a step of the leader runs.
#include "cluster_fixture.hpp"
#include "constants.hpp"
#include "time_limit.hpp"

namespace dockdyke::testing {

class LargeRequestTest : public ClusterTest {
 protected:
  static constexpr unsigned kTimeLimitSeconds = 60;
};

// Guards against a pass over all assignments of a job for each further one.
TEST_F(LargeRequestTest, AssigningTasksOfSpreadArrayDoesNotScanItsAssignments) {
  constexpr TaskIndex kTasks = 40'000;
  complete_loading();
  auto spread = job_spec("job-1", kTasks, 0.0001);
  spread.spread = true;
  submit(spread);
  const auto assign_all_tasks = [&] {
    for (std::size_t machines = 0; cluster.job(JobId("job-1"))->waiting_tasks() > 0; ++machines)
      connect_worker("n-" + std::to_string(machines), machines % 2 == 0 ? "a" : "b");
  };
  EXPECT_EXIT(run_and_exit(kTimeLimitSeconds, assign_all_tasks), ::testing::ExitedWithCode(EXIT_SUCCESS), "");
}

}  // namespace dockdyke::testing
