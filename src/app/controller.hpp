// One controller: its servers, its part in the election, and the term it holds while it leads.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "app/heartbeat_counter.hpp"
#include "app/job_request_handler.hpp"
#include "app/leader_term.hpp"
#include "app/settings.hpp"
#include "cloud/cloud_client.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/loop.hpp"
#include "peer/peer.hpp"
#include "store/election.hpp"
#include "store/state_client.hpp"

namespace dockdyke::app {

class Controller {
 public:
  Controller(net::Loop& loop, net::Transport& transport, Settings settings);

  // Starts the loops and, unless a test calls the handlers itself, the servers.
  void start(bool serve = true);

  net::Task<net::HttpResponse> handle_public(net::HttpMessage request);
  net::Task<net::HttpResponse> handle_internal(net::HttpMessage request);
  bool leading() const { return term_ != nullptr; }
  const std::optional<std::string>& leader() const { return leader_; }

 private:
  net::Task<net::HttpResponse> handle_job_request(const net::HttpMessage& request);
  net::Task<net::HttpResponse> handle_report(const net::HttpMessage& request);
  std::optional<net::Address> leader_address() const;
  net::Task<std::optional<net::HttpResponse>> forward_to_leader(peer::ForwardedRequest request);
  net::Task<std::optional<std::vector<peer::PolledJobStatus>>> poll_leader(std::vector<JobId> ids);
  // The cancellation is on record.
  void cancelled(const JobId& id);
  net::Task<void> refresh_machine_types();
  net::Task<void> monitor_peers();
  // A leader cut off from its workers gives the lead to a controller to which they have turned.
  net::Task<void> transfer_leadership_if_workers_unreachable();
  net::Task<void> log_user_requests();
  void adopt_machine_types(std::vector<wire::MachineType> types);
  void apply_rate_shares();
  // The leader's books keep to the lower rate once it is in force.
  void notify_term_of_write_limit();
  bool healthy() const;
  // For users and workers.
  std::size_t public_connections() const;
  // Answers to workers that may wait for work at the same time.
  std::size_t max_held_responses() const;

  net::Loop& loop_;
  net::Transport& transport_;
  Settings settings_;
  store::StateClient state_;
  cloud::CloudClient cloud_;
  JobRequestHandler job_requests_;
  store::Election election_;
  std::shared_ptr<LeaderTerm> term_;
  std::optional<std::string> leader_;
  std::uint32_t consecutive_slow_replies_ = 0;  // submissions and cancellations in a row
  net::TimePoint leader_backoff_until_;
  HeartbeatCounter recent_heartbeats_;
  std::vector<wire::MachineType> types_;
  // While the store does not answer this controller: it answers others; none of them answers either.
  bool peers_reach_state_ = false;
  bool isolated_ = false;
  std::unique_ptr<net::HttpServer> public_server_;
  std::unique_ptr<net::HttpServer> internal_server_;
};

}  // namespace dockdyke::app
