// Whole controllers and gangs, in simulated time: the world checks PROTOCOL's rules throughout.
#include <gtest/gtest.h>

#include "world.hpp"

namespace dockdyke::testing {

namespace {

wire::JobSpec gang_spec(const std::string& id, TaskIndex tasks, double cpus = 4, double run_s = 20) {
  auto spec = job_spec(id, tasks, cpus);
  spec.shape = wire::Shape::gang;
  spec.estimate_s = run_s;
  return spec;
}

bool all_running(World& world, const std::string& id) {
  std::size_t running = 0;
  for (auto* worker : world.workers_up())
    for (const auto& task : worker->tasks)
      running += task.ref.job.value == id && task.state == wire::TaskState::running;
  return running == world.job(id).spec.tasks;
}

}  // namespace

TEST(GangStory, AQuietDayEndsWithOneStartOfEachGang) {
  World world({.seed = 1});
  for (int i = 0; i < 4; ++i) world.submit(gang_spec("job-" + std::to_string(i), 3));
  world.submit(job_spec("job-9", 5));
  world.expect_all_served(200);
  EXPECT_EQ(world.gang_starts(), 4u);
  world.expect_nothing_left(30);
}

TEST(GangStory, AGangThatLosesAMachineStartsAgainAsAWhole) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SCOPED_TRACE(seed);
    World world({.seed = seed});
    world.submit(gang_spec("job-1", 5, 4, 60));
    ASSERT_TRUE(world.run_until([&] { return all_running(world, "job-1"); }, 60));
    world.die(*world.workers_of("job-1").at(0));
    ASSERT_TRUE(world.run_until([&] { return !all_running(world, "job-1"); }, 30));
    ASSERT_TRUE(world.run_until([&] { return all_running(world, "job-1"); }, 120));
    world.expect_all_served(200);
    world.expect_nothing_left(30);
  }
}

TEST(GangStory, AHungMachineEndsTheGangAndTheNextAttemptWaitsForProof) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SCOPED_TRACE(seed);
    World world({.seed = seed});
    world.submit(gang_spec("job-1", 5, 4, 60));
    ASSERT_TRUE(world.run_until([&] { return all_running(world, "job-1"); }, 60));
    world.hang(*world.workers_of("job-1").at(0), world.config().lease_s + 5);
    world.expect_all_served(300);
    world.expect_nothing_left(30);
  }
}

TEST(GangStory, ACancelledGangIsGoneInTimeAlsoOnAHungMachine) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SCOPED_TRACE(seed);
    World world({.seed = seed});
    world.submit(gang_spec("job-1", 5, 4, 400));
    ASSERT_TRUE(world.run_until([&] { return all_running(world, "job-1"); }, 60));
    world.hang(*world.workers_of("job-1").at(0), 60);
    world.cancel("job-1");
    world.run(world.config().cancel_s + 30);
    EXPECT_TRUE(world.job("job-1").cancelled_at);
    EXPECT_EQ(world.tasks_on_machines("job-1"), 0u);
    world.expect_nothing_left(60);
  }
}

TEST(GangStory, ANewLeaderAdoptsARunningGang) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SCOPED_TRACE(seed);
    World world({.seed = seed});
    world.submit(gang_spec("job-1", 5, 4, 60));
    ASSERT_TRUE(world.run_until([&] { return all_running(world, "job-1"); }, 60));
    world.crash(*world.leader(), 3);
    world.expect_all_served(200);
    EXPECT_EQ(world.gang_starts(), 1u) << "no second attempt beside the first";
  }
}

TEST(GangStory, AllControllersEndWhileGangsAreBeingStarted) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    SCOPED_TRACE(seed);
    World world({.seed = seed});
    for (int i = 0; i < 5; ++i) world.submit(gang_spec("job-" + std::to_string(i), 4));
    world.run(world.random(5, 14));
    for (int i = 0; i < 3; ++i) world.crash(i, world.random(0.2, 4));
    world.run(world.random(5, 10));
    world.crash(world.leader().value_or(0), 0.3);
    world.expect_all_served(300);
    world.expect_nothing_left(30);
  }
}

TEST(GangStory, OneDeafMachineAmongTheGang) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SCOPED_TRACE(seed);
    World world({.seed = seed});
    for (int i = 0; i < 3; ++i) world.submit(job_spec("job-" + std::to_string(10 + i), 6));
    world.run(14);
    const auto workers = world.workers_up();
    ASSERT_FALSE(workers.empty());
    world.trouble(workers.at(0)->id, "dyke", Link::lose_answer, 25);
    for (int i = 0; i < 3; ++i) world.submit(gang_spec("job-" + std::to_string(i), 5));
    world.expect_all_served(300);
  }
}

TEST(GangStory, ABoundGangWhoseZoneIsCutStartsNowhereElseBeforeItIsGone) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SCOPED_TRACE(seed);
    World world({.seed = seed});
    auto spec = gang_spec("job-1", 5, 4, 60);
    spec.one_zone = true;
    world.submit(spec);
    ASSERT_TRUE(world.run_until([&] { return all_running(world, "job-1"); }, 60));
    for (auto* worker : world.workers_of("job-1")) world.trouble(worker->id, "dyke", Link::lose_request, 40);
    world.expect_all_served(300);
  }
}

TEST(GangStory, AGangSavesTogetherBeforeOneOfItsMachinesIsTaken) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SCOPED_TRACE(seed);
    World world({.seed = seed});
    auto spec = gang_spec("job-1", 5, 4, 100);
    spec.checkpoint_s = 30;
    spec.save_s = 1;
    world.submit(spec);
    ASSERT_TRUE(world.run_until([&] { return all_running(world, "job-1"); }, 60));
    ASSERT_GT(world.workers_of("job-1").size(), 1u);
    world.run(14);
    world.give_notice(*world.workers_of("job-1").at(0), 10);
    world.run(15);
    EXPECT_EQ(world.gang_saves(), 1u);
    EXPECT_GT(world.direct_orders(), 1u);
    world.expect_all_served(300);
    EXPECT_EQ(world.gang_starts(), 2u);
  }
}

TEST(GangStory, NoSaveIsBegunWhileAMachineOfTheGangIsSilent) {
  World world({.seed = 2});
  auto spec = gang_spec("job-1", 5, 4, 100);
  spec.checkpoint_s = 30;
  spec.save_s = 1;
  world.submit(spec);
  ASSERT_TRUE(world.run_until([&] { return all_running(world, "job-1"); }, 60));
  const auto workers = world.workers_of("job-1");
  ASSERT_GT(workers.size(), 1u);
  world.run(14);
  world.trouble(workers.at(1)->id, "dyke", Link::lose_request, 14);
  world.run(5);
  world.give_notice(*workers.at(0), 8);
  world.run(9);
  EXPECT_EQ(world.direct_orders(), 0u);
  world.expect_all_served(300);
}

TEST(GangStory, AGangIsNotKeptOutBySmallerWork) {
  World world({.seed = 4});
  world.capacity = 2;  // in each zone and of each kind
  for (int i = 0; i < 40; ++i) world.submit(job_spec("job-" + std::to_string(100 + i), 2, 4));
  world.run(25);
  world.submit(gang_spec("job-1", 6, 8));
  EXPECT_TRUE(world.run_until([&] { return all_running(world, "job-1"); }, 150));
  world.expect_all_served(600);
}

TEST(GangStory, TwoGangsForTheSameRoomDoNotHoldHalvesOfIt) {
  World world({.seed = 5});
  world.capacity = 1;
  for (int i = 0; i < 3; ++i) world.submit(gang_spec("job-" + std::to_string(i), 3, 8));
  world.expect_all_served(300);
  EXPECT_EQ(world.gang_starts(), 3u);
}

TEST(GangStory, AGangAtItsTeamsLimitWaitsForAllOfIt) {
  core::Config config = cluster_config();
  config.teams[1].limit.cpus = 16;
  World world({.seed = 6, .config = config});
  for (int i = 0; i < 6; ++i) {
    auto spec =
        i % 2 == 0 ? gang_spec("job-" + std::to_string(i), 4) : job_spec("job-" + std::to_string(i), 3);
    spec.estimate_s = 15;
    spec.team = "other";
    world.submit(spec);
  }
  world.expect_all_served(400);
}

}  // namespace dockdyke::testing
