// Scenarios that combine faults, run in simulated time against complete controllers. The simulation checks
// the protocol's invariants throughout, so that a scenario only has to inject its faults.
#include <gtest/gtest.h>

#include "simulation.hpp"

namespace dockdyke::testing {

TEST(SimulationTest, AllJobsFinishWithoutFaults) {
  Simulation simulation({.seed = 1});
  for (int i = 0; i < 6; ++i) simulation.submit(job_spec("job-" + std::to_string(i), 3));
  simulation.expect_all_jobs_finish(150);
  EXPECT_EQ(simulation.task_starts(), 18u);
}

// ---- Leader refused by the state service, then an outage ------------------------------------------------

// The state service refuses only the leader, another controller confirms cancellations, and then the state
// service is unavailable to all controllers for longer than the cancellation timeout. Workers still send
// heartbeats to the leader that missed the cancellations.
struct RefusalThenOutage {
  const char* name;
  double cancel_after_s;      // since the state service began to refuse the leader
  double outage_after_s;      // likewise
  bool hang_machine = false;  // one machine with a cancelled task hangs at the cancellation
};

void PrintTo(const RefusalThenOutage& faults, std::ostream* out) {
  *out << faults.name;
}

class RefusalThenOutageTest : public ::testing::TestWithParam<RefusalThenOutage> {};

TEST_P(RefusalThenOutageTest, CancelledTasksEndBeforeDeadline) {
  const RefusalThenOutage faults = GetParam();
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SCOPED_TRACE(seed);
    Simulation simulation({.seed = seed});
    simulation.dropped_target = peer::kCancelledPath;  // drop all notifications of cancellations
    for (int i = 0; i < 4; ++i) simulation.submit(long_job_spec("job-" + std::to_string(i), 2));
    ASSERT_TRUE(simulation.run_until(
        [&] { return simulation.all_tasks_active("job-0") && simulation.all_tasks_active("job-3"); }, 60));
    const int leader = *simulation.leader();
    const int follower = (leader + 1) % 3;
    simulation.inject_fault(Simulation::host(leader), "store", LinkFaultKind::refuse, 8);
    simulation.run(faults.cancel_after_s);
    for (int i = 0; i < 3; ++i) simulation.cancel("job-" + std::to_string(i), follower);
    if (faults.hang_machine) simulation.hang_worker(*simulation.workers_with_active_tasks("job-0").at(0), 12);
    simulation.run(faults.outage_after_s - faults.cancel_after_s);
    simulation.start_state_service_outage(simulation.config().cancellation_timeout_s + 15);
    simulation.run(simulation.config().cancellation_timeout_s + 25);
    if (HasFailure()) return;
    EXPECT_TRUE(simulation.job("job-0").cancellation_confirmed_at)
        << "the scenario requires a confirmed cancellation";
    EXPECT_EQ(simulation.active_task_count("job-0"), 0u);
    EXPECT_TRUE(simulation.run_until([&] { return simulation.all_tasks_active("job-3"); }, 60))
        << "job-3 was not cancelled and must keep running";
  }
}

INSTANTIATE_TEST_SUITE_P(CancellationTimes, RefusalThenOutageTest,
                         ::testing::Values(RefusalThenOutage{"CancelledAtRefusal", 0.1, 2.0},
                                           RefusalThenOutage{"CancelledBetweenRefusalAndOutage", 1.0, 2.0},
                                           RefusalThenOutage{"CancelledJustBeforeOutage", 1.9, 2.0},
                                           RefusalThenOutage{"CancelledJustBeforeOutageWithHungMachine", 1.9,
                                                             2.0, true},
                                           RefusalThenOutage{"OutageJustBeforeLeaderLeaseExpires", 2.5, 3.2}),
                         [](const auto& each) { return each.param.name; });

TEST(LeaderRefusedByStateService, IsNotifiedOfCancellationsByOtherControllers) {
  Simulation simulation({.seed = 1});
  simulation.submit(long_job_spec("job-1", 3));
  ASSERT_TRUE(simulation.run_until([&] { return simulation.all_tasks_active("job-1"); }, 60));
  const int leader = *simulation.leader();
  simulation.inject_fault(Simulation::host(leader), "store", LinkFaultKind::refuse, 30);
  simulation.run(0.5);
  simulation.cancel("job-1", (leader + 1) % 3);
  ASSERT_TRUE(
      simulation.run_until([&] { return simulation.job("job-1").cancellation_confirmed_at.has_value(); }, 2));
  // The leader can't read the cancellation, and no other controller can be elected before its lease expires:
  // only the notification from the controller that confirmed the cancellation arrives in time.
  EXPECT_TRUE(simulation.run_until([&] { return simulation.active_task_count("job-1") == 0; }, 2.6));
}

// ---- Other combinations of faults -------------------------------------------------------------------------

core::ClusterConfig team_quota_config() {
  auto config = cluster_config();
  config.teams[1].quota.cpus = 16;
  return config;
}

// Submits short and long jobs, some placed in one zone or spread over zones, and some of a team at its quota.
void submit_mixed_workload(Simulation& simulation) {
  for (int i = 0; i < 4; ++i) {
    auto spec = job_spec("job-" + std::to_string(10 + i), 2 + static_cast<TaskIndex>(i));
    spec.estimated_run_s = 8 + 9 * i;
    simulation.submit(std::move(spec));
  }
  auto same_zone = job_spec("job-20", 4);
  same_zone.same_zone = true;
  simulation.submit(std::move(same_zone));
  auto spread = job_spec("job-21", 5);
  spread.spread = true;
  simulation.submit(std::move(spread));
  for (int i = 0; i < 3; ++i) {
    auto spec = job_spec("job-" + std::to_string(30 + i), 3);
    spec.team = "other";
    spec.spot_allowed = i != 1;
    simulation.submit(std::move(spec));
  }
  // These end only when they are cancelled.
  for (int i = 0; i < 3; ++i) simulation.submit(long_job_spec("job-" + std::to_string(40 + i), 2));
}

// Submits the mixed workload and waits until all tasks of the long jobs are on machines.
void start_mixed_workload(Simulation& simulation) {
  submit_mixed_workload(simulation);
  const bool long_jobs_running = simulation.run_until(
      [&] {
        return simulation.all_tasks_active("job-40") && simulation.all_tasks_active("job-41") &&
               simulation.all_tasks_active("job-42");
      },
      90);
  ASSERT_TRUE(long_jobs_running);
}

void cancel_long_jobs(Simulation& simulation, std::optional<int> controller = {}) {
  for (int i = 0; i < 3; ++i) simulation.cancel("job-" + std::to_string(40 + i), controller);
}

// Returns the number of the leader, waiting up to 30 s for an election, or 0 if there is none.
int wait_for_leader(Simulation& simulation) {
  simulation.run_until([&] { return simulation.leader().has_value(); }, 30);
  return simulation.leader().value_or(0);
}

struct FaultCombination {
  const char* name;
  void (*inject_faults)(Simulation& simulation);
};

void PrintTo(const FaultCombination& combination, std::ostream* out) {
  *out << combination.name;
}

class FaultCombinationTest : public ::testing::TestWithParam<FaultCombination> {};

TEST_P(FaultCombinationTest, InvariantsHoldAndAllJobsFinish) {
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    SCOPED_TRACE(seed);
    Simulation simulation({.seed = seed, .config = team_quota_config()});
    start_mixed_workload(simulation);
    if (HasFailure()) return;
    GetParam().inject_faults(simulation);
    if (HasFailure()) return;
    cancel_long_jobs(simulation);
    simulation.expect_all_jobs_finish(200);
    simulation.expect_no_leftover_records(60);
    if (HasFailure()) return;
  }
}

const FaultCombination kFaultCombinations[] = {
    {"HeartbeatsHeldUntilNewLeaderActs",
     [](Simulation& simulation) {
       const int previous_leader = wait_for_leader(simulation);
       for (int follower = 0; follower < 3; ++follower)
         if (follower != previous_leader)
           simulation.inject_fault("n-", Simulation::host(follower), LinkFaultKind::delay_until_end, 9, 0.5);
       simulation.crash_controller(previous_leader, 5);
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
    {"DemandExceedsCapacityOverSlowLinks",
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
    {"ZoneConstrainedJobsLoseMachines",
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
       simulation.crash_controller(wait_for_leader(simulation), 0.3);
       simulation.run(30);
     }},
    {"RequestsWhileJobCompletes",
     [](Simulation& simulation) {
       // Cancellations, status requests and resubmissions arrive through all controllers around the moment at
       // which the job completes.
       for (int number = 0; number < 12; ++number) {
         const std::string id = "job-" + std::to_string(100 + number);
         auto spec = job_spec(id, 2);
         spec.estimated_run_s = 4;
         simulation.submit(std::move(spec));
         simulation.run_until([&] { return simulation.job(id).completed_tasks.size() == 2; }, 60);
         simulation.run(simulation.random(0, 0.4));
         if (number % 2 == 0) simulation.cancel(id, number % 3);
         simulation.resubmit(id);
         simulation.run(0.05);
         simulation.resubmit(id);
       }
     }},
    {"RequestsWhileJobCompletesWithDelayedWrites",
     [](Simulation& simulation) {
       simulation.inject_fault("dyke", "store", LinkFaultKind::apply_transaction_late, 60, 0.4);
       for (int number = 0; number < 8; ++number) {
         const std::string id = "job-" + std::to_string(100 + number);
         auto spec = job_spec(id, 2);
         spec.estimated_run_s = 4;
         simulation.submit(std::move(spec));
         simulation.run_until([&] { return simulation.job(id).completed_tasks.size() == 2; }, 60);
         if (number % 2 == 0) simulation.cancel(id, number % 3);
         simulation.resubmit(id);
         simulation.run(0.3);
         simulation.resubmit(id);
       }
     }},
    {"FailoverWithTeamAtQuotaAndUnreachableMachines",
     [](Simulation& simulation) {
       for (int i = 0; i < 3; ++i) {
         auto spec = long_job_spec("job-" + std::to_string(70 + i), 2);
         spec.team = "other";
         simulation.submit(std::move(spec));
       }
       simulation.run_until(
           [&] { return simulation.all_tasks_active("job-70") && simulation.all_tasks_active("job-71"); },
           120);
       for (auto* worker : simulation.workers_with_active_tasks("job-70"))
         simulation.inject_fault(worker->id, "dyke", LinkFaultKind::drop_request, 25);
       for (auto* worker : simulation.workers_with_active_tasks("job-71"))
         simulation.inject_fault(worker->id, "dyke", LinkFaultKind::drop_response, 25);
       simulation.crash_controller(wait_for_leader(simulation), 2);
       simulation.run(1);
       for (int i = 0; i < 3; ++i) simulation.cancel("job-" + std::to_string(70 + i));
       simulation.run(40);
     }},
    {"LeaderZonePartitionedLongerThanLease",
     [](Simulation& simulation) {
       const int leader = wait_for_leader(simulation);
       const std::string partitioned_host = Simulation::host(leader);
       for (const char* peer_host : {"store", "cloud", "dyke"})
         simulation.inject_fault(partitioned_host, peer_host, LinkFaultKind::delay_until_end, 25);
       for (int i = 0; i < 3; ++i)
         if (i != leader)
           simulation.inject_fault(Simulation::host(i), partitioned_host, LinkFaultKind::delay_until_end, 25);
       simulation.inject_fault("user", partitioned_host, LinkFaultKind::delay_until_end, 25);
       for (auto* worker : simulation.running_workers()) {
         if (worker->zone != "a") {
           simulation.inject_fault(worker->id, partitioned_host, LinkFaultKind::delay_until_end, 25);
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
    {"TransactionsExecutedAfterDelay",
     [](Simulation& simulation) {
       simulation.inject_fault("dyke", "store", LinkFaultKind::apply_transaction_late, 60, 0.3);
       for (int i = 0; i < 8; ++i) {
         auto spec = job_spec("job-" + std::to_string(60 + i), 3);
         spec.estimated_run_s = 6;
         simulation.submit(std::move(spec), i % 3 == 0 ? std::optional<double>(7) : std::nullopt);
         simulation.run(4);
       }
       cancel_long_jobs(simulation);
       simulation.crash_controller(wait_for_leader(simulation), 1);
       simulation.run(25);
     }},
    {"AllControllersDownLongerThanLease",
     [](Simulation& simulation) {
       cancel_long_jobs(simulation);
       simulation.run(0.02);
       for (int i = 0; i < 3; ++i) simulation.crash_controller(i, 14);
       simulation.run(30);
     }},
    {"StaleHeartbeatsArriveAfterNewerOnes",
     [](Simulation& simulation) {
       simulation.inject_fault("n-", "dyke", LinkFaultKind::duplicate_late, 50, 0.4);
       simulation.run(5);
       for (auto* worker : simulation.workers_with_active_tasks("job-40"))
         simulation.inject_fault(worker->id, "dyke", LinkFaultKind::drop_response, 14);
       simulation.run(5);
       simulation.crash_controller(wait_for_leader(simulation), 1);
       simulation.run(15);
       cancel_long_jobs(simulation);
       simulation.crash_controller(wait_for_leader(simulation), 1);
       simulation.run(30);
     }},
    {"TenFailoversInTwoMinutesWithStateServiceOutage",
     [](Simulation& simulation) {
       for (int i = 0; i < 10; ++i) {
         if (i == 4) simulation.start_state_service_outage(20);
         if (i == 6) cancel_long_jobs(simulation);
         simulation.crash_controller(wait_for_leader(simulation), simulation.random(0.1, 6));
         simulation.run(11);
       }
     }},
    {"MachinesHangAndResumeOverSlowLinks",
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
    {"CancelledTasksOnMachinesHungPastDeadline",
     [](Simulation& simulation) {
       // The leases of the hung machines expire, but the tasks stay on a machine until it resumes or is
       // deleted.
       const auto hung_workers = simulation.workers_with_active_tasks("job-40");
       for (auto* worker : hung_workers)
         simulation.hang_worker(*worker, simulation.config().cancellation_timeout_s + 20);
       simulation.run(1);
       cancel_long_jobs(simulation);
       simulation.run(8);
       simulation.crash_controller(wait_for_leader(simulation), 3);
       simulation.cloud_unavailable = true;  // deletion requests fail at first
       simulation.run(16);
       simulation.cloud_unavailable = false;
       simulation.run(simulation.config().cancellation_timeout_s - 25);
       for (const auto* worker : hung_workers)
         EXPECT_TRUE(worker->terminated_at) << worker->id << " was not deleted";
     }},
    {"LeaderCrashesWhileMachinesAreUnreachable",
     [](Simulation& simulation) {
       const int previous_leader = wait_for_leader(simulation);
       for (auto* worker : simulation.workers_with_active_tasks("job-40"))
         simulation.inject_fault(worker->id, "dyke", LinkFaultKind::drop_request, 9);
       for (auto* worker : simulation.workers_with_active_tasks("job-41"))
         simulation.inject_fault(worker->id, "dyke", LinkFaultKind::drop_response, 30);
       simulation.crash_controller(previous_leader, 4);
       simulation.run(12);
       cancel_long_jobs(simulation);
       simulation.run(40);
     }},
    {"SmallJobsCompleteAcrossFailovers",
     [](Simulation& simulation) {
       for (int i = 0; i < 5; ++i) {
         auto spec = job_spec("job-" + std::to_string(60 + i), 2 + static_cast<TaskIndex>(i % 2));
         spec.estimated_run_s = 15 + 10 * i;
         simulation.submit(std::move(spec));
       }
       for (int i = 0; i < 5; ++i) {
         simulation.run(9);
         simulation.crash_controller(wait_for_leader(simulation), i % 2 == 0 ? 0.2 : 5);
       }
     }},
    {"SlowStateServiceThenOutageLongerThanCancellationTimeout",
     [](Simulation& simulation) {
       simulation.inject_fault("dyke", "store", LinkFaultKind::delay_randomly, 30);
       simulation.run(5);
       const int leader = wait_for_leader(simulation);
       simulation.inject_fault(Simulation::host(leader), "store", LinkFaultKind::refuse, 10);
       simulation.run(1.5);
       cancel_long_jobs(simulation);
       simulation.run(1.5);
       simulation.start_state_service_outage(simulation.config().cancellation_timeout_s + 10);
       simulation.run(simulation.config().cancellation_timeout_s + 12);
     }},
    {"LeaderReachesOnlyWorkersAndUsers",
     [](Simulation& simulation) {
       const int leader = wait_for_leader(simulation);
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
    {"LeadershipTransferThenAllControllersCrash",
     [](Simulation& simulation) {
       const int leader = wait_for_leader(simulation);
       // The leader receives no heartbeats and transfers leadership, and its successor crashes. After another
       // election all controllers crash within one second.
       simulation.inject_fault("n-", Simulation::host(leader), LinkFaultKind::drop_request, 6);
       simulation.run(9);
       simulation.crash_controller(wait_for_leader(simulation), 0.2);
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
