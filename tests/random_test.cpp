// Random troubles upon random work, with fixed seeds: the world checks PROTOCOL's rules at every step, and at
// the end, with all troubles over, that every job is served.
#include <gtest/gtest.h>

#include "world.hpp"

namespace dockdyke::testing {

namespace {

core::Config random_config() {
  auto config = cluster_config();
  config.teams[1].limit.cpus = 16;
  config.value_bytes = 1024;  // the lower ones, put in force at some moment
  config.txn_ops = 3;
  return config;
}

class Storm {
 public:
  explicit Storm(World& world) : world_(world) {}

  void submit_something() {
    auto spec = job_spec("job-" + std::to_string(next_job_++), 1 + static_cast<TaskIndex>(world_.pick(5)));
    spec.estimate_s = world_.random(3, 40);
    if (world_.pick(3) == 0) {
      spec.shape = wire::Shape::gang;
      spec.each = {2, 0, 2};
    }
    spec.team = world_.pick(3) == 0 ? "other" : "team";
    spec.priority = world_.pick(2) == 0 ? wire::Priority::normal : wire::Priority::high;
    spec.spot_allowed = world_.pick(4) != 0;
    const auto bound = world_.pick(5);
    spec.one_zone = bound == 0;
    spec.spread = bound == 1;
    if (bound == 2) spec.zone = "b";
    spec.checkpoint_s = world_.pick(2) == 0 ? 0 : 5;
    spec.save_s = spec.checkpoint_s > 0 ? 1 : 0;
    const bool cancel = world_.pick(3) == 0;
    world_.submit(std::move(spec), cancel ? std::optional<double>(world_.random(0.5, 40)) : std::nullopt);
  }

  void make_trouble() {
    const auto workers = world_.workers_up();
    const int some = static_cast<int>(world_.pick(3));
    const int leader = world_.leader().value_or(some);
    const auto lease_s = world_.config().lease_s;
    switch (world_.pick(13)) {
      case 0:
        world_.crash(leader, world_.random(0.1, 6));
        break;
      case 1:
        for (int i = 0; i < 3; ++i) world_.crash(i, world_.random(0.1, 1.5 * lease_s));
        break;
      case 2:
        world_.outage(world_.random(1, 1.2 * world_.config().cancel_s));
        break;
      case 3:
        world_.trouble(World::host(leader), "store", Link::refuse, world_.random(2, 20));
        break;
      case 4: {
        const double for_s = world_.random(5, 30);
        world_.trouble(World::host(leader), "store", Link::hold, for_s);
        world_.trouble(World::host(leader), "dyke", Link::hold, for_s);
        break;
      }
      case 5:
        world_.trouble("n-", World::host(leader), Link::lose_request, world_.random(2, 15));
        break;
      case 6:
        world_.trouble("n-", "dyke", Link::late_copy, world_.random(5, 40), 0.3);
        break;
      case 7:
        world_.trouble("dyke", "store", Link::late_write, world_.random(5, 30), 0.3);
        break;
      case 8:
        world_.trouble("", "", Link::slow, world_.random(5, 20));
        break;
      default:
        for (auto* worker : workers) {
          if (world_.pick(3) != 0) continue;
          const auto kind = world_.pick(5);
          if (kind == 0) world_.hang(*worker, world_.random(1, 1.5 * world_.config().cancel_s));
          if (kind == 1) world_.die(*worker);
          if (kind == 2) world_.trouble(worker->id, "dyke", Link::lose_answer, world_.random(3, 2 * lease_s));
          if (kind == 3)
            world_.trouble(worker->id, "dyke", Link::lose_request, world_.random(3, 2 * lease_s));
          if (kind == 4) world_.trouble(worker->id, "dyke", Link::hold, world_.random(2, 12));
        }
    }
  }

 private:
  World& world_;
  int next_job_ = 1;
};

// A variable plays as many more as wanted.
std::uint64_t seeds() {
  constexpr std::uint64_t kUsual = 12;
  const char* wanted = std::getenv("DOCKDYKE_TEST_SEEDS");
  return wanted ? std::stoull(wanted) : kUsual;
}

}  // namespace

class RandomTest : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(RandomTest, TroublesBreakNoRuleAndAllIsServedInTheEnd) {
  SCOPED_TRACE("seed " + std::to_string(GetParam()));
  World world({.seed = GetParam(),
               .config = random_config(),
               .writes_per_second = 60,
               .writes_per_second_later = 40});
  if (GetParam() % 2 == 0) world.lost_target = peer::kCancelledPath;  // nothing may rest on that word
  Storm storm(world);
  for (int step = 0; step < 40 && !HasFailure(); ++step) {
    if (step < 25) storm.submit_something();
    if (step >= 4 && step % 2 == 0) storm.make_trouble();
    if (step == 18) world.lower_limits();
    world.run(world.random(1, 6));
  }
  if (HasFailure()) return;
  world.run(2.5 * world.config().cancel_s);  // the last troubles end
  world.expect_answered_lately();
  world.expect_all_served(300);  // a team at its limit has work for so long
  world.expect_nothing_left(60);
  EXPECT_EQ(world.store.too_large, 0u) << "written by the lower limits from the beginning";
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomTest, ::testing::Range<std::uint64_t>(1, seeds() + 1));

}  // namespace dockdyke::testing
