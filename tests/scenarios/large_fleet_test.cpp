// A fleet of 4,100 machines on fakes: whole controllers from a cold start through the falls that hit all at
// once.
#include <gtest/gtest.h>

#include "simulation.hpp"

namespace dockdyke::testing {

namespace {

constexpr std::size_t kMachines = 4100;
constexpr int kControllers = 3;
constexpr int kJobs = 41;
constexpr TaskIndex kTasksPerJob = 100;

core::ClusterConfig large_config() {
  auto config = cluster_config();
  config.heartbeat_interval_s = 10;
  config.worker_lease_s = 35;
  config.cancellation_timeout_s = 60;
  config.cloud_rps = 8;
  config.write_rps = 200;
  config.max_machines = kMachines;
  return config;
}

std::string job_name(int number) {
  return "job-" + std::to_string(number);
}

std::size_t running_tasks(Simulation& simulation) {
  std::size_t count = 0;
  for (auto* worker : simulation.running_workers())
    for (const auto& task : worker->tasks) count += task.state == wire::TaskState::running;
  return count;
}

}  // namespace

TEST(LargeFleet, ColdStartTakeOverLostZoneRestartOfAllAndMassCancellation) {
  Simulation simulation({.seed = 1,
                         .controllers = kControllers,
                         .config = large_config(),
                         .writes_per_second = 200,
                         .step_s = 0.5});
  simulation.max_machines_per_offering = kMachines / 2;  // in each of the two zones
  // One task fills a machine, and none ends by itself.
  for (int i = 0; i < kJobs; ++i) {
    auto spec = job_spec(job_name(i), kTasksPerJob, 8);
    spec.estimated_run_s = 5000;
    spec.spot_allowed = false;
    simulation.submit(spec);
  }
  const auto all_run_within = [&](int most_s) {
    for (int s = 0; s < most_s && running_tasks(simulation) < kMachines; ++s) simulation.run(1);
    return running_tasks(simulation) == kMachines;
  };
  ASSERT_TRUE(all_run_within(120)) << running_tasks(simulation) << " after a cold start";
  EXPECT_EQ(simulation.task_starts(), kMachines) << "each task was started once";

  simulation.crash_controller(*simulation.leader(), 3);
  simulation.run(30);
  EXPECT_TRUE(simulation.leader());
  EXPECT_EQ(running_tasks(simulation), kMachines) << "a take-over ends no task";
  EXPECT_EQ(simulation.task_starts(), kMachines);

  for (auto* worker : simulation.running_workers())
    if (worker->zone == "b") simulation.crash_worker(*worker);
  EXPECT_LT(running_tasks(simulation), kMachines);
  ASSERT_TRUE(all_run_within(150)) << running_tasks(simulation) << " after a zone was lost";

  const auto started = simulation.task_starts();
  for (int i = 0; i < kControllers; ++i) simulation.crash_controller(i, 1);
  simulation.run(30);
  EXPECT_EQ(running_tasks(simulation), kMachines) << "a restart of all controllers ends no task";
  EXPECT_EQ(simulation.task_starts(), started);

  for (int i = 0; i < kJobs; ++i) simulation.cancel(job_name(i));
  simulation.expect_all_jobs_finish(40);
  simulation.expect_no_leftover_records(60);
}

}  // namespace dockdyke::testing
