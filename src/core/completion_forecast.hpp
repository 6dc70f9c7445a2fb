// When running tasks are likely to free their capacity.
#pragma once

#include "core/cluster_state.hpp"
#include "core/job.hpp"
#include "core/time.hpp"

namespace dockdyke::core {

// The task has passed most of its expected run time, or is being stopped. Past a good deal more than that it
// has shown the estimate to be wrong, not that it is about to end.
bool nearly_done(const Job& job, const TaskAssignment& assignment, Time now);

// The shortest nominal boot time (s) of the types that the job may run on; 0 where there is none.
double quickest_boot_s(const ClusterState& state, const Job& job);

// The task is likely to end before a machine that is requested now would be up.
bool frees_soon(const ClusterState& state, const Job& job, const TaskAssignment& assignment, Time now);

}  // namespace dockdyke::core
