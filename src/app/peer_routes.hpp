// HTTP routes for the other controllers; peer/peer_messages.hpp defines the messages.
#pragma once

#include "app/cancellation_handler.hpp"
#include "app/leadership_state.hpp"
#include "app/rate_share_manager.hpp"
#include "app/status_poll_handler.hpp"
#include "app/submission_handler.hpp"
#include "app/worker_routes.hpp"
#include "net/http_server.hpp"
#include "net/task.hpp"
#include "store/state_client.hpp"

namespace dockdyke::app {

// Dispatches peer requests to their handlers. A follower handles neither polls nor forwarded requests.
class PeerRoutes {
 public:
  PeerRoutes(const store::StateClient& state_client, const LeadershipState& leadership,
             const WorkerRoutes& worker_routes, RateShareManager& rate_shares, SubmissionHandler& submissions,
             StatusPollHandler& polls, CancellationHandler& cancellations);

  // `request` must outlive the returned task.
  net::Task<net::HttpResponse> handle(const net::HttpMessage& request);

 private:
  // Responds with the leadership, the reachability of the state service and the number of recent heartbeats.
  net::HttpResponse status() const;
  // Responds with the statuses of the jobs in a peer's poll, or 503 on a follower.
  net::Task<net::HttpResponse> poll(const net::HttpMessage& request);
  // Passes cancellations stored by a peer to the leader's term.
  net::HttpResponse handle_job_cancelled(const net::HttpMessage& request);
  // Lowers the local write limit because a peer found that the state service enforces its announced limit.
  net::HttpResponse handle_write_limit_lowered();
  // Handles a user's submission or cancellation forwarded by a peer; a follower responds with an empty
  // ForwardedResponse.
  net::Task<net::HttpResponse> forward(const net::HttpMessage& request);

  const store::StateClient& state_client_;
  const LeadershipState& leadership_;
  const WorkerRoutes& worker_routes_;
  RateShareManager& rate_shares_;
  SubmissionHandler& submissions_;
  StatusPollHandler& polls_;
  CancellationHandler& cancellations_;
};

}  // namespace dockdyke::app
