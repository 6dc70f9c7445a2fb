// Sets this controller's share of the state service's rate limits according to its role.
#pragma once

#include <cstddef>

#include "app/leadership_state.hpp"
#include "app/peer_notifier.hpp"
#include "store/state_client.hpp"

namespace dockdyke::app {

// The leader gets the larger share; the followers divide a smaller one equally.
class RateShareManager {
 public:
  // Registers with `state` a callback for the lower write limit, so it must outlive all calls of `state`.
  RateShareManager(store::StateClient& state, const LeadershipState& leadership,
                   const PeerNotifier& peer_notifier, std::size_t peer_count);

  // Sets the shares for the current role; to be called after each change of role.
  void apply_shares();
  // On the leader, pushes the lowered write limit to the term if the limit is in force.
  void update_term_write_rate();
  // Applies the announced lower write limit; called when a peer has observed that it is in force.
  void lower_write_limit();

 private:
  // Called when this controller's state client observes that the lower write limit is in force.
  void on_write_limit_lowered();

  store::StateClient& state_;
  const LeadershipState& leadership_;
  const PeerNotifier& peer_notifier_;
  std::size_t peer_count_;
};

}  // namespace dockdyke::app
