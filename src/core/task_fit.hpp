// Which machine types can run a job's tasks, and how many tasks fit into free capacity.
#pragma once

#include <cstddef>

#include "wire/messages.hpp"

namespace dockdyke::core {

// The job allows the type, and a task of it fits on an empty machine.
bool can_run_on(const wire::JobSpec& spec, const wire::MachineType& type);

// At most `kMaxDemandTasks`, also where a task needs nothing.
std::size_t tasks_fitting(const wire::Resources& task, const wire::Resources& free);

}  // namespace dockdyke::core
