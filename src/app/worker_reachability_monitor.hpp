// Transfers the leadership if the workers can't reach this leader.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "app/leader_term.hpp"
#include "app/leadership_state.hpp"
#include "app/settings.hpp"
#include "net/http_client.hpp"
#include "net/task.hpp"
#include "store/election.hpp"

namespace dockdyke::app {

// Such a leader still renews its own lease and serves users, but it receives no heartbeats, so the leases of
// all workers would expire.
class WorkerReachabilityMonitor {
 public:
  WorkerReachabilityMonitor(net::Transport& transport, store::Election& election,
                            const LeadershipState& leadership, const Settings& settings);

  // Resigns the leadership if heartbeats are missing here and arrive at peers, or no peer responds. Does
  // nothing on a follower.
  net::Task<void> check();

 private:
  // Combined status of the peers that responded.
  struct PeerHeartbeats {
    bool any_response = false;
    std::uint64_t recent_heartbeats = 0;
  };
  net::Task<PeerHeartbeats> query_peers();
  bool should_transfer_leadership(const HeartbeatGap& gap, const PeerHeartbeats& peer_heartbeats) const;

  net::Transport& transport_;
  store::Election& election_;
  const LeadershipState& leadership_;
  const Settings& settings_;
};

}  // namespace dockdyke::app
