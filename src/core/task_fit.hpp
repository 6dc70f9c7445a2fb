// How many tasks fit into free capacity.
#pragma once

#include <cstddef>

#include "wire/messages.hpp"

namespace dockdyke::core {

// At most `kMaxDemandTasks`, also where a task needs nothing.
std::size_t tasks_fitting(const wire::Resources& task, const wire::Resources& free);

}  // namespace dockdyke::core
