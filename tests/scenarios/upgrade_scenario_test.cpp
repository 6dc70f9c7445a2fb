// Rolling upgrades, in which controllers of the previous and the new version run side by side, and a
// controller may also restart with the previous version.
#include <gtest/gtest.h>

#include "simulation.hpp"

namespace dockdyke::testing {

namespace {

constexpr int kControllers = 3;

core::ClusterConfig lower_limits_config() {
  auto config = cluster_config();
  config.max_value_bytes = 1024;
  config.max_transaction_changes = 3;
  config.max_machines = 400;
  return config;
}

wire::JobSpec short_job_spec(int number, TaskIndex tasks = 3) {
  auto spec = job_spec("job-" + std::to_string(number), tasks);
  spec.estimated_run_s = 12;
  return spec;
}

wire::JobSpec gang_spec(const std::string& id, double run_s) {
  auto spec = job_spec(id, 4);
  spec.kind = wire::JobKind::gang;
  spec.estimated_run_s = run_s;
  return spec;
}

// Restarts the controllers one after the other with the new version.
void upgrade_all_controllers(Simulation& simulation, double interval_s) {
  for (int i = 0; i < kControllers; ++i) {
    simulation.set_previous_version(i, false);
    simulation.crash_controller(i, 1);
    simulation.run(interval_s);
  }
}

}  // namespace

TEST(UpgradeScenario, AllJobsFinishDuringRollingUpgrade) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    SCOPED_TRACE(seed);
    Simulation simulation({.seed = seed, .previous_version_controllers = {0, 1, 2}});
    for (int i = 0; i < 8; ++i) {
      simulation.submit(short_job_spec(i), i % 4 == 0 ? std::optional<double>(14) : std::nullopt);
      simulation.run(1);
    }
    upgrade_all_controllers(simulation, 6);
    simulation.submit(gang_spec("job-100", 10));
    simulation.expect_all_jobs_finish(200);
    simulation.expect_no_leftover_records(60);
    EXPECT_EQ(simulation.gang_starts(), 1u);
  }
}

TEST(UpgradeScenario, JobsFinishWhenCrashedControllersRestartWithPreviousVersion) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    SCOPED_TRACE(seed);
    Simulation simulation({.seed = seed, .previous_version_controllers = {0, 1, 2}});
    for (int i = 0; i < 12; ++i) {
      simulation.submit(short_job_spec(i), i % 3 == 0 ? std::optional<double>(10) : std::nullopt);
      if (i == 4) {
        simulation.set_previous_version(0, false);
        simulation.crash_controller(0, 1);
      }
      // A leader of the previous version may have to load records that the new version wrote.
      if (i % 3 == 2) simulation.crash_controller(simulation.leader().value_or(1), simulation.random(0.2, 4));
      simulation.run(2);
    }
    upgrade_all_controllers(simulation, 3);
    simulation.expect_all_jobs_finish(200);
    simulation.expect_no_leftover_records(60);
  }
}

TEST(UpgradeScenario, FailoverToPreviousVersionAndBackWhileGangRuns) {
  // Gangs are submitted only after all controllers are upgraded. This guards against a process of the
  // previous version that is started by mistake.
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    SCOPED_TRACE(seed);
    Simulation simulation({.seed = seed});
    simulation.submit(gang_spec("job-1", 60));
    simulation.submit(short_job_spec(2));
    ASSERT_TRUE(simulation.run_until([&] { return simulation.gang_starts() == 1; }, 60));
    for (int i = 0; i < kControllers; ++i) simulation.set_previous_version(i, true);
    for (int i = 0; i < kControllers; ++i) simulation.crash_controller(i, 0.5);
    ASSERT_TRUE(simulation.run_until([&] { return simulation.leader().has_value(); }, 10));
    simulation.run(20);
    EXPECT_EQ(simulation.active_task_count("job-1"), 0u)
        << "a leader of the previous version stops tasks of unknown jobs";
    upgrade_all_controllers(simulation, 5);
    simulation.expect_all_jobs_finish(300);
    simulation.expect_no_leftover_records(60);
  }
}

TEST(UpgradeScenario, LimitsAreLoweredUnderLeaderOfPreviousVersion) {
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    SCOPED_TRACE(seed);
    Simulation simulation({.seed = seed,
                           .config = lower_limits_config(),
                           .writes_per_second = 7,
                           .announced_writes_per_second = 6,
                           .previous_version_controllers = {0, 1, 2}});
    simulation.max_machines_per_offering = 150;
    // At this low write rate, one record contains the changes of many tasks.
    for (int i = 0; i < 4; ++i) simulation.submit(short_job_spec(i, 120));
    simulation.run(4);
    simulation.lower_state_service_limits();
    simulation.run(25);
    EXPECT_GT(simulation.state_service.size_rejections, 0u)
        << "the scenario requires a record of the previous version that exceeds the limit";
    const auto rejected_before_upgrade = simulation.state_service.size_rejections;
    upgrade_all_controllers(simulation, 6);
    const auto rejected_after_upgrade = simulation.state_service.size_rejections;
    EXPECT_GE(rejected_after_upgrade, rejected_before_upgrade);
    simulation.expect_all_jobs_finish(400);
    simulation.expect_no_leftover_records(60);
    EXPECT_EQ(simulation.state_service.size_rejections, rejected_after_upgrade)
        << "the new version must keep to the lower limits";
  }
}

}  // namespace dockdyke::testing
