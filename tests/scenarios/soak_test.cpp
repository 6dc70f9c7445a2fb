// Soak test with fixed seeds: five controllers, 120 machines, long heartbeat intervals and long tasks, half
// of the jobs cancelled, and random faults. Guards against cancelled tasks that run past their deadline.
#include <gtest/gtest.h>

#include <algorithm>

#include "simulation.hpp"

namespace dockdyke::testing {

namespace {

constexpr int kControllers = 5;
constexpr std::size_t kMachinesPerOffering = 30;  // in each of two zones, spot and on-demand
constexpr int kInitialJobs = 40;
constexpr double kFaultInjectionSeconds = 200;

core::ClusterConfig soak_config() {
  auto config = slow_heartbeat_config();
  config.max_machines = 4 * kMachinesPerOffering;
  config.gang_assembly_timeout_s = 50;
  config.gang_peer_timeout_s = 8;
  return config;
}

// Returns the number of seeds to run; DOCKDYKE_SOAK_SEEDS overrides the default.
std::uint64_t soak_seed_count() {
  constexpr std::uint64_t kDefaultSeedCount = 6;
  const char* override_value = std::getenv("DOCKDYKE_SOAK_SEEDS");
  return override_value ? std::stoull(override_value) : kDefaultSeedCount;
}

class SoakWorkload {
 public:
  explicit SoakWorkload(Simulation& simulation) : simulation_(simulation) {}

  void submit_random_job() {
    auto spec = job_spec("job-" + std::to_string(next_job_++),
                         1 + static_cast<TaskIndex>(simulation_.random_index(10)));
    spec.estimated_run_s = simulation_.random(100, 250);
    if (simulation_.random_index(5) == 0) {
      spec.kind = wire::JobKind::gang;
      spec.task_count = std::min<TaskIndex>(spec.task_count, 4);
    }
    spec.checkpoint_interval_s = simulation_.random_index(2) == 0 ? 0 : 20;
    spec.checkpoint_duration_s = spec.checkpoint_interval_s > 0 ? 2 : 0;
    std::optional<double> cancel_after_s;
    if (simulation_.random_index(2) == 0) cancel_after_s = simulation_.random(10, 120);
    simulation_.submit(std::move(spec), cancel_after_s);
  }

  void inject_random_fault() {
    constexpr std::size_t kFaultKinds = 10;
    switch (simulation_.random_index(kFaultKinds)) {
      case 0:
        for (int i = 0; i < kControllers; ++i) simulation_.crash_controller(i, simulation_.random(4, 6));
        break;
      case 1:
      case 2:
        simulation_.crash_controller(leader_or_random_controller(), simulation_.random(0.2, 6));
        break;
      case 3:
        simulation_.inject_fault(Simulation::host(leader_or_random_controller()), "store",
                                 LinkFaultKind::refuse, simulation_.random(2, 12));
        break;
      case 4:
        simulation_.inject_fault(Simulation::host(leader_or_random_controller()), "store",
                                 LinkFaultKind::delay_until_end, simulation_.random(3, 8));
        break;
      case 5:
        simulation_.start_state_service_outage(simulation_.random(2, 8));
        break;
      case 6:
        simulation_.inject_fault("dyke", "dyke", LinkFaultKind::drop_request, simulation_.random(5, 30));
        break;
      case 7:
        cancel_running_jobs();
        break;
      default:
        inject_machine_faults(simulation_.random(0.1, 0.6));
    }
  }

 private:
  int leader_or_random_controller() {
    return simulation_.leader().value_or(static_cast<int>(simulation_.random_index(kControllers)));
  }

  // Cancels up to eight random running jobs at the same time, through any controllers.
  void cancel_running_jobs() {
    int remaining = 8;
    for (const auto& [id, job] : simulation_.all_jobs()) {
      if (remaining == 0) return;
      if (!job.accepted_at || job.cancellation_requested || job.completion_confirmed_at ||
          simulation_.random_index(3) != 0)
        continue;
      simulation_.cancel(id);
      --remaining;
    }
  }

  void inject_machine_faults(double affected_fraction) {
    constexpr std::size_t kMachineFaultKinds = 5;
    const auto kind = simulation_.random_index(kMachineFaultKinds);
    for (auto* worker : simulation_.running_workers()) {
      if (simulation_.random(0, 1) > affected_fraction) continue;
      const double duration_s = simulation_.random(5, 60);
      switch (kind) {
        case 0:
          simulation_.hang_worker(*worker, duration_s);
          break;
        case 1:
          simulation_.inject_fault(worker->id, "dyke", LinkFaultKind::drop_response, duration_s);
          break;
        case 2:
          simulation_.inject_fault(worker->id, "dyke", LinkFaultKind::duplicate_late, duration_s);
          break;
        default:
          simulation_.inject_fault(worker->id, "dyke", LinkFaultKind::drop_request, duration_s);
      }
    }
  }

  Simulation& simulation_;
  int next_job_ = 1;
};

}  // namespace

class SoakTest : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(SoakTest, CancelledTasksEndInTimeAndInvariantsHold) {
  SCOPED_TRACE("seed " + std::to_string(GetParam()));
  Simulation simulation({.seed = GetParam(), .controllers = kControllers, .config = soak_config()});
  simulation.max_machines_per_offering = kMachinesPerOffering;
  if (GetParam() % 2 == 0)
    simulation.dropped_target = peer::kCancelledPath;  // drop all notifications of cancellations
  SoakWorkload workload(simulation);
  for (int i = 0; i < kInitialJobs; ++i) workload.submit_random_job();
  simulation.run(25);
  for (double elapsed_s = 0; elapsed_s < kFaultInjectionSeconds && !HasFailure();) {
    workload.submit_random_job();
    workload.inject_random_fault();
    const double pause_s = simulation.random(2, 8);
    simulation.run(pause_s);
    elapsed_s += pause_s;
  }
  if (HasFailure()) return;
  simulation.run(simulation.config().cancellation_timeout_s + 60);  // until the last faults have ended
  simulation.expect_recent_responses();
  simulation.expect_all_jobs_finish(900);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SoakTest, ::testing::Range<std::uint64_t>(1, soak_seed_count() + 1));

}  // namespace dockdyke::testing
