// Completion and start targets that a job has by the service-level objectives of its class.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/config.hpp"
#include "core/job.hpp"

namespace dockdyke::core {

// Returns the times (s) after the job's submission by which it should be done, in ascending order: those of
// its class's objectives, else the job's own deadline or `kDefaultDeadlineSeconds`. Never empty.
std::vector<double> completion_targets_s(const ClusterConfig& config, const Job& job);

// Returns the shortest time (s) within which an objective of the class requires tasks to start, or
// std::nullopt if no objective does.
std::optional<double> start_target_s(const ClusterConfig& config, const std::string& job_class);

// Returns whether an objective requires the job's tasks to start in less than `kQuickStartThresholdSeconds`.
// Capacity is held in reserve for gangs with such an objective, since a new machine would take longer to
// boot.
bool has_quick_start_objective(const ClusterConfig& config, const wire::JobSpec& spec);

}  // namespace dockdyke::core
