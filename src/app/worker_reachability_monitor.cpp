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

net::Task<WorkerReachabilityMonitor::PeerSurvey> WorkerReachabilityMonitor::survey_peers() {
  PeerSurvey survey;
  for (const auto& controller : settings_.peers) {
    const std::optional<peer::PeerStatus> status =
        co_await peer::fetch_status(transport_, controller.address);
    if (!status) continue;
    survey.any_response = true;
    survey.recent_heartbeats += status->recent_heartbeats;
  }
  co_return survey;
}

bool WorkerReachabilityMonitor::should_transfer(const HeartbeatSilence& silence,
                                                const PeerSurvey& survey) const {
  const double required_heartbeats =
      constants::kWorkersAtPeersFraction * static_cast<double>(silence.machines);
  if (survey.recent_heartbeats > 0 && static_cast<double>(survey.recent_heartbeats) >= required_heartbeats)
    return true;
  // No peer responds: once, for workers that were heard before, and before their leases expire. A fleet that
  // is silent as a whole must not make the leadership change over and over.
  return !survey.any_response && silence.any_heartbeat_received &&
         silence.duration_s >= constants::kIsolatedLeaderLeaseFraction * settings_.cluster.worker_lease_s;
}

net::Task<void> WorkerReachabilityMonitor::check() {
  const auto term = leadership_.term();
  if (!term || settings_.peers.empty()) co_return;
  if (!term->heartbeat_silence().anomalous()) co_return;
  const PeerSurvey survey = co_await survey_peers();
  // Heartbeats may have arrived, or the term may have ended, while the peers were asked.
  const HeartbeatSilence silence = term->heartbeat_silence();
  if (term != leadership_.term() || !silence.anomalous()) co_return;
  if (!should_transfer(silence, survey)) co_return;
  spdlog::info("event=workers_unreachable token={} silence_s={:.1f} machines={} peer_heartbeats={}",
               term->token().value, silence.duration_s, silence.machines, survey.recent_heartbeats);
  election_.resign(store::LeadershipEndReason::workers_unreachable);
}

}  // namespace dockdyke::app
