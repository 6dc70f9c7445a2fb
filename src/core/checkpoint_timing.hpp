// Time at which a task must be ordered to write a checkpoint before its machine is terminated.
#pragma once

#include "core/config.hpp"
#include "wire/messages.hpp"

namespace dockdyke::core {

// Returns the seconds before the termination of a machine at which a task must be ordered to write a
// checkpoint. Commands travel only in responses to heartbeats, so this includes one heartbeat interval.
double checkpoint_lead_time_s(const ClusterConfig& config, const wire::JobSpec& spec);

}  // namespace dockdyke::core
