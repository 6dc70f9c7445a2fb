#include "core/completion_forecast.hpp"

#include <algorithm>

#include "constants.hpp"

namespace dockdyke::core {

bool nearly_done(const Job& job, const TaskAssignment& assignment, Time now) {
  if (assignment.stopping) return true;
  const double expected = job.expected_run_s;
  if (assignment.run_started_at == 0 || expected <= 0) return false;
  const double progress = (now - assignment.run_started_at) / expected;
  return progress >= constants::kNearlyDoneFraction && progress <= constants::kOverrunFactor;
}

double quickest_boot_s(const ClusterState& state, const Job& job) {
  double boot_s = 0;
  const auto& types = state.types();
  for (std::size_t i = 0; i < types.size(); ++i)
    if (job.compatible_with(i)) boot_s = boot_s == 0 ? types[i].boot_s : std::min(boot_s, types[i].boot_s);
  return boot_s;
}

bool frees_soon(const ClusterState& state, const Job& job, const TaskAssignment& assignment, Time now) {
  if (nearly_done(job, assignment, now)) return true;
  const double expected = job.expected_run_s;
  if (expected <= 0) return false;
  const double ran = assignment.ran_s(now);
  if (ran > constants::kOverrunFactor * expected) return false;
  return expected - ran < constants::kFreesSoonBootFraction * quickest_boot_s(state, job);
}

}  // namespace dockdyke::core
