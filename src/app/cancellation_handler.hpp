// Handles job cancellations (PROTOCOL, "POST /work/{id}/withdraw"). Runs on the leader and, if the leader
// does not respond, on followers.
#pragma once

#include <cstdint>

#include "app/job_reader.hpp"
#include "app/leadership_state.hpp"
#include "app/peer_notifier.hpp"
#include "app/terminal_job_cache.hpp"
#include "core/config.hpp"
#include "net/http_server.hpp"
#include "net/loop.hpp"
#include "net/task.hpp"
#include "store/state_client.hpp"

namespace dockdyke::app {

// Stores each cancellation before responding to the user. Retries if the transaction conflicts with a write
// of the leader.
class CancellationHandler {
 public:
  CancellationHandler(net::Loop& loop, store::StateClient& state_client, const core::ClusterConfig& config,
                      const LeadershipState& leadership, const PeerNotifier& peer_notifier,
                      TerminalJobCache& terminal_jobs, JobReader& job_reader);

  net::Task<net::HttpResponse> cancel(JobId id);

 private:
  // Logs and caches a stored cancellation, then notifies this leader's term or, on a follower, all peers.
  void publish_cancellation(const JobId& id, std::uint64_t done_count);

  net::Loop& loop_;
  store::StateClient& state_client_;
  const core::ClusterConfig& config_;
  const LeadershipState& leadership_;
  const PeerNotifier& peer_notifier_;
  TerminalJobCache& terminal_jobs_;
  JobReader& job_reader_;
};

}  // namespace dockdyke::app
