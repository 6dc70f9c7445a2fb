// Routes of users and of the load balancer's health checks (PROTOCOL, "Users -> controller nodes").
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

// On a follower, submissions and cancellations are forwarded to the leader first.
class UserRoutes {
 public:
  UserRoutes(const MachineTypeCatalog& catalog, const PeerMonitor& peers, LeaderForwarder& forwarder,
             SubmissionHandler& submissions, StatusPollHandler& polls, CancellationHandler& cancellations);

  // The request must live until the task has ended.
  net::Task<net::HttpResponse> handle(const net::HttpMessage& request);

 private:
  net::HttpResponse health(const net::HttpMessage& request) const;
  net::Task<net::HttpResponse> submit(const net::HttpMessage& request);
  // `target`: the path behind "/work/".
  net::Task<net::HttpResponse> handle_job(const net::HttpMessage& request, std::string_view target);
  net::Task<net::HttpResponse> cancel(JobId id);

  const MachineTypeCatalog& catalog_;
  const PeerMonitor& peers_;
  LeaderForwarder& forwarder_;
  SubmissionHandler& submissions_;
  StatusPollHandler& polls_;
  CancellationHandler& cancellations_;
};

}  // namespace dockdyke::app
