#include "app/peer_monitor.hpp"

#include <spdlog/spdlog.h>

#include <optional>

#include "constants.hpp"
#include "peer/peer_client.hpp"

namespace dockdyke::app {

PeerMonitor::PeerMonitor(net::Loop& loop, net::Transport& transport, const store::StateClient& state,
                         store::Election& election, LeadershipState& leadership, const Settings& settings)
    : loop_(loop),
      transport_(transport),
      state_(state),
      election_(election),
      leadership_(leadership),
      peers_(settings.peers),
      worker_reachability_(transport, election, leadership, settings) {}

net::Task<void> PeerMonitor::run() {
  for (;;) {
    co_await loop_.sleep(net::seconds(constants::kPeerStatusIntervalSeconds));
    if (state_.unreachable()) {
      co_await check_peers();
    } else {
      clear_state_outage();
      co_await worker_reachability_.check();
    }
  }
}

void PeerMonitor::clear_state_outage() {
  peer_reaches_state_ = false;
  isolated_ = false;
  if (leadership_.leading()) leadership_.term()->set_isolated(false);
}

net::Task<void> PeerMonitor::check_peers() {
  bool peer_reaches_state = false;
  bool any_response = peers_.empty();
  for (const auto& controller : peers_) {
    const std::optional<peer::PeerStatus> status =
        co_await peer::fetch_status(transport_, controller.address);
    if (!status) continue;
    any_response = true;
    peer_reaches_state = peer_reaches_state || status->state_reachable;
    if (status->leading) handle_leader_claim(controller, *status);
  }
  peer_reaches_state_ = peer_reaches_state;
  // If neither the state service nor any peer responds, this controller is probably partitioned and another
  // one has become the leader. Workers that can still reach this one must switch to the new leader, since
  // this one can't start tasks.
  isolated_ = !any_response;
  if (leadership_.leading()) leadership_.term()->set_isolated(isolated_);
}

void PeerMonitor::handle_leader_claim(const PeerController& controller, const peer::PeerStatus& status) {
  if (leadership_.leading() && status.token > leadership_.term()->token().value) {
    spdlog::info("event=newer_leader host={} token={}", controller.host, status.token);
    election_.step_down(store::LeadershipEndReason::newer_leader);
  }
  // Also reached after step_down(), which makes this controller a follower.
  if (!leadership_.leading()) leadership_.set_leader_host(controller.host);
}

}  // namespace dockdyke::app
