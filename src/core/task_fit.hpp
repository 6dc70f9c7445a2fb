// Checks on which machine types a job's tasks can run, and how many tasks fit into free capacity.
#pragma once

#include <cstddef>

#include "wire/messages.hpp"

namespace dockdyke::core {

// Returns whether the job allows the type and one of its tasks fits on an empty machine of the type.
bool can_run_on(const wire::JobSpec& spec, const wire::MachineType& type);

// Returns how many tasks of this size fit into the free capacity, at most `kMaxDemandTasks`.
std::size_t tasks_fitting(const wire::Resources& task, const wire::Resources& free);

}  // namespace dockdyke::core
