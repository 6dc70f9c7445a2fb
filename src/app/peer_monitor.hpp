// Watches the peers while the state service does not respond, to tell an outage for all from one for this
// controller alone (PROTOCOL, "Outages and cuts").
#pragma once

#include <vector>

#include "app/leadership_state.hpp"
#include "app/settings.hpp"
#include "app/worker_reachability_monitor.hpp"
#include "net/http_client.hpp"
#include "net/loop.hpp"
#include "net/task.hpp"
#include "peer/peer_messages.hpp"
#include "store/election.hpp"
#include "store/state_client.hpp"

namespace dockdyke::app {

// While the state service responds, it checks instead whether workers reach this leader.
class PeerMonitor {
 public:
  PeerMonitor(net::Loop& loop, net::Transport& transport, const store::StateClient& state,
              store::Election& election, LeadershipState& leadership, const Settings& settings);

  // Checks at an interval; never returns.
  net::Task<void> run();

  // True while the state service does not respond to this controller and others are the better choice: a peer
  // reaches the state service, or this controller is isolated from all peers.
  bool peers_preferred() const { return state_.unreachable() && (peer_reaches_state_ || isolated_); }

 private:
  void clear_state_outage();
  net::Task<void> check_peers();
  // A peer says that it leads.
  void consider_leader_claim(const PeerController& controller, const peer::PeerStatus& status);

  net::Loop& loop_;
  net::Transport& transport_;
  const store::StateClient& state_;
  store::Election& election_;
  LeadershipState& leadership_;
  const std::vector<PeerController>& peers_;
  WorkerReachabilityMonitor worker_reachability_;
  bool peer_reaches_state_ = false;  // while the state service does not respond to this controller
  bool isolated_ = false;            // neither the state service nor any peer responds
};

}  // namespace dockdyke::app
