// HTTP routes for users and for health checks of the load balancer (PROTOCOL, "Users -> controller nodes").
#pragma once

#include <string_view>

#include "app/cancellation_handler.hpp"
#include "app/leader_forwarder.hpp"
#include "app/machine_type_catalog.hpp"
#include "app/peer_monitor.hpp"
#include "app/status_poll_handler.hpp"
#include "app/submission_handler.hpp"
#include "net/http_server.hpp"
#include "net/task.hpp"

namespace dockdyke::app {

// Dispatches user requests to their handlers. A follower first tries to forward submissions and cancellations
// to the leader.
class UserRoutes {
 public:
  UserRoutes(const MachineTypeCatalog& catalog, const PeerMonitor& peer_monitor, LeaderForwarder& forwarder,
             SubmissionHandler& submissions, StatusPollHandler& polls, CancellationHandler& cancellations);

  // `request` must outlive the returned task.
  net::Task<net::HttpResponse> handle(const net::HttpMessage& request);

 private:
  net::HttpResponse health(const net::HttpMessage& request) const;
  net::Task<net::HttpResponse> submit(const net::HttpMessage& request);
  // `target` is the path after "/work/".
  net::Task<net::HttpResponse> handle_job(const net::HttpMessage& request, std::string_view target);
  net::Task<net::HttpResponse> cancel(JobId id);

  const MachineTypeCatalog& catalog_;
  const PeerMonitor& peer_monitor_;
  LeaderForwarder& forwarder_;
  SubmissionHandler& submissions_;
  StatusPollHandler& polls_;
  CancellationHandler& cancellations_;
};

}  // namespace dockdyke::app
