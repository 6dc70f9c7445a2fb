// Tests of the selection of machines for all tasks of a gang.
#include "core/gang_bin_packing.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace dockdyke::testing {

using namespace dockdyke::core;

class GangBinPackingTest : public ::testing::Test {
 protected:
  static constexpr std::size_t kNoZoneLimit = std::numeric_limits<std::size_t>::max();

  static Machine make_machine(const std::string& id, const std::string& zone = "a") {
    Machine machine;
    machine.id = MachineId(id);
    machine.zone = zone;
    return machine;
  }

  Machine machine_1 = make_machine("n-1");
  Machine machine_2 = make_machine("n-2");
  Machine machine_3 = make_machine("n-3", "b");
};

TEST_F(GangBinPackingTest, ReturnsNoMachinesWhenGangDoesNotFit) {
  const auto placement = choose_machines({{&machine_1, 0, 0, 2}, {&machine_2, 0, 0, 1}}, 4, kNoZoneLimit);
  EXPECT_TRUE(placement.machine_tasks.empty());
}

TEST_F(GangBinPackingTest, PrefersEarlierStartOverLargerCapacity) {
  const auto placement =
      choose_machines({{&machine_1, 5, 0, 4}, {&machine_2, 0, 9, 2}, {&machine_3, 0, 0, 2}}, 4, kNoZoneLimit);
  ASSERT_EQ(placement.machine_tasks.size(), 2u);
  EXPECT_EQ(placement.machine_tasks[0].machine, &machine_3)
      << "the cheaper of two otherwise equal machines comes first";
  EXPECT_EQ(placement.machine_tasks[1].machine, &machine_2);
  EXPECT_EQ(placement.rank.start_delay_s, 0);
}

TEST_F(GangBinPackingTest, PrefersFewerMachinesWhenStartDelaysAreEqual) {
  const auto placement =
      choose_machines({{&machine_1, 0, 0, 1}, {&machine_2, 0, 5, 3}, {&machine_3, 0, 0, 1}}, 3, kNoZoneLimit);
  ASSERT_EQ(placement.machine_tasks.size(), 1u);
  EXPECT_EQ(placement.machine_tasks[0].machine, &machine_2);
  EXPECT_EQ(placement.machine_tasks[0].tasks, 3u);
}

TEST_F(GangBinPackingTest, LimitsTasksPerZone) {
  const auto placement =
      choose_machines({{&machine_1, 0, 0, 4}, {&machine_2, 0, 0, 4}, {&machine_3, 0, 0, 4}}, 4, 2);
  ASSERT_EQ(placement.machine_tasks.size(), 2u);
  for (const auto& placed : placement.machine_tasks) EXPECT_EQ(placed.tasks, 2u);
  EXPECT_NE(placement.machine_tasks[0].machine->zone, placement.machine_tasks[1].machine->zone);
  EXPECT_TRUE(choose_machines({{&machine_1, 0, 0, 4}, {&machine_2, 0, 0, 4}}, 4, 2).machine_tasks.empty());
}

}  // namespace dockdyke::testing
