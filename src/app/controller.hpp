// Composition root of a controller process: creates its components and starts the servers and the election.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "app/cancellation_handler.hpp"
#include "app/job_feasibility.hpp"
#include "app/job_reader.hpp"
#include "app/job_status_reader.hpp"
#include "app/leader_forwarder.hpp"
#include "app/leadership_state.hpp"
#include "app/machine_type_catalog.hpp"
#include "app/machine_type_refresher.hpp"
#include "app/peer_monitor.hpp"
#include "app/peer_notifier.hpp"
#include "app/peer_routes.hpp"
#include "app/rate_share_manager.hpp"
#include "app/settings.hpp"
#include "app/status_poll_handler.hpp"
#include "app/submission_handler.hpp"
#include "app/terminal_job_cache.hpp"
#include "app/user_routes.hpp"
#include "app/worker_routes.hpp"
#include "cloud/cloud_client.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/loop.hpp"
#include "store/election.hpp"
#include "store/state_client.hpp"

namespace dockdyke::app {

// Must outlive the event loop's run, since its detached coroutines refer to it.
class Controller {
 public:
  Controller(net::Loop& loop, net::Transport& transport, Settings settings);

  // Starts the background tasks and, if `serve` is set, the HTTP servers. Tests call the handlers directly.
  void start(bool serve = true);

  // Handles a request on the public port, which serves users and workers.
  net::Task<net::HttpResponse> handle_public(net::HttpMessage request);
  // Handles a request on the internal port, which serves the peers.
  net::Task<net::HttpResponse> handle_internal(net::HttpMessage request);

  bool leading() const { return leadership_.leading(); }
  // Returns the leader's host name, or std::nullopt if it is unknown.
  const std::optional<std::string>& leader() const { return leadership_.leader_host(); }

 private:
  store::Election::Listener election_listener();
  void begin_term(store::Leadership leadership, net::TimePoint requested_at);
  void end_term(store::LeadershipEndReason reason);
  void start_servers();
  net::Task<void> log_user_requests();
  // Returns the limit of simultaneous connections on the public port.
  std::size_t max_public_connections() const;
  // Returns how many responses to workers may be held at the same time.
  std::size_t max_held_responses() const;

  net::Loop& loop_;
  net::Transport& transport_;
  Settings settings_;
  store::StateClient state_;
  cloud::CloudClient cloud_;

  LeadershipState leadership_;
  PeerNotifier peer_notifier_;
  RateShareManager rate_shares_;
  store::Election election_;
  PeerMonitor peer_monitor_;
  LeaderForwarder forwarder_;

  MachineTypeCatalog machine_types_;
  MachineTypeRefresher machine_type_refresher_;

  TerminalJobCache terminal_jobs_;
  JobReader job_reader_;
  JobStatusReader job_status_reader_;
  JobFeasibility feasibility_;
  SubmissionHandler submissions_;
  StatusPollHandler polls_;
  CancellationHandler cancellations_;

  UserRoutes user_routes_;
  WorkerRoutes worker_routes_;
  PeerRoutes peer_routes_;
  std::unique_ptr<net::HttpServer> public_server_;
  std::unique_ptr<net::HttpServer> internal_server_;
};

}  // namespace dockdyke::app
