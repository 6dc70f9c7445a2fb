// The choice of machines for all tasks of a gang.
#include "core/gang_bin_packing.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace dockdyke::testing {

using namespace dockdyke::core;

class GangBinPackingTest : public ::testing::Test {
 protected:
  static constexpr std::size_t kAnyZone = std::numeric_limits<std::size_t>::max();

  static Machine machine(const std::string& id, const std::string& zone = "a") {
    Machine out;
    out.id = MachineId(id);
    out.zone = zone;
    return out;
  }

  Machine one = machine("n-1");
  Machine two = machine("n-2");
  Machine three = machine("n-3", "b");
};

TEST_F(GangBinPackingTest, NoneIsChosenWhereNotAllTasksFit) {
  const auto choice = choose_machines({{&one, 0, 0, 2}, {&two, 0, 0, 1}}, 4, kAnyZone);
  EXPECT_TRUE(choice.shares.empty());
}

TEST_F(GangBinPackingTest, MachinesThatHaveTheImageComeBeforeThoseThatHoldMore) {
  const auto choice = choose_machines({{&one, 5, 0, 4}, {&two, 0, 9, 2}, {&three, 0, 0, 2}}, 4, kAnyZone);
  ASSERT_EQ(choice.shares.size(), 2u);
  EXPECT_EQ(choice.shares[0].machine, &three) << "the cheaper of two that are alike";
  EXPECT_EQ(choice.shares[1].machine, &two);
  EXPECT_EQ(choice.rank.slowest_fetch_s, 0);
}

TEST_F(GangBinPackingTest, FewMachinesArePreferredWhenTheyStartAtTheSameTime) {
  const auto choice = choose_machines({{&one, 0, 0, 1}, {&two, 0, 5, 3}, {&three, 0, 0, 1}}, 3, kAnyZone);
  ASSERT_EQ(choice.shares.size(), 1u);
  EXPECT_EQ(choice.shares[0].machine, &two);
  EXPECT_EQ(choice.shares[0].tasks, 3u);
}

TEST_F(GangBinPackingTest, NoZoneGetsMoreThanItsShare) {
  const auto choice = choose_machines({{&one, 0, 0, 4}, {&two, 0, 0, 4}, {&three, 0, 0, 4}}, 4, 2);
  ASSERT_EQ(choice.shares.size(), 2u);
  for (const auto& share : choice.shares) EXPECT_EQ(share.tasks, 2u);
  EXPECT_NE(choice.shares[0].machine->zone, choice.shares[1].machine->zone);
  EXPECT_TRUE(choose_machines({{&one, 0, 0, 4}, {&two, 0, 0, 4}}, 4, 2).shares.empty());
}

}  // namespace dockdyke::testing
