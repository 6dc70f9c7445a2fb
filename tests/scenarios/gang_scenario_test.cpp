// Scenarios with gangs, run in simulated time against complete controllers. The simulation checks the
// protocol's invariants throughout.
#include <gtest/gtest.h>

#include "simulation.hpp"

namespace dockdyke::testing {

namespace {

wire::JobSpec gang_spec(const std::string& id, TaskIndex tasks, double cpus = 4, double run_s = 20) {
  auto spec = job_spec(id, tasks, cpus);
  spec.kind = wire::JobKind::gang;
  spec.estimated_run_s = run_s;
  return spec;
}

bool all_tasks_running(Simulation& simulation, const std::string& id) {
  std::size_t running_count = 0;
  for (auto* worker : simulation.running_workers())
    for (const auto& task : worker->tasks)
      running_count += task.ref.job.value == id && task.state == wire::TaskState::running;
  return running_count == simulation.job(id).spec.task_count;
}

}  // namespace

TEST(GangScenario, EachGangStartsOnceWithoutFaults) {
  Simulation simulation({.seed = 1});
  for (int i = 0; i < 4; ++i) simulation.submit(gang_spec("job-" + std::to_string(i), 3));
  simulation.submit(job_spec("job-9", 5));
  simulation.expect_all_jobs_finish(200);
  EXPECT_EQ(simulation.gang_starts(), 4u);
  simulation.expect_no_leftover_records(30);
}

TEST(GangScenario, AllTasksRestartAfterMachineLoss) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SCOPED_TRACE(seed);
    Simulation simulation({.seed = seed});
    simulation.submit(gang_spec("job-1", 5, 4, 60));
    ASSERT_TRUE(simulation.run_until([&] { return all_tasks_running(simulation, "job-1"); }, 60));
    simulation.crash_worker(*simulation.workers_with_active_tasks("job-1").at(0));
    ASSERT_TRUE(simulation.run_until([&] { return !all_tasks_running(simulation, "job-1"); }, 30));
    ASSERT_TRUE(simulation.run_until([&] { return all_tasks_running(simulation, "job-1"); }, 120));
    simulation.expect_all_jobs_finish(200);
    simulation.expect_no_leftover_records(30);
  }
}

TEST(GangScenario, NextAttemptWaitsUntilHungTaskIsConfirmedEnded) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SCOPED_TRACE(seed);
    Simulation simulation({.seed = seed});
    simulation.submit(gang_spec("job-1", 5, 4, 60));
    ASSERT_TRUE(simulation.run_until([&] { return all_tasks_running(simulation, "job-1"); }, 60));
    simulation.hang_worker(*simulation.workers_with_active_tasks("job-1").at(0),
                           simulation.config().worker_lease_s + 5);
    simulation.expect_all_jobs_finish(300);
    simulation.expect_no_leftover_records(30);
  }
}

TEST(GangScenario, CancelledGangEndsInTimeWithHungMachine) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SCOPED_TRACE(seed);
    Simulation simulation({.seed = seed});
    simulation.submit(gang_spec("job-1", 5, 4, 400));
    ASSERT_TRUE(simulation.run_until([&] { return all_tasks_running(simulation, "job-1"); }, 60));
    simulation.hang_worker(*simulation.workers_with_active_tasks("job-1").at(0), 60);
    simulation.cancel("job-1");
    simulation.run(simulation.config().cancellation_timeout_s + 30);
    EXPECT_TRUE(simulation.job("job-1").cancellation_confirmed_at);
    EXPECT_EQ(simulation.active_task_count("job-1"), 0u);
    simulation.expect_no_leftover_records(60);
  }
}

TEST(GangScenario, NewLeaderAdoptsRunningGang) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SCOPED_TRACE(seed);
    Simulation simulation({.seed = seed});
    simulation.submit(gang_spec("job-1", 5, 4, 60));
    ASSERT_TRUE(simulation.run_until([&] { return all_tasks_running(simulation, "job-1"); }, 60));
    simulation.crash_controller(*simulation.leader(), 3);
    simulation.expect_all_jobs_finish(200);
    EXPECT_EQ(simulation.gang_starts(), 1u) << "the new leader must not start a second attempt";
  }
}

TEST(GangScenario, AllControllersCrashDuringGangAssembly) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    SCOPED_TRACE(seed);
    Simulation simulation({.seed = seed});
    for (int i = 0; i < 5; ++i) simulation.submit(gang_spec("job-" + std::to_string(i), 4));
    simulation.run(simulation.random(5, 14));
    for (int i = 0; i < 3; ++i) simulation.crash_controller(i, simulation.random(0.2, 4));
    simulation.run(simulation.random(5, 10));
    simulation.crash_controller(simulation.leader().value_or(0), 0.3);
    simulation.expect_all_jobs_finish(300);
    simulation.expect_no_leftover_records(30);
  }
}

TEST(GangScenario, GangsRunWhenOneMachineReceivesNoResponses) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SCOPED_TRACE(seed);
    Simulation simulation({.seed = seed});
    for (int i = 0; i < 3; ++i) simulation.submit(job_spec("job-" + std::to_string(10 + i), 6));
    simulation.run(14);
    const auto workers = simulation.running_workers();
    ASSERT_FALSE(workers.empty());
    simulation.inject_fault(workers.at(0)->id, "dyke", LinkFaultKind::drop_response, 25);
    for (int i = 0; i < 3; ++i) simulation.submit(gang_spec("job-" + std::to_string(i), 5));
    simulation.expect_all_jobs_finish(300);
  }
}

TEST(GangScenario, UnreachableSameZoneGangRestartsOnlyOnceConfirmedEnded) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SCOPED_TRACE(seed);
    Simulation simulation({.seed = seed});
    auto spec = gang_spec("job-1", 5, 4, 60);
    spec.same_zone = true;
    simulation.submit(spec);
    ASSERT_TRUE(simulation.run_until([&] { return all_tasks_running(simulation, "job-1"); }, 60));
    for (auto* worker : simulation.workers_with_active_tasks("job-1"))
      simulation.inject_fault(worker->id, "dyke", LinkFaultKind::drop_request, 40);
    simulation.expect_all_jobs_finish(300);
  }
}

TEST(GangScenario, GangWritesCheckpointBeforeSpotMachineIsReclaimed) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SCOPED_TRACE(seed);
    Simulation simulation({.seed = seed});
    auto spec = gang_spec("job-1", 5, 4, 100);
    spec.checkpoint_interval_s = 30;
    spec.checkpoint_duration_s = 1;
    simulation.submit(spec);
    ASSERT_TRUE(simulation.run_until([&] { return all_tasks_running(simulation, "job-1"); }, 60));
    ASSERT_GT(simulation.workers_with_active_tasks("job-1").size(), 1u);
    simulation.run(14);
    simulation.send_termination_notice(*simulation.workers_with_active_tasks("job-1").at(0), 10);
    simulation.run(15);
    EXPECT_EQ(simulation.gang_checkpoints(), 1u);
    EXPECT_GT(simulation.direct_command_requests(), 1u);
    simulation.expect_all_jobs_finish(300);
    EXPECT_EQ(simulation.gang_starts(), 2u);
  }
}

TEST(GangScenario, NoCheckpointWhileMachineOfGangIsUnresponsive) {
  Simulation simulation({.seed = 2});
  auto spec = gang_spec("job-1", 5, 4, 100);
  spec.checkpoint_interval_s = 30;
  spec.checkpoint_duration_s = 1;
  simulation.submit(spec);
  ASSERT_TRUE(simulation.run_until([&] { return all_tasks_running(simulation, "job-1"); }, 60));
  const auto workers = simulation.workers_with_active_tasks("job-1");
  ASSERT_GT(workers.size(), 1u);
  simulation.run(14);
  simulation.inject_fault(workers.at(1)->id, "dyke", LinkFaultKind::drop_request, 14);
  simulation.run(5);
  simulation.send_termination_notice(*workers.at(0), 8);
  simulation.run(9);
  EXPECT_EQ(simulation.direct_command_requests(), 0u);
  simulation.expect_all_jobs_finish(300);
}

TEST(GangScenario, GangDoesNotStarveBehindSmallJobs) {
  Simulation simulation({.seed = 4});
  simulation.max_machines_per_offering = 2;  // per zone, of spot and of on-demand machines
  for (int i = 0; i < 40; ++i) simulation.submit(job_spec("job-" + std::to_string(100 + i), 2, 4));
  simulation.run(25);
  simulation.submit(gang_spec("job-1", 6, 8));
  EXPECT_TRUE(simulation.run_until([&] { return all_tasks_running(simulation, "job-1"); }, 150));
  simulation.expect_all_jobs_finish(600);
}

TEST(GangScenario, GangsCompetingForCapacityDoNotDeadlock) {
  Simulation simulation({.seed = 5});
  simulation.max_machines_per_offering = 1;
  for (int i = 0; i < 3; ++i) simulation.submit(gang_spec("job-" + std::to_string(i), 3, 8));
  simulation.expect_all_jobs_finish(300);
  EXPECT_EQ(simulation.gang_starts(), 3u);
}

TEST(GangScenario, GangWaitsUntilTeamQuotaFitsAllTasks) {
  core::ClusterConfig config = cluster_config();
  config.teams[1].quota.cpus = 16;
  Simulation simulation({.seed = 6, .config = config});
  for (int i = 0; i < 6; ++i) {
    auto spec =
        i % 2 == 0 ? gang_spec("job-" + std::to_string(i), 4) : job_spec("job-" + std::to_string(i), 3);
    spec.estimated_run_s = 15;
    spec.team = "other";
    simulation.submit(spec);
  }
  simulation.expect_all_jobs_finish(400);
}

}  // namespace dockdyke::testing
