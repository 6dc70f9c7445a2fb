// Time since the leader's last heartbeat from any worker, and whether it is unusually long.
#pragma once

#include <cstddef>

namespace dockdyke::app {

struct HeartbeatGap {
  // Since the last accepted heartbeat or, if there is none in this term, since the election.
  double time_since_heartbeat_s = 0;
  // Depends on the number of machines.
  double anomaly_threshold_s = 0;
  // Machines that are expected to send heartbeats. Only counted above the minimum threshold.
  std::size_t machine_count = 0;
  bool any_heartbeat_received = false;  // in this term
  bool anomalous() const { return machine_count > 0 && time_since_heartbeat_s >= anomaly_threshold_s; }
};

}  // namespace dockdyke::app
