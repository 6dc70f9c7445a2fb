// Scenarios in which the records that a new leader loads lag behind the truth for a job with a zone
// constraint.
#include <gtest/gtest.h>

#include <algorithm>

#include "log_capture.hpp"
#include "simulation.hpp"

namespace dockdyke::testing {

namespace {

wire::JobSpec quarter_machine_spec(const std::string& id, TaskIndex tasks, const std::string& zone) {
  auto spec = long_job_spec(id, tasks);
  spec.task_resources = {2, 0, 2};
  spec.zone = zone;
  return spec;
}

// Returns whether the transaction stores that tasks of the job have no assignment.
bool stores_ended_assignment(const Json& transaction, const std::string& id) {
  const auto& changes = transaction.at("apply");
  return std::any_of(changes.begin(), changes.end(), [&](const Json& change) {
    const bool segment = change.contains("write") && change["write"].get<std::string>().starts_with("page/");
    return segment && change["value"].contains(id) && change["value"][id].contains("f");
  });
}

// A job of eight tasks, four of which run on the only spot machine of zone a. All other machines are full.
class LaggingRecordsScenario {
 public:
  static constexpr const char* kJob = "job-1";

  LaggingRecordsScenario(std::uint64_t seed, bool same_zone) : simulation({.seed = seed}) {
    simulation.max_machines_per_offering = 1;
    fill_machine("a", false, kThreeTasksInA, kOneTaskInA);
    fill_machine("b", false, kThreeTasksOnDemandInB, kOneTaskOnDemandInB);
    fill_machine("b", true, kThreeTasksInB, kOneTaskInB);
    auto spec = quarter_machine_spec(kJob, 8, "a");
    spec.zone = {};
    spec.same_zone = same_zone;
    spec.spread = !same_zone;
    spec.estimated_run_s = 60;
    simulation.submit(spec);
    EXPECT_TRUE(simulation.run_until([&] { return simulation.active_task_count(kJob) == 4; }, 60));
  }

  // The cloud takes the machine back, which hangs once its tasks have ended. One of the tasks moves to zone
  // b, while the records of the ends lag.
  void move_one_task() {
    simulation.applies_late = [](const Json& transaction) {
      return stores_ended_assignment(transaction, kJob);
    };
    auto* machine = simulation.workers_with_active_tasks(kJob).at(0);
    ASSERT_EQ(machine->zone, "a");
    simulation.send_termination_notice(*machine, 10);
    ASSERT_TRUE(simulation.run_until([&] { return simulation.active_task_count(kJob) == 0; }, 8));
    simulation.run(1);
    simulation.hang_worker(*machine, 10);
    simulation.cancel(kOneTaskInB);
    ASSERT_TRUE(simulation.run_until([&] { return simulation.active_task_count(kJob) == 1; }, 10));
    ASSERT_EQ(simulation.workers_with_active_tasks(kJob).at(0)->zone, "b");
  }
  // The leader ends, room appears in zone a, and the cloud offers more machines in both zones.
  void replace_leader() {
    simulation.crash_controller(*simulation.leader(), 6);
    simulation.max_machines_per_offering = 3;
    simulation.cancel(kOneTaskInA);
    simulation.run(30);
  }
  void expect_all_jobs_finish() {
    simulation.applies_late = {};
    for (const char* id : {kThreeTasksInA, kThreeTasksInB, kThreeTasksOnDemandInB, kOneTaskOnDemandInB})
      simulation.cancel(id);
    simulation.expect_all_jobs_finish(300);
  }

  Simulation simulation;

 private:
  static constexpr const char* kThreeTasksInA = "job-4";
  static constexpr const char* kOneTaskInA = "job-5";
  static constexpr const char* kThreeTasksInB = "job-6";
  static constexpr const char* kOneTaskInB = "job-7";
  static constexpr const char* kThreeTasksOnDemandInB = "job-8";
  static constexpr const char* kOneTaskOnDemandInB = "job-9";

  void fill_machine(const std::string& zone, bool spot, const std::string& three_tasks,
                    const std::string& one_task) {
    for (const auto& id : {three_tasks, one_task}) {
      auto spec = quarter_machine_spec(id, id == one_task ? 1 : 3, zone);
      spec.spot_allowed = spot;
      simulation.submit(spec);
      EXPECT_TRUE(simulation.run_until([&] { return simulation.all_tasks_active(id); }, 60)) << id;
    }
  }
};

}  // namespace

class LaggingRecordsScenarioTest : public ::testing::TestWithParam<bool> {};

// Guards against a new leader that starts tasks of a job in two zones, since the records of the tasks' ends
// in one of them were late.
TEST_P(LaggingRecordsScenarioTest, ZoneConstraintHoldsAndJobCompletes) {
  const bool same_zone = GetParam();
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SCOPED_TRACE(seed);
    LaggingRecordsScenario scenario(seed, same_zone);
    if (::testing::Test::HasFailure()) return;
    scenario.move_one_task();
    if (::testing::Test::HasFailure()) return;
    const LogCapture captured;
    scenario.replace_leader();
    scenario.expect_all_jobs_finish();
    if (same_zone) {
      EXPECT_GT(captured.count_lines_with("event=zone_conflicts"), 0u) << "the records show two zones";
      EXPECT_GT(captured.count_lines_with("jobs=0 job= zones= adopted=0"), 0u) << "the conflict is over";
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Constraints, LaggingRecordsScenarioTest, ::testing::Values(true, false),
                         [](const auto& info) { return info.param ? "SameZone" : "Spread"; });

}  // namespace dockdyke::testing
