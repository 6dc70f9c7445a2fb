// Routes of the other controllers (messages in peer/peer_messages.hpp).
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

// A follower handles neither polls nor forwarded requests.
class PeerRoutes {
 public:
  PeerRoutes(const store::StateClient& state, const LeadershipState& leadership, const WorkerRoutes& workers,
             RateShareManager& rate_shares, SubmissionHandler& submissions, StatusPollHandler& polls,
             CancellationHandler& cancellations);

  // The request must live until the task has ended.
  net::Task<net::HttpResponse> handle(const net::HttpMessage& request);

 private:
  // Whether this controller leads, reaches the state service and hears workers.
  net::HttpResponse status() const;
  // States of jobs for a follower's polls; 503 on a follower.
  net::Task<net::HttpResponse> poll(const net::HttpMessage& request);
  // A cancellation that a peer has stored.
  net::HttpResponse job_cancelled(const net::HttpMessage& request);
  net::HttpResponse write_limit_lowered();
  // A submission or cancellation of a user; not handled on a follower.
  net::Task<net::HttpResponse> forward(const net::HttpMessage& request);

  const store::StateClient& state_;
  const LeadershipState& leadership_;
  const WorkerRoutes& workers_;
  RateShareManager& rate_shares_;
  SubmissionHandler& submissions_;
  StatusPollHandler& polls_;
  CancellationHandler& cancellations_;
};

}  // namespace dockdyke::app
