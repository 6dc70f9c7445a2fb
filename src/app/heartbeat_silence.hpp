// For how long a leader has received no heartbeat, and whether that is unusual.
#pragma once

#include <cstddef>

namespace dockdyke::app {

struct HeartbeatSilence {
  double duration_s = 0;     // since the last accepted heartbeat, or since the election
  double threshold_s = 0;    // from which on the silence is unusual for the present number of machines
  std::size_t machines = 0;  // whose workers should be sending heartbeats; 0 below the least threshold
  bool any_heartbeat_received = false;  // in this term
  bool anomalous() const { return machines > 0 && duration_s >= threshold_s; }
};

}  // namespace dockdyke::app
