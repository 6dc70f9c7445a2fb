// This controller's share of the state service's rate limits, by its role (PROTOCOL, "Limits and errors").
#pragma once

#include <cstddef>

#include "app/leadership_state.hpp"
#include "app/peer_notifier.hpp"
#include "store/state_client.hpp"

namespace dockdyke::app {

// The leader has the larger share; the followers split what they may use among them.
class RateShareManager {
 public:
  // Listens to `state` for the announced lower limit of writes. Must outlive the calls of `state`.
  RateShareManager(store::StateClient& state, const LeadershipState& leadership, const PeerNotifier& peers,
                   std::size_t peer_count);

  // Sets the shares for the present role; to be called after each change of it.
  void apply_shares();
  // Tells the leader's term, if there is one, of a lower limit that is in force.
  void update_term_write_rate();
  // A peer has seen the announced lower limit in force.
  void lower_write_limit();

 private:
  void write_limit_seen();

  store::StateClient& state_;
  const LeadershipState& leadership_;
  const PeerNotifier& peers_;
  std::size_t peer_count_;
};

}  // namespace dockdyke::app
