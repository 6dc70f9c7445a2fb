// Read-only queries of the leader's model of the cluster, for responses to users and the log.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "core/cluster_state.hpp"
#include "core/offering.hpp"
#include "core/views.hpp"

namespace dockdyke::core {

// Returns the progress of a job, or std::nullopt if the records are not loaded, or the job is unknown or
// cancelled.
std::optional<JobProgress> job_progress(const ClusterState& state, const JobId& id);
// Returns the number of machines whose workers are expected to send heartbeats.
std::size_t up_machine_count(const ClusterState& state);
// Returns the jobs that should have an active record in the state service.
std::vector<JobId> active_jobs(const ClusterState& state);
AssignmentCounts assignment_counts(const ClusterState& state);
ZoneConflictSummary zone_conflict_summary(const ClusterState& state);
std::map<InstanceOffering, OfferingUsage> usage_by_offering(const ClusterState& state);

}  // namespace dockdyke::core
