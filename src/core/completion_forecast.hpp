// Estimates whether running tasks are about to end and free their capacity.
#pragma once

#include "core/cluster_state.hpp"
#include "core/job.hpp"
#include "core/time.hpp"

namespace dockdyke::core {

// Returns whether the task is being stopped or has run for most of its expected run time. A task that has
// exceeded the expected run time by far does not count: its estimate is wrong.
bool nearly_done(const Job& job, const TaskAssignment& assignment, Time now);

// Returns the shortest nominal boot time (s) of the machine types that the job may run on, or 0 if there is
// no such type.
double shortest_boot_s(const ClusterState& state, const Job& job);

// Returns whether the task is likely to end before a machine that is requested now has booted.
bool ends_before_new_machine_boots(const ClusterState& state, const Job& job,
                                   const TaskAssignment& assignment, Time now);

}  // namespace dockdyke::core
