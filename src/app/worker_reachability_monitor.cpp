#include "app/worker_reachability_monitor.hpp"

#include <spdlog/spdlog.h>

#include <optional>

#include "constants.hpp"
#include "peer/peer_client.hpp"

namespace dockdyke::app {

WorkerReachabilityMonitor::WorkerReachabilityMonitor(net::Transport& transport, store::Election& election,
                                                     const LeadershipState& leadership,
                                                     const Settings& settings)
    : transport_(transport), election_(election), leadership_(leadership), settings_(settings) {}

net::Task<WorkerReachabilityMonitor::PeerHeartbeats> WorkerReachabilityMonitor::query_peers() {
  PeerHeartbeats peer_heartbeats;
  for (const auto& controller : settings_.peers) {
    const std::optional<peer::PeerStatus> status =
        co_await peer::fetch_status(transport_, controller.address);
    if (!status) continue;
    peer_heartbeats.any_response = true;
    peer_heartbeats.recent_heartbeats += status->recent_heartbeats;
  }
  co_return peer_heartbeats;
}

bool WorkerReachabilityMonitor::should_transfer_leadership(const HeartbeatGap& gap,
                                                           const PeerHeartbeats& peer_heartbeats) const {
  const double required_heartbeats =
      constants::kMinPeerHeartbeatsFraction * static_cast<double>(gap.machine_count);
  if (peer_heartbeats.recent_heartbeats > 0 &&
      static_cast<double>(peer_heartbeats.recent_heartbeats) >= required_heartbeats)
    return true;
  // If no peer responds, transfer before the workers' leases expire, but only if heartbeats were received in
  // this term: otherwise an unresponsive fleet would cause repeated leadership transfers.
  return !peer_heartbeats.any_response && gap.any_heartbeat_received &&
         gap.time_since_heartbeat_s >=
             constants::kIsolatedLeaderLeaseFraction * settings_.cluster.worker_lease_s;
}

net::Task<void> WorkerReachabilityMonitor::check() {
  const auto term = leadership_.term();
  if (!term || settings_.peers.empty()) co_return;
  if (!term->heartbeat_gap().anomalous()) co_return;
  const PeerHeartbeats peer_heartbeats = co_await query_peers();
  // Heartbeats may have arrived, or the term may have ended, during the queries.
  const HeartbeatGap gap = term->heartbeat_gap();
  if (term != leadership_.term() || !gap.anomalous()) co_return;
  if (!should_transfer_leadership(gap, peer_heartbeats)) co_return;
  spdlog::info("event=workers_unreachable token={} silence_s={:.1f} machines={} peer_heartbeats={}",
               term->token().value, gap.time_since_heartbeat_s, gap.machine_count,
               peer_heartbeats.recent_heartbeats);
  election_.resign(store::LeadershipEndReason::workers_unreachable);
}

}  // namespace dockdyke::app
