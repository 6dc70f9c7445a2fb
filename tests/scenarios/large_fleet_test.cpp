// Runs complete controllers with 4,100 simulated machines through a cold start and faults that affect a large
// part of the fleet at once.
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

std::size_t count_running_tasks(Simulation& simulation) {
  std::size_t count = 0;
  for (auto* worker : simulation.running_workers())
    for (const auto& task : worker->tasks) count += task.state == wire::TaskState::running;
  return count;
}

}  // namespace

TEST(LargeFleet, ColdStartFailoverZoneLossRestartAndMassCancellation) {
  Simulation simulation({.seed = 1,
                         .controllers = kControllers,
                         .config = large_config(),
                         .writes_per_second = 200,
                         .step_s = 0.5});
  simulation.max_machines_per_offering = kMachines / 2;  // in each of the two zones
  // Each task fills one machine and runs until it is cancelled.
  for (int i = 0; i < kJobs; ++i) {
    auto spec = job_spec(job_name(i), kTasksPerJob, 8);
    spec.estimated_run_s = 5000;
    spec.spot_allowed = false;
    simulation.submit(spec);
  }
  const auto all_tasks_running_within = [&](int timeout_s) {
    for (int s = 0; s < timeout_s && count_running_tasks(simulation) < kMachines; ++s) simulation.run(1);
    return count_running_tasks(simulation) == kMachines;
  };
  ASSERT_TRUE(all_tasks_running_within(120))
      << count_running_tasks(simulation) << " tasks are running after a cold start";
  EXPECT_EQ(simulation.task_starts(), kMachines) << "each task must be started once";

  simulation.crash_controller(*simulation.leader(), 3);
  simulation.run(30);
  EXPECT_TRUE(simulation.leader());
  EXPECT_EQ(count_running_tasks(simulation), kMachines) << "a failover must not end any task";
  EXPECT_EQ(simulation.task_starts(), kMachines);

  for (auto* worker : simulation.running_workers())
    if (worker->zone == "b") simulation.crash_worker(*worker);
  EXPECT_LT(count_running_tasks(simulation), kMachines);
  ASSERT_TRUE(all_tasks_running_within(150))
      << count_running_tasks(simulation) << " tasks are running after the loss of a zone";

  const auto starts_before_restart = simulation.task_starts();
  for (int i = 0; i < kControllers; ++i) simulation.crash_controller(i, 1);
  simulation.run(30);
  EXPECT_EQ(count_running_tasks(simulation), kMachines)
      << "a restart of all controllers must not end any task";
  EXPECT_EQ(simulation.task_starts(), starts_before_restart);

  for (int i = 0; i < kJobs; ++i) simulation.cancel(job_name(i));
  simulation.expect_all_jobs_finish(40);
  simulation.expect_no_leftover_records(60);
}

}  // namespace dockdyke::testing
