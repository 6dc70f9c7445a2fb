// Cancels jobs (PROTOCOL, "POST /work/{id}/withdraw"). The same code runs on the leader and, when the leader
// does not respond, on any other controller.
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

// A cancellation is stored before it is confirmed; a conflict with a write of the leader is retried.
class CancellationHandler {
 public:
  CancellationHandler(net::Loop& loop, store::StateClient& state, const core::ClusterConfig& config,
                      const LeadershipState& leadership, const PeerNotifier& peers,
                      TerminalJobCache& terminal_jobs, JobReader& jobs);

  net::Task<net::HttpResponse> cancel(JobId id);

 private:
  // The cancellation is stored.
  void cancelled(const JobId& id, std::uint64_t done_count);

  net::Loop& loop_;
  store::StateClient& state_;
  const core::ClusterConfig& config_;
  const LeadershipState& leadership_;
  const PeerNotifier& peers_;
  TerminalJobCache& terminal_jobs_;
  JobReader& jobs_;
};

}  // namespace dockdyke::app
