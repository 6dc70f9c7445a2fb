// Tests of team quotas, zone constraints and the conditions under which a machine accepts work.
#include "core/scheduling_constraints.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "cluster_fixture.hpp"

namespace dockdyke::testing {

class SchedulingConstraintsTest : public ::testing::Test {
 protected:
  static ClusterConfig config_with_quota() {
    auto config = cluster_config();
    config.teams[0].quota.cpus = 12;
    return config;
  }

  SchedulingConstraintsTest() { state.update_types({small_machine_type()}); }

  Machine& add_machine(const std::string& id, const std::string& zone) {
    Machine& machine = state.find_or_add_machine(MachineId(id), now);
    state.set_offering(machine, "small", zone, true);
    machine.state = MachineState::up;
    machine.token_acknowledged = true;
    return machine;
  }
  Job& add_job(wire::JobSpec spec) { return state.add_job(spec, Revision(1), now, now); }
  void assign(Job& job, TaskIndex index, Machine& machine) {
    TaskAssignment assignment;
    assignment.machine = &machine;
    state.begin_assignment(job, index, assignment);
  }

  Time now = 10;
  ClusterState state{config_with_quota(), FencingToken(7)};
  SchedulingConstraints constraints{state};
};

TEST_F(SchedulingConstraintsTest, QuotaCountsAssignmentsUntilTheyEnd) {
  Job& job = add_job(job_spec("job-1", 5));  // 4 CPUs per task
  Machine& machine = add_machine("n-1", "a");
  EXPECT_EQ(constraints.quota_headroom(job), 3u);
  assign(job, 0, machine);
  assign(job, 1, machine);
  EXPECT_EQ(constraints.quota_headroom(job), 1u);
  EXPECT_TRUE(state.end_assignment(job, 0, now));
  EXPECT_EQ(constraints.quota_headroom(job), 2u);
  EXPECT_FALSE(state.end_assignment(job, 0, now)) << "the assignment has already ended";
  EXPECT_EQ(constraints.quota_headroom(job), 2u);
}

TEST_F(SchedulingConstraintsTest, ZeroQuotaMeansNoLimit) {
  auto spec = job_spec("job-1", 1000);
  spec.team = "other";
  EXPECT_GE(constraints.quota_headroom(add_job(spec)), 1000u);
}

TEST_F(SchedulingConstraintsTest, SpreadLimitsZoneToHalfOfTasksRoundedUp) {
  auto spec = job_spec("job-1", 5);
  spec.spread = true;
  Job& job = add_job(spec);
  assign(job, 0, add_machine("n-1", "a"));
  const auto zones = constraints.zone_capacity(job);
  ASSERT_TRUE(zones);
  EXPECT_EQ(zones->at("a"), 2u);
  EXPECT_EQ(zones->at("b"), 3u);
}

TEST_F(SchedulingConstraintsTest, SameZoneAllowsOnlyZoneOfAssignedTasks) {
  auto spec = job_spec("job-1", 3);
  spec.same_zone = true;
  Job& job = add_job(spec);
  EXPECT_TRUE(has_zone_capacity(constraints.zone_capacity(job), "a"));
  EXPECT_TRUE(has_zone_capacity(constraints.zone_capacity(job), "b"));
  assign(job, 0, add_machine("n-1", "b"));
  EXPECT_FALSE(has_zone_capacity(constraints.zone_capacity(job), "a"));
  EXPECT_TRUE(has_zone_capacity(constraints.zone_capacity(job), "b"));
}

// A machine whose zone is not known yet may be in any zone.
TEST_F(SchedulingConstraintsTest, TaskInUnknownZoneCountsInEveryZone) {
  auto spread_spec = job_spec("job-1", 4);
  spread_spec.spread = true;
  Job& spread_job = add_job(spread_spec);
  auto same_zone_spec = job_spec("job-2", 3);
  same_zone_spec.same_zone = true;
  Job& same_zone_job = add_job(same_zone_spec);
  Machine& machine = state.find_or_add_machine(MachineId("n-1"), now);
  assign(spread_job, 0, machine);
  assign(same_zone_job, 0, machine);
  EXPECT_EQ(constraints.zone_capacity(spread_job)->at("a"), 1u);
  EXPECT_EQ(constraints.zone_capacity(spread_job)->at("b"), 1u);
  EXPECT_FALSE(has_zone_capacity(constraints.zone_capacity(same_zone_job), "a"));
}

TEST_F(SchedulingConstraintsTest, TaskCountsInZoneThatItsMachineReportsLater) {
  auto spec = job_spec("job-1", 4);
  spec.spread = true;
  Job& job = add_job(spec);
  Machine& machine = state.find_or_add_machine(MachineId("n-1"), now);
  assign(job, 0, machine);
  state.set_offering(machine, "small", "b", true);
  EXPECT_EQ(constraints.zone_capacity(job)->at("a"), 2u);
  EXPECT_EQ(constraints.zone_capacity(job)->at("b"), 1u);
  EXPECT_TRUE(state.end_assignment(job, 0, now));
  EXPECT_EQ(constraints.zone_capacity(job)->at("b"), 2u);
}

TEST_F(SchedulingConstraintsTest, EachExclusionConditionPreventsAcceptingWork) {
  Machine& machine = add_machine("n-1", "a");
  EXPECT_TRUE(constraints.accepts_work(machine, now));
  const auto refuses_work_after = [&](auto change) {
    const Machine original = machine;
    change(machine);
    const bool refuses = !constraints.accepts_work(machine, now);
    machine = original;
    return refuses;
  };
  EXPECT_TRUE(refuses_work_after([](Machine& m) { m.state = MachineState::booting; }));
  EXPECT_TRUE(refuses_work_after([](Machine& m) { m.token_acknowledged = false; }));
  EXPECT_TRUE(refuses_work_after([](Machine& m) { m.draining = true; }));
  EXPECT_TRUE(refuses_work_after([](Machine& m) { m.scale_in_requested = true; }));
  EXPECT_TRUE(refuses_work_after([](Machine& m) { m.terminates_at = 100; }));
  EXPECT_TRUE(refuses_work_after([](Machine& m) { m.runs_unknown_tasks = true; }));
  EXPECT_TRUE(refuses_work_after([](Machine& m) { m.undelivered_responses = 2; }));
  EXPECT_TRUE(refuses_work_after([&](Machine& m) { m.assignments_resume_at = now + 1; }));
  EXPECT_TRUE(refuses_work_after([&](Machine& m) { m.last_heartbeat_at = now - 10; })) << "unresponsive";
  EXPECT_TRUE(refuses_work_after([&](Machine& m) {
    m.failed_jobs = {{JobId("job-1"), now}, {JobId("job-2"), now}};
  }));
}

TEST_F(SchedulingConstraintsTest, OnlyLastingObstaclesTakeTasksFromMachine) {
  Machine& machine = add_machine("n-1", "a");
  EXPECT_EQ(constraints.start_obstacle(machine, now), StartObstacle::none);
  EXPECT_FALSE(is_lasting(StartObstacle::none));
  const auto obstacle_after = [&](auto change) {
    const Machine original = machine;
    change(machine);
    const StartObstacle obstacle = constraints.start_obstacle(machine, now);
    machine = original;
    return obstacle;
  };
  const auto unacknowledged = obstacle_after([](Machine& m) { m.token_acknowledged = false; });
  EXPECT_EQ(unacknowledged, StartObstacle::token_not_acknowledged);
  EXPECT_FALSE(is_lasting(unacknowledged)) << "the next heartbeats may acknowledge it";
  const std::vector<StartObstacle> lasting{
      obstacle_after([](Machine& m) { m.draining = true; }),
      obstacle_after([](Machine& m) { m.terminates_at = 100; }),
      obstacle_after([](Machine& m) { m.scale_in_requested = true; }),
      obstacle_after([&](Machine& m) { m.last_heartbeat_at = now - 10; }),
      obstacle_after([](Machine& m) { m.undelivered_responses = 2; }),
  };
  EXPECT_EQ(lasting,
            (std::vector<StartObstacle>{StartObstacle::draining, StartObstacle::terminating,
                                        StartObstacle::deletion_requested, StartObstacle::unresponsive,
                                        StartObstacle::responses_lost}));
  EXPECT_TRUE(std::all_of(lasting.begin(), lasting.end(), is_lasting));
}

}  // namespace dockdyke::testing
