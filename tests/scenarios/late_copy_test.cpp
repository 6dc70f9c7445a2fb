// Scenarios in which requests that were carried out arrive once more. None of them may start a task again,
// also when the task has been moved, completed or cancelled in between.
#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

#include "constants.hpp"
#include "peer/peer_messages.hpp"
#include "simulation.hpp"
#include "store/election.hpp"

namespace dockdyke::testing {

namespace {

// What happens to the leader between a request and its copy.
enum class LeaderChange { none, restarted_at_once, replaced };

std::string leader_change_name(const ::testing::TestParamInfo<LeaderChange>& info) {
  switch (info.param) {
    case LeaderChange::none:
      return "SameLeader";
    case LeaderChange::restarted_at_once:
      return "LeaderRestartedAtOnce";
    case LeaderChange::replaced:
      return "LeaderReplaced";
  }
  return "";
}

void change_leader(Simulation& simulation, LeaderChange change) {
  constexpr double kAtOnceSeconds = 0.2;
  const double longer_than_lease_s = 2 * constants::kLeaderLeaseTtlMs / 1000.0;
  if (change == LeaderChange::none) return;
  simulation.crash_controller(*simulation.leader(),
                              change == LeaderChange::replaced ? longer_than_lease_s : kAtOnceSeconds);
  simulation.run(longer_than_lease_s + 1);
}

wire::JobSpec checkpointing_gang_spec(const std::string& id) {
  auto spec = long_job_spec(id, 4);
  spec.kind = wire::JobKind::gang;
  spec.checkpoint_interval_s = 100;
  spec.checkpoint_duration_s = 1;
  return spec;
}

std::size_t count_recorded(const Simulation& simulation,
                           const std::function<bool(const DeliveredRequest&)>& matches) {
  const auto& requests = simulation.recorded_requests();
  return static_cast<std::size_t>(std::count_if(requests.begin(), requests.end(), matches));
}

}  // namespace

class LateCopyTest : public ::testing::TestWithParam<LeaderChange> {
 protected:
  static constexpr const char* kCompleted = "job-0";
  static constexpr const char* kMoved = "job-1";
  static constexpr const char* kCancelled = "job-2";
  static constexpr const char* kRunning = "job-3";
  static constexpr const char* kMovedGang = "job-4";

  // Runs jobs of which one completes, one and a gang are moved to other machines and one is cancelled.
  static void run_jobs(Simulation& simulation) {
    simulation.submit(job_spec(kCompleted, 2));
    for (const char* id : {kMoved, kCancelled, kRunning}) simulation.submit(long_job_spec(id, 2));
    simulation.submit(checkpointing_gang_spec(kMovedGang));
    for (const char* id : {kMoved, kCancelled, kRunning, kMovedGang})
      ASSERT_TRUE(simulation.run_until([&] { return simulation.all_tasks_active(id); }, 120)) << id;
    simulation.run(10);
    for (const char* id : {kMoved, kMovedGang})
      simulation.send_termination_notice(*simulation.workers_with_active_tasks(id).at(0), 10);
    ASSERT_TRUE(simulation.run_until([&] { return !simulation.all_tasks_active(kMovedGang); }, 20));
    simulation.cancel(kCancelled);
    ASSERT_TRUE(simulation.run_until(
        [&] {
          return simulation.job(kCompleted).completion_confirmed_at &&
                 simulation.job(kCancelled).cancellation_confirmed_at &&
                 simulation.active_task_count(kCancelled) == 0 && simulation.all_tasks_active(kMoved) &&
                 simulation.all_tasks_active(kMovedGang);
        },
        200))
        << simulation.describe_unfinished_jobs();
  }

  static std::map<std::string, std::size_t> starts_by_job(const Simulation& simulation) {
    std::map<std::string, std::size_t> starts;
    for (const auto& [id, job] : simulation.all_jobs()) starts[id] = job.task_starts;
    return starts;
  }
};

// Guards against a second start by a copy of any request between users, controllers, workers and state
// service.
TEST_P(LateCopyTest, StartsNoTaskAgain) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    SCOPED_TRACE(seed);
    Simulation simulation({.seed = seed});
    simulation.record_requests();
    run_jobs(simulation);
    if (HasFatalFailure()) return;
    change_leader(simulation, GetParam());
    ASSERT_TRUE(simulation.run_until([&] { return simulation.all_tasks_active(kRunning); }, 30));
    EXPECT_GT(count_recorded(simulation, [](const auto& each) { return each.target == "/work"; }), 0u);
    EXPECT_GT(count_recorded(simulation, [](const auto& each) { return each.target == peer::kForwardPath; }),
              0u);
    EXPECT_GT(count_recorded(simulation, [](const auto& each) { return each.target == "/txn"; }), 0u);
    EXPECT_GT(count_recorded(simulation, [](const auto& each) { return each.target == "/v1/report"; }), 0u);
    EXPECT_GT(count_recorded(simulation, [](const auto& each) { return each.to.starts_with("n-"); }), 0u)
        << "the gang's checkpoint is requested by direct commands";
    const auto starts = starts_by_job(simulation);
    simulation.deliver_copies(3 * simulation.config().worker_lease_s);
    simulation.run(5 * simulation.config().worker_lease_s);
    if (HasFailure()) return;
    EXPECT_EQ(starts_by_job(simulation), starts);
    for (const char* id : {kMoved, kRunning, kMovedGang})
      EXPECT_TRUE(simulation.all_tasks_active(id)) << id << " must keep running";
    // A leader that reads copies of old records must not believe them either.
    change_leader(simulation, LeaderChange::restarted_at_once);
    simulation.run(3 * simulation.config().worker_lease_s);
    EXPECT_EQ(starts_by_job(simulation), starts);
  }
}

INSTANTIATE_TEST_SUITE_P(LeaderChanges, LateCopyTest,
                         ::testing::Values(LeaderChange::none, LeaderChange::restarted_at_once,
                                           LeaderChange::replaced),
                         leader_change_name);

// Guards against a job that runs after its confirmed cancellation, since a new leader had read its record
// before the cancellation, for a repeated submission, and gets the response after the stored records are
// loaded.
TEST(LateSubmissionRead, DoesNotStartJobCancelledUnderPreviousLeader) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SCOPED_TRACE(seed);
    Simulation simulation({.seed = seed, .controllers = 2});
    // Without machines the job waits, so that its records are deleted as soon as it is cancelled.
    const auto offered = std::exchange(simulation.max_machines_per_offering, 0);
    simulation.submit(job_spec("job-1", 1));
    ASSERT_TRUE(simulation.run_until(
        [&] { return simulation.leader() && simulation.job("job-1").accepted_at.has_value(); }, 30));
    const int leader = *simulation.leader();
    const int follower = 1 - leader;
    simulation.slow_target = SlowTarget{"/store/open/job-1", 1.3};
    simulation.resubmit("job-1", follower);
    simulation.run(constants::kForwardTimeoutSeconds + 0.1);  // the follower now reads the record itself
    simulation.slow_target.reset();
    simulation.cancel("job-1", leader);
    ASSERT_TRUE(simulation.run_until(
        [&] {
          return simulation.job("job-1").cancellation_confirmed_at &&
                 !simulation.state_service.keys.contains("linger/job-1");
        },
        0.5));
    simulation.crash_controller(leader, 20);
    simulation.state_service.expire_lease_of(store::kLeaderKey);
    simulation.run(3);
    ASSERT_EQ(simulation.leader(), follower);
    simulation.max_machines_per_offering = offered;
    simulation.run(30);
    EXPECT_EQ(simulation.job("job-1").task_starts, 0u);
    EXPECT_TRUE(simulation.running_workers().empty()) << "no machine is rented for it";
    if (HasFailure()) return;
  }
}

}  // namespace dockdyke::testing
