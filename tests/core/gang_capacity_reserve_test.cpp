// Room that is held for gangs to come.
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

ClusterConfig quick_class() {
  auto config = cluster_config();
  config.objectives = {{ServiceLevelObjective::Kind::start, "quick", 5, 1}};
  return config;
}

}  // namespace

TEST(GangCapacityReserve, GrowsWithTheRootOfWhatCameAndEndsWhenNothingComes) {
  GangCapacityReserve reserve;
  EXPECT_TRUE(reserve.expected(40, 0).empty());
  for (int i = 0; i < 9; ++i) reserve.note_arrival(gang_spec("job-1", i == 4 ? 6 : 2), 100 + i);
  const auto expected = reserve.expected(40, 110);
  ASSERT_EQ(expected.size(), 1u);
  EXPECT_EQ(expected[0].gangs, 3u);
  EXPECT_EQ(expected[0].largest.task_count, 6u);
  EXPECT_EQ(reserve.expected(40, 200).at(0).gangs, 1u) << "none within the window, some within memory";
  EXPECT_TRUE(reserve.expected(40, 109 + constants::kGangArrivalMemory).empty());
}

class GangReserveTest : public ClusterTest {
 protected:
  GangReserveTest() : ClusterTest(quick_class()) {}
};

TEST_F(GangReserveTest, RoomIsRentedForTheNextGangOnceOneHasCome) {
  complete_loading();
  auto one = connect_worker("n-1", "a", false);
  submit(gang_spec("job-1"));
  assign_and_write();
  ASSERT_EQ(count(receive_response(one), CommandKind::start), 2u);
  advance_time(2);
  std::uint64_t rented = 0;
  for (const auto& rent : emitted_effects<RequestScaleOut>()) rented += rent.request.count;
  EXPECT_EQ(rented, 1u);
}

TEST_F(GangReserveTest, OtherWorkStaysOffItForAWhileAndNotForLonger) {
  complete_loading();
  auto one = connect_worker("n-1", "a", false);
  auto two = connect_worker("n-2", "a", false);
  submit(gang_spec("job-1"));
  assign_and_write();
  for (auto* worker : {&one, &two})
    for (const auto& command : receive_response(*worker))
      worker->report_task(command.task.job.value, command.task.index, command.attempt,
                          wire::TaskState::running);
  advance_time(1);
  auto other = job_spec("job-2", 8, 4);
  submit(other);
  const auto starts_of_other = [&] {
    std::size_t starts = 0;
    for (auto* worker : {&one, &two})
      for (const auto& command : exchange_heartbeat(*worker))
        starts += command.kind == CommandKind::start && command.task.job == other.id;
    return starts;
  };
  const double began = now;
  std::size_t early = 0;
  std::size_t late = 0;
  while (now - began < constants::kGangReserveWait + 15) {
    advance_time(1);
    (now - began < constants::kGangReserveWait ? early : late) += starts_of_other();
  }
  EXPECT_EQ(early, 0u);
  EXPECT_GT(late, 0u) << "nobody waits for ever beside held room";
}

}  // namespace dockdyke::testing
