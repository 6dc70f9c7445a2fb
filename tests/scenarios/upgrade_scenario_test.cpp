// Both versions serve side by side: controllers come back newer one at a time, and sometimes older again.
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

wire::JobSpec short_job(int number, TaskIndex tasks = 3) {
  auto spec = job_spec("job-" + std::to_string(number), tasks);
  spec.estimated_run_s = 12;
  return spec;
}

wire::JobSpec gang(const std::string& id, double run_s) {
  auto spec = job_spec(id, 4);
  spec.kind = wire::JobKind::gang;
  spec.estimated_run_s = run_s;
  return spec;
}

// Ends the processes one after the other; each comes back with the new version.
void upgrade_all(Simulation& simulation, double every_s) {
  for (int i = 0; i < kControllers; ++i) {
    simulation.set_previous_version(i, false);
    simulation.crash_controller(i, 1);
    simulation.run(every_s);
  }
}

}  // namespace

TEST(UpgradeScenario, WorkGoesOnWhileControllersComeBackNewer) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    SCOPED_TRACE(seed);
    Simulation simulation({.seed = seed, .previous_version_controllers = {0, 1, 2}});
    for (int i = 0; i < 8; ++i) {
      simulation.submit(short_job(i), i % 4 == 0 ? std::optional<double>(14) : std::nullopt);
      simulation.run(1);
    }
    upgrade_all(simulation, 6);
    simulation.submit(gang("job-100", 10));
    simulation.expect_all_jobs_finish(200);
    simulation.expect_no_leftover_records(60);
    EXPECT_EQ(simulation.gang_starts(), 1u);
  }
}

TEST(UpgradeScenario, AProcessThatEndsBeforeItsTurnComesBackOlder) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    SCOPED_TRACE(seed);
    Simulation simulation({.seed = seed, .previous_version_controllers = {0, 1, 2}});
    for (int i = 0; i < 12; ++i) {
      simulation.submit(short_job(i), i % 3 == 0 ? std::optional<double>(10) : std::nullopt);
      if (i == 4) {
        simulation.set_previous_version(0, false);
        simulation.crash_controller(0, 1);
      }
      // Whoever leads ends, and an older one may lead the records of a newer one.
      if (i % 3 == 2) simulation.crash_controller(simulation.leader().value_or(1), simulation.random(0.2, 4));
      simulation.run(2);
    }
    upgrade_all(simulation, 3);
    simulation.expect_all_jobs_finish(200);
    simulation.expect_no_leftover_records(60);
  }
}

TEST(UpgradeScenario, TheLeadGoesFromNewToOldToNewWhileAGangRuns) {
  // Nothing new is asked before all are new; this plays the worst that a process started from the old version
  // by mistake can do.
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    SCOPED_TRACE(seed);
    Simulation simulation({.seed = seed});
    simulation.submit(gang("job-1", 60));
    simulation.submit(short_job(2));
    ASSERT_TRUE(simulation.run_until([&] { return simulation.gang_starts() == 1; }, 60));
    for (int i = 0; i < kControllers; ++i) simulation.set_previous_version(i, true);
    for (int i = 0; i < kControllers; ++i) simulation.crash_controller(i, 0.5);
    ASSERT_TRUE(simulation.run_until([&] { return simulation.leader().has_value(); }, 10));
    simulation.run(20);
    EXPECT_EQ(simulation.active_task_count("job-1"), 0u) << "an older leader ends what it does not know";
    upgrade_all(simulation, 5);
    simulation.expect_all_jobs_finish(300);
    simulation.expect_no_leftover_records(60);
  }
}

TEST(UpgradeScenario, LimitsAreLoweredWhileAnOlderLeaderStillWrites) {
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    SCOPED_TRACE(seed);
    Simulation simulation({.seed = seed,
                           .config = lower_limits_config(),
                           .writes_per_second = 7,
                           .announced_writes_per_second = 6,
                           .previous_version_controllers = {0, 1, 2}});
    simulation.max_machines_per_offering = 150;
    // With few writes a second, the changes of many tasks share a record.
    for (int i = 0; i < 4; ++i) simulation.submit(short_job(i, 120));
    simulation.run(4);
    simulation.lower_state_service_limits();
    simulation.run(25);
    EXPECT_GT(simulation.state_service.size_rejections, 0u)
        << "the older leader's records should have become too large";
    const auto refused_before = simulation.state_service.size_rejections;
    upgrade_all(simulation, 6);
    const auto refused_after = simulation.state_service.size_rejections;
    EXPECT_GE(refused_after, refused_before);
    simulation.expect_all_jobs_finish(400);
    simulation.expect_no_leftover_records(60);
    EXPECT_EQ(simulation.state_service.size_rejections, refused_after)
        << "no newer one writes records that large";
  }
}

}  // namespace dockdyke::testing
