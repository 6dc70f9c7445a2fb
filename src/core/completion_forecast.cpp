#include "core/completion_forecast.hpp"

#include <algorithm>

#include "constants.hpp"

namespace dockdyke::core {

bool nearly_done(const Job& job, const TaskAssignment& assignment, Time now) {
  if (assignment.stopping) return true;
  const double expected_s = job.expected_run_s;
  if (assignment.run_started_at == 0 || expected_s <= 0) return false;
  const double progress = (now - assignment.run_started_at) / expected_s;
  return progress >= constants::kNearlyDoneFraction && progress <= constants::kOverrunFactor;
}

double shortest_boot_s(const ClusterState& state, const Job& job) {
  double boot_s = 0;
  const auto& types = state.types();
  for (std::size_t i = 0; i < types.size(); ++i)
    if (job.compatible_with(i)) boot_s = boot_s == 0 ? types[i].boot_s : std::min(boot_s, types[i].boot_s);
  return boot_s;
}

bool ends_before_new_machine_boots(const ClusterState& state, const Job& job,
                                   const TaskAssignment& assignment, Time now) {
  if (nearly_done(job, assignment, now)) return true;
  const double expected_s = job.expected_run_s;
  if (expected_s <= 0) return false;
  const double ran_s = assignment.ran_s(now);
  if (ran_s > constants::kOverrunFactor * expected_s) return false;
  return expected_s - ran_s < constants::kFreesSoonBootFraction * shortest_boot_s(state, job);
}

}  // namespace dockdyke::core
