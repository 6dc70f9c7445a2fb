// Injects random faults into a random workload, with fixed seeds. The simulation checks the protocol's
// invariants at every step and, after all faults have ended, that every job finishes.
#include <gtest/gtest.h>

#include "simulation.hpp"

namespace dockdyke::testing {

namespace {

core::ClusterConfig random_config() {
  auto config = cluster_config();
  config.teams[1].quota.cpus = 16;
  config.max_value_bytes = 1024;  // the announced lower limits, enforced from step 18 on
  config.max_transaction_changes = 3;
  return config;
}

class RandomWorkload {
 public:
  explicit RandomWorkload(Simulation& simulation) : simulation_(simulation) {}

  void submit_random_job() {
    auto spec = job_spec("job-" + std::to_string(next_job_++),
                         1 + static_cast<TaskIndex>(simulation_.random_index(5)));
    spec.estimated_run_s = simulation_.random(3, 40);
    if (simulation_.random_index(3) == 0) {
      spec.kind = wire::JobKind::gang;
      spec.task_resources = {2, 0, 2};
    }
    spec.team = simulation_.random_index(3) == 0 ? "other" : "team";
    spec.priority = simulation_.random_index(2) == 0 ? wire::Priority::normal : wire::Priority::high;
    spec.spot_allowed = simulation_.random_index(4) != 0;
    const auto zone_constraint = simulation_.random_index(5);
    spec.same_zone = zone_constraint == 0;
    spec.spread = zone_constraint == 1;
    if (zone_constraint == 2) spec.zone = "b";
    spec.checkpoint_interval_s = simulation_.random_index(2) == 0 ? 0 : 5;
    spec.checkpoint_duration_s = spec.checkpoint_interval_s > 0 ? 1 : 0;
    const bool cancel = simulation_.random_index(3) == 0;
    simulation_.submit(std::move(spec),
                       cancel ? std::optional<double>(simulation_.random(0.5, 40)) : std::nullopt);
  }

  void inject_random_fault() {
    const auto workers = simulation_.running_workers();
    const int random_controller = static_cast<int>(simulation_.random_index(3));
    const int leader = simulation_.leader().value_or(random_controller);
    const auto worker_lease_s = simulation_.config().worker_lease_s;
    switch (simulation_.random_index(13)) {
      case 0:
        simulation_.crash_controller(leader, simulation_.random(0.1, 6));
        break;
      case 1:
        for (int i = 0; i < 3; ++i)
          simulation_.crash_controller(i, simulation_.random(0.1, 1.5 * worker_lease_s));
        break;
      case 2:
        simulation_.start_state_service_outage(
            simulation_.random(1, 1.2 * simulation_.config().cancellation_timeout_s));
        break;
      case 3:
        simulation_.inject_fault(Simulation::host(leader), "store", LinkFaultKind::refuse,
                                 simulation_.random(2, 20));
        break;
      case 4: {
        const double duration_s = simulation_.random(5, 30);
        simulation_.inject_fault(Simulation::host(leader), "store", LinkFaultKind::delay_until_end,
                                 duration_s);
        simulation_.inject_fault(Simulation::host(leader), "dyke", LinkFaultKind::delay_until_end,
                                 duration_s);
        break;
      }
      case 5:
        simulation_.inject_fault("n-", Simulation::host(leader), LinkFaultKind::drop_request,
                                 simulation_.random(2, 15));
        break;
      case 6:
        simulation_.inject_fault("n-", "dyke", LinkFaultKind::duplicate_late, simulation_.random(5, 40), 0.3);
        break;
      case 7:
        simulation_.inject_fault("dyke", "store", LinkFaultKind::apply_transaction_late,
                                 simulation_.random(5, 30), 0.3);
        break;
      case 8:
        simulation_.inject_fault("", "", LinkFaultKind::delay_randomly, simulation_.random(5, 20));
        break;
      default:
        for (auto* worker : workers) {
          if (simulation_.random_index(3) != 0) continue;
          const auto kind = simulation_.random_index(5);
          if (kind == 0)
            simulation_.hang_worker(*worker,
                                    simulation_.random(1, 1.5 * simulation_.config().cancellation_timeout_s));
          if (kind == 1) simulation_.crash_worker(*worker);
          if (kind == 2)
            simulation_.inject_fault(worker->id, "dyke", LinkFaultKind::drop_response,
                                     simulation_.random(3, 2 * worker_lease_s));
          if (kind == 3)
            simulation_.inject_fault(worker->id, "dyke", LinkFaultKind::drop_request,
                                     simulation_.random(3, 2 * worker_lease_s));
          if (kind == 4)
            simulation_.inject_fault(worker->id, "dyke", LinkFaultKind::delay_until_end,
                                     simulation_.random(2, 12));
        }
    }
  }

 private:
  Simulation& simulation_;
  int next_job_ = 1;
};

// Returns the number of seeds to run; DOCKDYKE_TEST_SEEDS overrides the default.
std::uint64_t seed_count() {
  constexpr std::uint64_t kDefaultSeedCount = 12;
  const char* override_value = std::getenv("DOCKDYKE_TEST_SEEDS");
  return override_value ? std::stoull(override_value) : kDefaultSeedCount;
}

}  // namespace

class RandomTest : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(RandomTest, InvariantsHoldAndAllJobsFinish) {
  SCOPED_TRACE("seed " + std::to_string(GetParam()));
  Simulation simulation({.seed = GetParam(),
                         .config = random_config(),
                         .writes_per_second = 60,
                         .announced_writes_per_second = 40});
  if (GetParam() % 2 == 0)
    simulation.dropped_target = peer::kCancelledPath;  // drop all notifications of cancellations
  RandomWorkload workload(simulation);
  for (int step = 0; step < 40 && !HasFailure(); ++step) {
    if (step < 25) workload.submit_random_job();
    if (step >= 4 && step % 2 == 0) workload.inject_random_fault();
    if (step == 18) simulation.lower_state_service_limits();
    simulation.run(simulation.random(1, 6));
  }
  if (HasFailure()) return;
  simulation.run(2.5 * simulation.config().cancellation_timeout_s);  // until the last faults have ended
  simulation.expect_recent_responses();
  simulation.expect_all_jobs_finish(300);  // long enough for the team at its quota
  simulation.expect_no_leftover_records(60);
  EXPECT_EQ(simulation.state_service.size_rejections, 0u)
      << "the controllers must keep to the announced lower limits from the start";
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomTest, ::testing::Range<std::uint64_t>(1, seed_count() + 1));

}  // namespace dockdyke::testing
