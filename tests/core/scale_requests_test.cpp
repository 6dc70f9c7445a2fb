// Scale-out and scale-in requests.
#include <gtest/gtest.h>

#include "cluster_fixture.hpp"
#include "constants.hpp"
#include "core/scale_in_requests.hpp"
#include "core/scale_out_requests.hpp"

namespace dockdyke::testing {

namespace {

template <class Kind>
std::vector<Kind> take_effects(EffectQueue& effects) {
  std::vector<Kind> out;
  for (auto& effect : effects.take())
    if (auto* each = std::get_if<Kind>(&effect)) out.push_back(std::move(*each));
  return out;
}

}  // namespace

class ScaleOutRequestsTest : public ::testing::Test {
 protected:
  ScaleOutId request(std::size_t count) {
    scale_out.request(offering, count, now);
    return take_effects<RequestScaleOut>(effects).at(0).request.id;
  }

  Time now = 5;
  const InstanceOffering offering{"small", "a", true};
  EffectQueue effects;
  ScaleOutRequests scale_out{FencingToken(7), effects};
};

TEST_F(ScaleOutRequestsTest, RequestIdsContainTokenAndAreNeverReused) {
  EXPECT_EQ(request(1), ScaleOutId("r-7-1"));
  EXPECT_EQ(request(1), ScaleOutId("r-7-2"));
  scale_out.on_refused(ScaleOutId("r-7-2"), now);
  EXPECT_EQ(request(1), ScaleOutId("r-7-3"));
}

TEST_F(ScaleOutRequestsTest, RefusalsDoubleOfferingBackoffUpToMaximum) {
  double expected_s = constants::kInitialOfferingBackoffSeconds;
  for (int i = 0; i < 6; ++i) {
    scale_out.on_refused(request(1), now);
    EXPECT_TRUE(scale_out.in_backoff(offering, now + expected_s - 0.1)) << "refusal " << i;
    EXPECT_FALSE(scale_out.in_backoff(offering, now + expected_s)) << "refusal " << i;
    expected_s = std::min(constants::kMaxOfferingBackoffSeconds, 2 * expected_s);
  }
  EXPECT_EQ(scale_out.pending_machines(), 0u);
}

TEST_F(ScaleOutRequestsTest, PartialGrantBacksOffOfferingAndFullGrantDoesNot) {
  ASSERT_TRUE(scale_out.on_granted(request(4), 3, now));
  EXPECT_TRUE(scale_out.in_backoff(offering, now));
  ASSERT_TRUE(scale_out.on_granted(request(4), 4, now));
  EXPECT_FALSE(scale_out.in_backoff(offering, now));
  EXPECT_FALSE(scale_out.on_granted(ScaleOutId("r-7-1"), 4, now)) << "request already completed";
}

TEST_F(ScaleOutRequestsTest, AdoptedRequestIsRepeatedUnderItsId) {
  const wire::ScaleOutRequest adopted{ScaleOutId("r-3-9"), "small", "b", false, 6};
  scale_out.adopt(adopted, now);
  const auto repeated = take_effects<RequestScaleOut>(effects);
  ASSERT_EQ(repeated.size(), 1u);
  EXPECT_EQ(repeated[0].request.id, adopted.id);
  EXPECT_TRUE(repeated[0].persisted);
  EXPECT_EQ(scale_out.pending_machines(), 6u);
}

TEST(ScaleInRequestsTest, RequestIsSplitByMaximumValueSize) {
  auto config = cluster_config();
  config.max_value_bytes = 64;
  ClusterState state(config, FencingToken(7));
  EffectQueue effects;
  ScaleInRequests scale_in(state, effects);
  std::vector<MachineId> machines;
  for (int i = 0; i < 7; ++i) machines.emplace_back("n-00000" + std::to_string(i));
  for (const auto& id : machines) state.find_or_add_machine(id, 0);
  scale_in.request(machines);
  std::vector<MachineId> requested;
  std::set<std::string> keys;
  for (const auto& each : take_effects<RequestScaleIn>(effects)) {
    EXPECT_LE(wire::machine_ids_to_json(each.machines).dump().size(), config.max_value_bytes);
    requested.insert(requested.end(), each.machines.begin(), each.machines.end());
    keys.insert(each.key);
    EXPECT_FALSE(each.persisted);
  }
  EXPECT_EQ(requested, machines);
  EXPECT_GT(keys.size(), 1u) << "each request has its own key";
  for (const auto& id : machines) EXPECT_TRUE(state.find_machine(id)->scale_in_requested);
}

}  // namespace dockdyke::testing
