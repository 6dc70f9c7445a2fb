// When a task must be told to save its progress.
#pragma once

#include "core/config.hpp"
#include "wire/messages.hpp"

namespace dockdyke::core {

// Seconds before a machine ends at which a task has to be told to save: commands travel only with responses,
// so the last chance comes a heartbeat interval before saving has to begin.
double last_chance_to_save_s(const ClusterConfig& config, const wire::JobSpec& spec);

}  // namespace dockdyke::core
