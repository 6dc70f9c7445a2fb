#include "core/objectives.hpp"

#include <algorithm>

#include "constants.hpp"

namespace dockdyke::core {

using Kind = ServiceLevelObjective::Kind;

std::vector<double> completion_targets_s(const ClusterConfig& config, const Job& job) {
  std::vector<double> targets;
  for (const auto& objective : config.objectives) {
    if (objective.job_class != job.spec.job_class) continue;
    if (objective.kind == Kind::completion && objective.target_s > 0) targets.push_back(objective.target_s);
    if (objective.kind == Kind::deadline && job.spec.deadline_s)
      targets.push_back(*job.spec.deadline_s * objective.deadline_factor);
  }
  if (targets.empty()) targets.push_back(job.spec.deadline_s.value_or(constants::kDefaultDeadlineSeconds));
  std::sort(targets.begin(), targets.end());
  return targets;
}

std::optional<double> start_target_s(const ClusterConfig& config, const std::string& job_class) {
  std::optional<double> target;
  for (const auto& objective : config.objectives) {
    if (objective.kind != Kind::start || objective.job_class != job_class) continue;
    target = std::min(target.value_or(objective.target_s), objective.target_s);
  }
  return target;
}

bool has_quick_start_objective(const ClusterConfig& config, const wire::JobSpec& spec) {
  const auto target = start_target_s(config, spec.job_class);
  return target && *target < constants::kQuickStartThresholdSeconds;
}

}  // namespace dockdyke::core
