// Polls the peers while the state service is unreachable, to distinguish an outage of the service from a
// network partition of this controller.
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

// While the state service is reachable, checks instead whether workers can reach this leader.
class PeerMonitor {
 public:
  PeerMonitor(net::Loop& loop, net::Transport& transport, const store::StateClient& state,
              store::Election& election, LeadershipState& leadership, const Settings& settings);

  // Runs the checks periodically; never returns.
  net::Task<void> run();

  // Returns whether users should be routed to other controllers: the state service is unreachable from this
  // controller, and either a peer can reach it or no peer responds.
  bool peers_preferred() const { return state_.unreachable() && (peer_reaches_state_ || isolated_); }

 private:
  void clear_state_outage();
  net::Task<void> check_peers();
  // Handles the status of a peer that claims to be the leader.
  void handle_leader_claim(const PeerController& controller, const peer::PeerStatus& status);

  net::Loop& loop_;
  net::Transport& transport_;
  const store::StateClient& state_;
  store::Election& election_;
  LeadershipState& leadership_;
  const std::vector<PeerController>& peers_;
  WorkerReachabilityMonitor worker_reachability_;
  bool peer_reaches_state_ = false;  // while this controller can't reach the state service
  bool isolated_ = false;            // neither the state service nor any peer responds
};

}  // namespace dockdyke::app
