// Tests of preemption through the leader's state machine.
#include "cluster_fixture.hpp"
#include "constants.hpp"
#include "time_limit.hpp"

namespace dockdyke::testing {

using wire::CommandKind;
using wire::TaskState;

// Two machines are filled by one job, so that a job with a higher priority needs preemption.
class PreemptionTest : public ClusterTest {
 protected:
  void fill_machines(wire::Priority priority) {
    complete_loading();
    for (const char* name : {"n-1", "n-2"}) workers.push_back(connect_worker(name));
    auto spec = job_spec("job-1", 8, 2);
    spec.priority = priority;
    spec.estimated_run_s = 300;
    submit(spec);
    exchange_with_all_workers();
    exchange_with_all_workers();
  }
  // Exchanges one heartbeat with each worker, which follows its start commands. Returns the number of stop
  // commands.
  std::size_t exchange_with_all_workers() {
    std::size_t stops = 0;
    for (auto& worker : workers) {
      const auto commands = exchange_heartbeat(worker);
      worker.run_started_tasks(commands);
      stops += count(commands, CommandKind::stop);
    }
    return stops;
  }
  // Submits a job with a higher priority and exchanges heartbeats for some seconds, or until the first stop
  // command. Returns the most stop commands that one exchange with all workers had.
  std::size_t max_stops_for_high_priority_job(TaskIndex tasks, bool until_first_stop) {
    auto high_priority = job_spec("job-2", tasks, 4);
    high_priority.priority = wire::Priority::high;
    submit(high_priority);
    std::size_t stops = 0;
    for (int i = 0; i < 6 && (stops == 0 || !until_first_stop); ++i) {
      advance_time(1.5);
      stops = std::max(stops, exchange_with_all_workers());
    }
    return stops;
  }
  std::vector<Worker> workers;
};

TEST_F(PreemptionTest, LowPriorityVictimsFreeCapacityForAllWaitingTasks) {
  fill_machines(wire::Priority::low);
  EXPECT_EQ(max_stops_for_high_priority_job(4, true), 8u);
}

TEST_F(PreemptionTest, NormalPriorityVictimsFreeCapacityForOneTask) {
  fill_machines(wire::Priority::normal);
  EXPECT_EQ(max_stops_for_high_priority_job(4, true), 2u) << "capacity for one task";
}

TEST_F(PreemptionTest, PreemptsNoMoreTasksThanNeeded) {
  fill_machines(wire::Priority::low);
  EXPECT_EQ(max_stops_for_high_priority_job(1, false), 2u);
}

// The CPUs and memory that each task of a high-priority array requests.
class PreemptionForTinyTasksTest : public PreemptionTest, public ::testing::WithParamInterface<double> {};

// Guards against a leader that plans forever, since any number of tasks fits into the capacity of a victim.
TEST_P(PreemptionForTinyTasksTest, PlanningEndsWhateverAmountsTasksRequest) {
  constexpr unsigned kTimeLimitSeconds = 60;
  fill_machines(wire::Priority::normal);
  auto array = job_spec("job-2", constants::kMaxTasksPerJob, GetParam());
  array.priority = wire::Priority::high;
  submit(array);
  const auto wait_until_preemption = [&] {
    while (now < constants::kPreemptionDelaySeconds + 10) {
      advance_time(1.5);
      exchange_with_all_workers();
    }
  };
  EXPECT_EXIT(run_and_exit(kTimeLimitSeconds, wait_until_preemption), ::testing::ExitedWithCode(EXIT_SUCCESS),
              "");
}

INSTANTIATE_TEST_SUITE_P(Amounts, PreemptionForTinyTasksTest, ::testing::Values(0.0, 1e-300, 1e-9));

}  // namespace dockdyke::testing
