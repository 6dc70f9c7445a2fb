// Detects a leader that its workers can't reach and transfers the leadership.
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

// Such a leader renews its lease and serves users, but no heartbeat gets through to it: all leases of its
// workers would expire (PROTOCOL, "Leases").
class WorkerReachabilityMonitor {
 public:
  WorkerReachabilityMonitor(net::Transport& transport, store::Election& election,
                            const LeadershipState& leadership, const Settings& settings);

  // Resigns when peers receive the heartbeats instead. Does nothing on a follower.
  net::Task<void> check();

 private:
  // What the peers that responded say.
  struct PeerSurvey {
    bool any_response = false;
    std::uint64_t recent_heartbeats = 0;
  };
  net::Task<PeerSurvey> survey_peers();
  bool should_transfer(const HeartbeatSilence& silence, const PeerSurvey& survey) const;

  net::Transport& transport_;
  store::Election& election_;
  const LeadershipState& leadership_;
  const Settings& settings_;
};

}  // namespace dockdyke::app
