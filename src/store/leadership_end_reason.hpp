// The reasons for which a controller's leadership ends.
#pragma once

namespace dockdyke::store {

enum class LeadershipEndReason {
  lease_expired,        // the state service responded that the lease does not exist
  superseded,           // a write or a heartbeat showed a newer fencing token
  newer_leader,         // a peer leads with a newer fencing token
  workers_unreachable,  // resigned because this controller receives no heartbeats
};

inline const char* to_string(LeadershipEndReason reason) {
  switch (reason) {
    case LeadershipEndReason::lease_expired:
      return "lease_expired";
    case LeadershipEndReason::superseded:
      return "superseded";
    case LeadershipEndReason::newer_leader:
      return "newer_leader";
    case LeadershipEndReason::workers_unreachable:
      return "workers_unreachable";
  }
  return "unknown";
}

}  // namespace dockdyke::store
