// Tests of the capacity that is held for expected gangs.
#include "core/gang_capacity_reserve.hpp"

#include "cluster_fixture.hpp"
#include "constants.hpp"

namespace dockdyke::testing {

using wire::CommandKind;

namespace {

wire::JobSpec gang_spec(const std::string& id, TaskIndex tasks = 2) {
  auto spec = job_spec(id, tasks, 4);
  spec.kind = wire::JobKind::gang;
  spec.spot_allowed = false;
  spec.job_class = "quick";
  return spec;
}

ClusterConfig config_with_start_objective() {
  auto config = cluster_config();
  config.objectives = {{ServiceLevelObjective::Kind::start, "quick", 5, 1}};
  return config;
}

}  // namespace

TEST(GangCapacityReserve, ExpectsSquareRootOfRecentArrivalsUntilTheyExpire) {
  GangCapacityReserve reserve;
  EXPECT_TRUE(reserve.expected_gangs(40, 0).empty());
  for (int i = 0; i < 9; ++i) reserve.record_arrival(gang_spec("job-1", i == 4 ? 6 : 2), 100 + i);
  const auto expected = reserve.expected_gangs(40, 110);
  ASSERT_EQ(expected.size(), 1u);
  EXPECT_EQ(expected[0].count, 3u);
  EXPECT_EQ(expected[0].largest_gang.task_count, 6u);
  EXPECT_EQ(reserve.expected_gangs(40, 200).at(0).count, 1u)
      << "all arrivals precede the boot time window but have not expired";
  EXPECT_TRUE(reserve.expected_gangs(40, 109 + constants::kGangArrivalWindowSeconds).empty());
}

class GangReserveTest : public ClusterTest {
 protected:
  GangReserveTest() : ClusterTest(config_with_start_objective()) {}
};

TEST_F(GangReserveTest, ScalesOutForNextGangAfterArrival) {
  complete_loading();
  auto worker_1 = connect_worker("n-1", "a", false);
  submit(gang_spec("job-1"));
  assign_and_write();
  ASSERT_EQ(count(receive_response(worker_1), CommandKind::start), 2u);
  advance_time(2);
  std::uint64_t requested_machines = 0;
  for (const auto& scale_out : emitted_effects<RequestScaleOut>())
    requested_machines += scale_out.request.count;
  EXPECT_EQ(requested_machines, 1u);
}

TEST_F(GangReserveTest, OtherJobsUseReserveOnlyAfterWaiting) {
  complete_loading();
  auto worker_1 = connect_worker("n-1", "a", false);
  auto worker_2 = connect_worker("n-2", "a", false);
  submit(gang_spec("job-1"));
  assign_and_write();
  for (auto* worker : {&worker_1, &worker_2}) worker->run_started_tasks(receive_response(*worker));
  advance_time(1);
  auto other_job = job_spec("job-2", 8, 4);
  submit(other_job);
  const auto count_other_job_starts = [&] {
    std::size_t starts = 0;
    for (auto* worker : {&worker_1, &worker_2})
      for (const auto& command : exchange_heartbeat(*worker))
        starts += command.kind == CommandKind::start && command.task.job == other_job.id;
    return starts;
  };
  const double started_at = now;
  std::size_t early_starts = 0;
  std::size_t late_starts = 0;
  while (now - started_at < constants::kGangReserveWaitSeconds + 15) {
    advance_time(1);
    (now - started_at < constants::kGangReserveWaitSeconds ? early_starts : late_starts) +=
        count_other_job_starts();
  }
  EXPECT_EQ(early_starts, 0u);
  EXPECT_GT(late_starts, 0u) << "other jobs must not starve despite the reserve";
}

}  // namespace dockdyke::testing
