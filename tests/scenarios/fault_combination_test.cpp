// Scenarios in which two faults meet, played in simulated time against whole controllers. The simulation
// checks every rule of PROTOCOL throughout; a scenario only has to bring its combination of faults about.
#include <gtest/gtest.h>

#include "simulation.hpp"

namespace dockdyke::testing {

namespace {

bool all_running(Simulation& simulation, const std::string& id) {
  return simulation.active_task_count(id) == simulation.job(id).spec.task_count;
}

}  // namespace

TEST(SimulationItself, AQuietDayEnds) {
  Simulation simulation({.seed = 1});
  for (int i = 0; i < 6; ++i) simulation.submit(job_spec("job-" + std::to_string(i), 3));
  simulation.expect_all_jobs_finish(150);
  EXPECT_EQ(simulation.task_starts(), 18u);
}

// ---- The first combination of faults
// ------------------------------------------------------------------------------------

// The store refuses the leader alone; another controller confirms cancellations; then the store is out for
// all, for longer than a cancellation has, while workers report to the old leader.
struct Gap {
  const char* name;
  double cancel_after_s;  // counted from when the store begins to refuse the leader
  double outage_after_s;
  bool hang = false;  // one of the machines hangs from the cancellation on
};

void PrintTo(const Gap& gap, std::ostream* out) {
  *out << gap.name;
}

class GapTest : public ::testing::TestWithParam<Gap> {};

TEST_P(GapTest, CancelledTasksGoWithinTheirTime) {
  const Gap gap = GetParam();
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SCOPED_TRACE(seed);
    Simulation simulation({.seed = seed});
    simulation.dropped_target = peer::kCancelledPath;  // nothing may rest on that word
    for (int i = 0; i < 4; ++i) simulation.submit(long_job_spec("job-" + std::to_string(i), 2));
    ASSERT_TRUE(simulation.run_until(
        [&] { return all_running(simulation, "job-0") && all_running(simulation, "job-3"); }, 60));
    const int leader = *simulation.leader();
    const int other = (leader + 1) % 3;
    simulation.inject_fault(Simulation::host(leader), "store", LinkFaultKind::refuse, 8);
    simulation.run(gap.cancel_after_s);
    for (int i = 0; i < 3; ++i) simulation.cancel("job-" + std::to_string(i), other);
    if (gap.hang) simulation.hang_worker(*simulation.workers_with_active_tasks("job-0").at(0), 12);
    simulation.run(gap.outage_after_s - gap.cancel_after_s);
    simulation.start_state_service_outage(simulation.config().cancellation_timeout_s + 15);
    simulation.run(simulation.config().cancellation_timeout_s + 25);
    if (HasFailure()) return;
    EXPECT_TRUE(simulation.job("job-0").cancellation_confirmed_at)
        << "the story needs a confirmation before the outage";
    EXPECT_EQ(simulation.active_task_count("job-0"), 0u);
    EXPECT_TRUE(simulation.run_until([&] { return all_running(simulation, "job-3"); }, 60))
        << "the work goes on";
  }
}

INSTANTIATE_TEST_SUITE_P(Moments, GapTest,
                         ::testing::Values(Gap{"AtOnce", 0.1, 2.0}, Gap{"InTheMiddle", 1.0, 2.0},
                                           Gap{"LastMoment", 1.9, 2.0},
                                           Gap{"LastMomentAndAHungMachine", 1.9, 2.0, true},
                                           Gap{"JustBeforeTheLeadIsLost", 2.5, 3.2}),
                         [](const auto& each) { return each.param.name; });

TEST(LeaderRefusedAlone, IsToldOfCancellationsByWhoeverConfirmsThem) {
  Simulation simulation({.seed = 1});
  simulation.submit(long_job_spec("job-1", 3));
  ASSERT_TRUE(simulation.run_until([&] { return all_running(simulation, "job-1"); }, 60));
  const int leader = *simulation.leader();
  simulation.inject_fault(Simulation::host(leader), "store", LinkFaultKind::refuse, 30);
  simulation.run(0.5);
  simulation.cancel("job-1", (leader + 1) % 3);
  ASSERT_TRUE(
      simulation.run_until([&] { return simulation.job("job-1").cancellation_confirmed_at.has_value(); }, 2));
  // Its own view is refused, and another can't lead before its lease is over.
  EXPECT_TRUE(simulation.run_until([&] { return simulation.active_task_count("job-1") == 0; }, 2.6));
}

// ---- The other combinations of faults
// -----------------------------------------------------------------------------------

// The usual work of these scenarios: short and long jobs, some bound to one zone or spread over several, and
// a team that is at its limit.
core::ClusterConfig limited_config() {
  auto config = cluster_config();
  config.teams[1].quota.cpus = 16;
  return config;
}

void submit_usual_work(Simulation& simulation) {
  for (int i = 0; i < 4; ++i) {
    auto spec = job_spec("job-" + std::to_string(10 + i), 2 + static_cast<TaskIndex>(i));
    spec.estimated_run_s = 8 + 9 * i;
    simulation.submit(std::move(spec));
  }
  auto bound = job_spec("job-20", 4);
  bound.same_zone = true;
  simulation.submit(std::move(bound));
  auto spread = job_spec("job-21", 5);
  spread.spread = true;
  simulation.submit(std::move(spread));
  for (int i = 0; i < 3; ++i) {
    auto spec = job_spec("job-" + std::to_string(30 + i), 3);
    spec.team = "other";
    spec.spot_allowed = i != 1;
    simulation.submit(std::move(spec));
  }
  // Only a cancellation ends these.
  for (int i = 0; i < 3; ++i) simulation.submit(long_job_spec("job-" + std::to_string(40 + i), 2));
}

// Until the long jobs run everywhere.
void get_under_way(Simulation& simulation) {
  submit_usual_work(simulation);
  const bool running = simulation.run_until(
      [&] {
        return all_running(simulation, "job-40") && all_running(simulation, "job-41") &&
               all_running(simulation, "job-42");
      },
      90);
  ASSERT_TRUE(running);
}

void cancel_long_jobs(Simulation& simulation, std::optional<int> controller = {}) {
  for (int i = 0; i < 3; ++i) simulation.cancel("job-" + std::to_string(40 + i), controller);
}

int leader_of(Simulation& simulation) {
  simulation.run_until([&] { return simulation.leader().has_value(); }, 30);
  return simulation.leader().value_or(0);
}

struct FaultCombination {
  const char* name;
  void (*play)(Simulation& simulation);
};

void PrintTo(const FaultCombination& combination, std::ostream* out) {
  *out << combination.name;
}

class FaultCombinationTest : public ::testing::TestWithParam<FaultCombination> {};

TEST_P(FaultCombinationTest, KeepsTheRulesAndServesAllInTheEnd) {
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    SCOPED_TRACE(seed);
    Simulation simulation({.seed = seed, .config = limited_config()});
    get_under_way(simulation);
    if (HasFailure()) return;
    GetParam().play(simulation);
    if (HasFailure()) return;
    cancel_long_jobs(simulation);
    simulation.expect_all_jobs_finish(200);
    simulation.expect_no_leftover_records(60);
    if (HasFailure()) return;
  }
}

const FaultCombination kFaultCombinations[] = {
    {"ReportHeldBackUntilANewLeaderHasActed",
     [](Simulation& simulation) {
       const int old_leader = leader_of(simulation);
       for (int other = 0; other < 3; ++other)
         if (other != old_leader)
           simulation.inject_fault("n-", Simulation::host(other), LinkFaultKind::delay_until_end, 9, 0.5);
       simulation.crash_controller(old_leader, 5);
       simulation.run(4);
       cancel_long_jobs(simulation);
       simulation.run(30);
     }},
    {"WorkersReachNoController",
     [](Simulation& simulation) {
       auto workers = simulation.running_workers();
       for (std::size_t i = 0; i < workers.size(); i += 2)
         simulation.inject_fault(workers[i]->id, "dyke", LinkFaultKind::drop_request, 30);
       simulation.run(3);
       cancel_long_jobs(simulation);
       simulation.run(40);
     }},
    {"MoreWorkThanRoomOverSlowLinks",
     [](Simulation& simulation) {
       simulation.max_machines_per_offering = 2;
       simulation.inject_fault("", "", LinkFaultKind::delay_randomly, 60);
       for (int i = 0; i < 6; ++i) {
         auto spec = job_spec("job-" + std::to_string(60 + i), 6);
         spec.priority = i % 2 == 0 ? wire::Priority::high : wire::Priority::low;
         spec.estimated_run_s = 10;
         simulation.submit(std::move(spec));
       }
       simulation.run(20);
       cancel_long_jobs(simulation);
       simulation.run(40);
     }},
    {"ZoneBoundJobsLoseMachines",
     [](Simulation& simulation) {
       for (int i = 0; i < 3; ++i) {
         auto spec = job_spec("job-" + std::to_string(60 + i), 4);
         spec.same_zone = i != 2;
         if (i == 2) spec.zone = "b";
         spec.estimated_run_s = 20;
         simulation.submit(std::move(spec));
       }
       simulation.run(12);
       auto workers = simulation.running_workers();
       for (std::size_t i = 0; i < workers.size(); i += 2) simulation.crash_worker(*workers[i]);
       simulation.crash_controller(leader_of(simulation), 0.3);
       simulation.run(30);
     }},
    {"QuestionsMeetTheEndOfAJob",
     [](Simulation& simulation) {
       // Called off, asked about and submitted again through all controllers, all around the moment of its
       // end.
       for (int round = 0; round < 12; ++round) {
         const std::string id = "job-" + std::to_string(100 + round);
         auto spec = job_spec(id, 2);
         spec.estimated_run_s = 4;
         simulation.submit(std::move(spec));
         simulation.run_until([&] { return simulation.job(id).completed_tasks.size() == 2; }, 60);
         simulation.run(simulation.random(0, 0.4));
         if (round % 2 == 0) simulation.cancel(id, round % 3);
         simulation.resubmit(id);
         simulation.run(0.05);
         simulation.resubmit(id);
       }
     }},
    {"QuestionsMeetTheEndOfAJobWhoseRecordGetsNoAnswer",
     [](Simulation& simulation) {
       simulation.inject_fault("dyke", "store", LinkFaultKind::apply_transaction_late, 60, 0.4);
       for (int round = 0; round < 8; ++round) {
         const std::string id = "job-" + std::to_string(100 + round);
         auto spec = job_spec(id, 2);
         spec.estimated_run_s = 4;
         simulation.submit(std::move(spec));
         simulation.run_until([&] { return simulation.job(id).completed_tasks.size() == 2; }, 60);
         if (round % 2 == 0) simulation.cancel(id, round % 3);
         simulation.resubmit(id);
         simulation.run(0.3);
         simulation.resubmit(id);
       }
     }},
    {"TeamAtItsLimitChangesLeaderWithMachinesOutOfReach",
     [](Simulation& simulation) {
       for (int i = 0; i < 3; ++i) {
         auto spec = long_job_spec("job-" + std::to_string(70 + i), 2);
         spec.team = "other";
         simulation.submit(std::move(spec));
       }
       simulation.run_until(
           [&] { return all_running(simulation, "job-70") && all_running(simulation, "job-71"); }, 120);
       for (auto* worker : simulation.workers_with_active_tasks("job-70"))
         simulation.inject_fault(worker->id, "dyke", LinkFaultKind::drop_request, 25);
       for (auto* worker : simulation.workers_with_active_tasks("job-71"))
         simulation.inject_fault(worker->id, "dyke", LinkFaultKind::drop_response, 25);
       simulation.crash_controller(leader_of(simulation), 2);
       simulation.run(1);
       for (int i = 0; i < 3; ++i) simulation.cancel("job-" + std::to_string(70 + i));
       simulation.run(40);
     }},
    {"ZoneWithAControllerIsCutOffForLongerThanALease",
     [](Simulation& simulation) {
       const int leader = leader_of(simulation);
       const std::string inside = Simulation::host(leader);
       for (const char* outside : {"store", "cloud", "dyke"})
         simulation.inject_fault(inside, outside, LinkFaultKind::delay_until_end, 25);
       for (int i = 0; i < 3; ++i)
         if (i != leader)
           simulation.inject_fault(Simulation::host(i), inside, LinkFaultKind::delay_until_end, 25);
       simulation.inject_fault("user", inside, LinkFaultKind::delay_until_end, 25);
       for (auto* worker : simulation.running_workers()) {
         if (worker->zone != "a") {
           simulation.inject_fault(worker->id, inside, LinkFaultKind::delay_until_end, 25);
         } else {
           for (int i = 0; i < 3; ++i)
             if (i != leader)
               simulation.inject_fault(worker->id, Simulation::host(i), LinkFaultKind::delay_until_end, 25);
         }
       }
       simulation.run(8);
       cancel_long_jobs(simulation, (leader + 1) % 3);
       simulation.run(50);
     }},
    {"TransactionsAreCarriedOutLate",
     [](Simulation& simulation) {
       simulation.inject_fault("dyke", "store", LinkFaultKind::apply_transaction_late, 60, 0.3);
       for (int i = 0; i < 8; ++i) {
         auto spec = job_spec("job-" + std::to_string(60 + i), 3);
         spec.estimated_run_s = 6;
         simulation.submit(std::move(spec), i % 3 == 0 ? std::optional<double>(7) : std::nullopt);
         simulation.run(4);
       }
       cancel_long_jobs(simulation);
       simulation.crash_controller(leader_of(simulation), 1);
       simulation.run(25);
     }},
    {"AllControllersAreAwayForLongerThanALease",
     [](Simulation& simulation) {
       cancel_long_jobs(simulation);
       simulation.run(0.02);
       for (int i = 0; i < 3; ++i) simulation.crash_controller(i, 14);
       simulation.run(30);
     }},
    {"OldReportsArriveAfterNewerOnes",
     [](Simulation& simulation) {
       simulation.inject_fault("n-", "dyke", LinkFaultKind::duplicate_late, 50, 0.4);
       simulation.run(5);
       for (auto* worker : simulation.workers_with_active_tasks("job-40"))
         simulation.inject_fault(worker->id, "dyke", LinkFaultKind::drop_response, 14);
       simulation.run(5);
       simulation.crash_controller(leader_of(simulation), 1);
       simulation.run(15);
       cancel_long_jobs(simulation);
       simulation.crash_controller(leader_of(simulation), 1);
       simulation.run(30);
     }},
    {"TenLeadersInTwoMinutesAndAnOutage",
     [](Simulation& simulation) {
       for (int i = 0; i < 10; ++i) {
         if (i == 4) simulation.start_state_service_outage(20);
         if (i == 6) cancel_long_jobs(simulation);
         simulation.crash_controller(leader_of(simulation), simulation.random(0.1, 6));
         simulation.run(11);
       }
     }},
    {"CommandsAreHeldUpAndMachinesGoOn",
     [](Simulation& simulation) {
       for (int i = 0; i < 4; ++i) {
         auto workers = simulation.running_workers();
         for (std::size_t n = 0; n < workers.size(); n += 3)
           simulation.hang_worker(*workers[n], simulation.random(2, 9.5));
         simulation.inject_fault("n-", "dyke", LinkFaultKind::delay_randomly, 5);
         if (i == 1) cancel_long_jobs(simulation);
         simulation.run(8);
       }
     }},
    {"CancelledTasksOnMachinesThatHangForLong",
     [](Simulation& simulation) {
       // Their leases run out, but until they go on or are deleted the tasks are on them.
       const auto hung = simulation.workers_with_active_tasks("job-40");
       for (auto* worker : hung)
         simulation.hang_worker(*worker, simulation.config().cancellation_timeout_s + 20);
       simulation.run(1);
       cancel_long_jobs(simulation);
       simulation.run(8);
       simulation.crash_controller(leader_of(simulation), 3);
       simulation.cloud_unavailable = true;  // the cloud refuses at first, too
       simulation.run(16);
       simulation.cloud_unavailable = false;
       simulation.run(simulation.config().cancellation_timeout_s - 25);
       for (const auto* worker : hung)
         EXPECT_TRUE(worker->terminated_at) << worker->id << " still holds them";
     }},
    {"LeaderEndsWhileMachinesWithLongTasksCantBeReached",
     [](Simulation& simulation) {
       const int old_leader = leader_of(simulation);
       for (auto* worker : simulation.workers_with_active_tasks("job-40"))
         simulation.inject_fault(worker->id, "dyke", LinkFaultKind::drop_request, 9);
       for (auto* worker : simulation.workers_with_active_tasks("job-41"))
         simulation.inject_fault(worker->id, "dyke", LinkFaultKind::drop_response, 30);
       simulation.crash_controller(old_leader, 4);
       simulation.run(12);
       cancel_long_jobs(simulation);
       simulation.run(40);
     }},
    {"SmallJobsEndFarApartAcrossLeaders",
     [](Simulation& simulation) {
       for (int i = 0; i < 5; ++i) {
         auto spec = job_spec("job-" + std::to_string(60 + i), 2 + static_cast<TaskIndex>(i % 2));
         spec.estimated_run_s = 15 + 10 * i;
         simulation.submit(std::move(spec));
       }
       for (int i = 0; i < 5; ++i) {
         simulation.run(9);
         simulation.crash_controller(leader_of(simulation), i % 2 == 0 ? 0.2 : 5);
       }
     }},
    {"SlowStoreThenNoneForLongerThanACancellation",
     [](Simulation& simulation) {
       simulation.inject_fault("dyke", "store", LinkFaultKind::delay_randomly, 30);
       simulation.run(5);
       const int leader = leader_of(simulation);
       simulation.inject_fault(Simulation::host(leader), "store", LinkFaultKind::refuse, 10);
       simulation.run(1.5);
       cancel_long_jobs(simulation);
       simulation.run(1.5);
       simulation.start_state_service_outage(simulation.config().cancellation_timeout_s + 10);
       simulation.run(simulation.config().cancellation_timeout_s + 12);
     }},
    {"LeaderKeepsOnlyItsWorkersAndUsers",
     [](Simulation& simulation) {
       const int leader = leader_of(simulation);
       simulation.inject_fault(Simulation::host(leader), "store", LinkFaultKind::delay_until_end, 50);
       simulation.inject_fault(Simulation::host(leader), "dyke", LinkFaultKind::delay_until_end, 50);
       for (int i = 0; i < 3; ++i)
         if (i != leader)
           simulation.inject_fault(Simulation::host(i), Simulation::host(leader),
                                   LinkFaultKind::delay_until_end, 50);
       simulation.run(5);
       cancel_long_jobs(simulation, (leader + 1) % 3);
       simulation.run(60);
     }},
    {"HandOverAndBackAndAllEndWithinASecond",
     [](Simulation& simulation) {
       const int leader = leader_of(simulation);
       // It hears no workers and hands on; then it has the lead back, and then all end, within a second.
       simulation.inject_fault("n-", Simulation::host(leader), LinkFaultKind::drop_request, 6);
       simulation.run(9);
       simulation.crash_controller(leader_of(simulation), 0.2);
       simulation.run(5);
       cancel_long_jobs(simulation);
       simulation.run(0.1);
       for (int i = 0; i < 3; ++i) simulation.crash_controller(i, 0.2 + 0.3 * i);
       simulation.run(0.4);
       simulation.crash_controller(0, 0.1);
       simulation.run(30);
     }},
};

INSTANTIATE_TEST_SUITE_P(Combinations, FaultCombinationTest, ::testing::ValuesIn(kFaultCombinations),
                         [](const auto& each) { return each.param.name; });

}  // namespace dockdyke::testing
