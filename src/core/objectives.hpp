// What service-level objectives ask of a job.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/config.hpp"
#include "core/job.hpp"

namespace dockdyke::core {

// Seconds after its submission at which the owners want the job done, the most ambitious first. Never empty:
// a job without any objective or deadline has `kDefaultDeadlineSeconds`.
std::vector<double> completion_targets_s(const ClusterConfig& config, const Job& job);

// Seconds within which the class wants its tasks started, by its most ambitious objective.
std::optional<double> start_target_s(const ClusterConfig& config, const std::string& job_class);

// The class wants starts sooner than a machine boots, so that capacity is held for its gangs.
bool wants_quick_start(const ClusterConfig& config, const wire::JobSpec& spec);

}  // namespace dockdyke::core
