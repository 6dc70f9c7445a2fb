// A soak with fixed seeds at the size of the incident of 2026-12-02 (docs/incidents): five controllers, 120
// machines, slow heartbeats and long tasks, half of the jobs cancelled, and a random mix of the faults of
// that day. A variable plays more seeds, for a long run that is started by hand.
#include <gtest/gtest.h>

#include <algorithm>

#include "simulation.hpp"

namespace dockdyke::testing {

namespace {

constexpr int kControllers = 5;
constexpr std::size_t kMachinesPerOffering = 30;  // in each of two zones, spot and on-demand
constexpr int kFirstJobs = 40;
constexpr double kFaultyTimeS = 200;

core::ClusterConfig soak_config() {
  auto config = slow_heartbeat_config();
  config.max_machines = 4 * kMachinesPerOffering;
  config.gang_assembly_timeout_s = 50;
  config.gang_peer_timeout_s = 8;
  return config;
}

std::uint64_t soak_seeds() {
  constexpr std::uint64_t kUsual = 6;
  const char* wanted = std::getenv("DOCKDYKE_SOAK_SEEDS");
  return wanted ? std::stoull(wanted) : kUsual;
}

class Soak {
 public:
  explicit Soak(Simulation& simulation) : simulation_(simulation) {}

  void submit_job() {
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

  void inject_fault() {
    constexpr std::size_t kFaults = 10;
    switch (simulation_.random_index(kFaults)) {
      case 0:
        for (int i = 0; i < kControllers; ++i) simulation_.crash_controller(i, simulation_.random(4, 6));
        break;
      case 1:
      case 2:
        simulation_.crash_controller(leader(), simulation_.random(0.2, 6));
        break;
      case 3:
        simulation_.inject_fault(Simulation::host(leader()), "store", LinkFaultKind::refuse,
                                 simulation_.random(2, 12));
        break;
      case 4:
        simulation_.inject_fault(Simulation::host(leader()), "store", LinkFaultKind::delay_until_end,
                                 simulation_.random(3, 8));
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
        harm_machines(simulation_.random(0.1, 0.6));
    }
  }

 private:
  int leader() {
    return simulation_.leader().value_or(static_cast<int>(simulation_.random_index(kControllers)));
  }

  // Users call off several jobs within a moment, through whatever controller.
  void cancel_running_jobs() {
    int left = 8;
    for (const auto& [id, job] : simulation_.all_jobs()) {
      if (left == 0) return;
      if (!job.accepted_at || job.cancellation_requested || job.completion_confirmed_at ||
          simulation_.random_index(3) != 0)
        continue;
      simulation_.cancel(id);
      --left;
    }
  }

  void harm_machines(double share) {
    constexpr std::size_t kKinds = 5;
    const auto kind = simulation_.random_index(kKinds);
    for (auto* worker : simulation_.running_workers()) {
      if (simulation_.random(0, 1) > share) continue;
      const double for_s = simulation_.random(5, 60);
      switch (kind) {
        case 0:
          simulation_.hang_worker(*worker, for_s);
          break;
        case 1:
          simulation_.inject_fault(worker->id, "dyke", LinkFaultKind::drop_response, for_s);
          break;
        case 2:
          simulation_.inject_fault(worker->id, "dyke", LinkFaultKind::duplicate_late, for_s);
          break;
        default:
          simulation_.inject_fault(worker->id, "dyke", LinkFaultKind::drop_request, for_s);
      }
    }
  }

  Simulation& simulation_;
  int next_job_ = 1;
};

}  // namespace

class SoakTest : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(SoakTest, CancelledTasksGoInTimeAndNoOtherRuleBreaks) {
  SCOPED_TRACE("seed " + std::to_string(GetParam()));
  Simulation simulation({.seed = GetParam(), .controllers = kControllers, .config = soak_config()});
  simulation.max_machines_per_offering = kMachinesPerOffering;
  if (GetParam() % 2 == 0) simulation.dropped_target = peer::kCancelledPath;  // nothing may rest on that word
  Soak soak(simulation);
  for (int i = 0; i < kFirstJobs; ++i) soak.submit_job();
  simulation.run(25);
  for (double played_s = 0; played_s < kFaultyTimeS && !HasFailure();) {
    soak.submit_job();
    soak.inject_fault();
    const double pause_s = simulation.random(2, 8);
    simulation.run(pause_s);
    played_s += pause_s;
  }
  if (HasFailure()) return;
  simulation.run(simulation.config().cancellation_timeout_s + 60);  // the last faults end
  simulation.expect_recent_responses();
  simulation.expect_all_jobs_finish(900);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SoakTest, ::testing::Range<std::uint64_t>(1, soak_seeds() + 1));

}  // namespace dockdyke::testing
