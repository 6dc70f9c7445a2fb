// Why a controller's leadership ended.
#pragma once

namespace dockdyke::store {

enum class LeadershipEnd {
  lease_expired,        // the state service says that the lease is gone
  superseded,           // a write or a heartbeat showed a newer leader
  newer_leader,         // a peer leads under a newer token
  workers_unreachable,  // resigned, since other controllers hear the workers
};

inline const char* to_string(LeadershipEnd end) {
  switch (end) {
    case LeadershipEnd::lease_expired:
      return "lease_expired";
    case LeadershipEnd::superseded:
      return "superseded";
    case LeadershipEnd::newer_leader:
      return "newer_leader";
    case LeadershipEnd::workers_unreachable:
      return "workers_unreachable";
  }
  return "unknown";
}

}  // namespace dockdyke::store
