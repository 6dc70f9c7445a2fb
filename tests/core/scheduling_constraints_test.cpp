// Quotas, zones and the conditions under which a machine takes work.
#include "core/scheduling_constraints.hpp"

#include <gtest/gtest.h>

#include "cluster_fixture.hpp"

namespace dockdyke::testing {

class SchedulingConstraintsTest : public ::testing::Test {
 protected:
  static ClusterConfig with_quota() {
    auto config = cluster_config();
    config.teams[0].quota.cpus = 12;
    return config;
  }

  SchedulingConstraintsTest() { state.update_types({small_machine_type()}); }

  Machine& machine(const std::string& id, const std::string& zone) {
    Machine& added = state.find_or_add_machine(MachineId(id), now);
    state.set_offering(added, "small", zone, true);
    added.state = MachineState::up;
    added.token_acknowledged = true;
    return added;
  }
  Job& add_job(wire::JobSpec spec) { return state.add_job(spec, Revision(1), now, now); }
  void assign(Job& job, TaskIndex index, Machine& on) {
    TaskAssignment assignment;
    assignment.machine = &on;
    state.begin_assignment(job, index, assignment);
  }

  Time now = 10;
  ClusterState state{with_quota(), FencingToken(7)};
  SchedulingConstraints constraints{state};
};

TEST_F(SchedulingConstraintsTest, QuotaCountsAssignmentsUntilTheyEnd) {
  Job& job = add_job(job_spec("job-1", 5));  // 4 CPUs a task
  Machine& one = machine("n-1", "a");
  EXPECT_EQ(constraints.quota_headroom(job), 3u);
  assign(job, 0, one);
  assign(job, 1, one);
  EXPECT_EQ(constraints.quota_headroom(job), 1u);
  EXPECT_TRUE(state.end_assignment(job, 0, now));
  EXPECT_EQ(constraints.quota_headroom(job), 2u);
  EXPECT_FALSE(state.end_assignment(job, 0, now)) << "it has no assignment any more";
  EXPECT_EQ(constraints.quota_headroom(job), 2u);
}

TEST_F(SchedulingConstraintsTest, AQuotaOfZeroIsNoLimit) {
  auto spec = job_spec("job-1", 1000);
  spec.team = "other";
  EXPECT_GE(constraints.quota_headroom(add_job(spec)), 1000u);
}

TEST_F(SchedulingConstraintsTest, SpreadAllowsHalfOfTheTasksRoundedUpInAZone) {
  auto spec = job_spec("job-1", 5);
  spec.spread = true;
  Job& job = add_job(spec);
  assign(job, 0, machine("n-1", "a"));
  const auto zones = constraints.zone_capacity(job);
  ASSERT_TRUE(zones);
  EXPECT_EQ(zones->at("a"), 2u);
  EXPECT_EQ(zones->at("b"), 3u);
}

TEST_F(SchedulingConstraintsTest, SameZoneAllowsOnlyTheZoneOfTheOthers) {
  auto spec = job_spec("job-1", 3);
  spec.same_zone = true;
  Job& job = add_job(spec);
  EXPECT_TRUE(has_zone_capacity(constraints.zone_capacity(job), "a"));
  EXPECT_TRUE(has_zone_capacity(constraints.zone_capacity(job), "b"));
  assign(job, 0, machine("n-1", "b"));
  EXPECT_FALSE(has_zone_capacity(constraints.zone_capacity(job), "a"));
  EXPECT_TRUE(has_zone_capacity(constraints.zone_capacity(job), "b"));
}

// A task on a machine whose zone is not known might be in any zone.
TEST_F(SchedulingConstraintsTest, ATaskInAnUnknownZoneCountsInAllOfThem) {
  auto spread = job_spec("job-1", 4);
  spread.spread = true;
  Job& spread_job = add_job(spread);
  auto together = job_spec("job-2", 3);
  together.same_zone = true;
  Job& together_job = add_job(together);
  Machine& unknown = state.find_or_add_machine(MachineId("n-1"), now);
  assign(spread_job, 0, unknown);
  assign(together_job, 0, unknown);
  EXPECT_EQ(constraints.zone_capacity(spread_job)->at("a"), 1u);
  EXPECT_EQ(constraints.zone_capacity(spread_job)->at("b"), 1u);
  EXPECT_FALSE(has_zone_capacity(constraints.zone_capacity(together_job), "a"));
}

TEST_F(SchedulingConstraintsTest, AMachineAcceptsWorkOnlyWhileNothingSpeaksAgainstIt) {
  Machine& one = machine("n-1", "a");
  EXPECT_TRUE(constraints.accepts_work(one, now));
  const auto refused_with = [&](auto change) {
    const Machine before = one;
    change(one);
    const bool refused = !constraints.accepts_work(one, now);
    one = before;
    return refused;
  };
  EXPECT_TRUE(refused_with([](Machine& m) { m.state = MachineState::booting; }));
  EXPECT_TRUE(refused_with([](Machine& m) { m.token_acknowledged = false; }));
  EXPECT_TRUE(refused_with([](Machine& m) { m.draining = true; }));
  EXPECT_TRUE(refused_with([](Machine& m) { m.scale_in_requested = true; }));
  EXPECT_TRUE(refused_with([](Machine& m) { m.terminates_at = 100; }));
  EXPECT_TRUE(refused_with([](Machine& m) { m.runs_unknown_tasks = true; }));
  EXPECT_TRUE(refused_with([](Machine& m) { m.undelivered_responses = 2; }));
  EXPECT_TRUE(refused_with([&](Machine& m) { m.assignments_resume_at = now + 1; }));
  EXPECT_TRUE(refused_with([&](Machine& m) { m.last_heartbeat_at = now - 10; })) << "silent";
  EXPECT_TRUE(refused_with([&](Machine& m) {
    m.failed_jobs = {{JobId("job-1"), now}, {JobId("job-2"), now}};
  }));
}

}  // namespace dockdyke::testing
