// One controller: its servers, its part in the election, and the term it holds while it leads.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "app/frontend.hpp"
#include "app/leader_term.hpp"
#include "app/report_counter.hpp"
#include "app/settings.hpp"
#include "cloud/cloud_client.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/loop.hpp"
#include "peer/peer.hpp"
#include "store/election.hpp"
#include "store/state_client.hpp"

namespace dockdyke::app {

class Node {
 public:
  Node(net::Loop& loop, net::Transport& transport, Settings settings);

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
  net::Task<std::optional<net::HttpResponse>> try_leader(peer::Forwarded request);
  net::Task<std::optional<std::vector<peer::PolledJob>>> ask_leader(std::vector<JobId> ids);
  // The cancellation is on record.
  void cancelled(const JobId& id);
  net::Task<void> keep_types();
  net::Task<void> keep_company();
  // A leader cut off from its workers gives the lead to a controller to which they have turned.
  net::Task<void> hand_on_if_deaf();
  net::Task<void> log_users();
  void use_types(std::vector<wire::MachineType> types);
  void set_share();
  // The leader's books keep to the lower rate once it is in force.
  void tell_term_write_limit();
  bool healthy() const;
  // For users and workers.
  std::size_t public_connections() const;
  // Answers to workers that may wait for work at the same time.
  std::size_t most_held_answers() const;

  net::Loop& loop_;
  net::Transport& transport_;
  Settings settings_;
  store::StateClient state_;
  cloud::CloudClient cloud_;
  Frontend frontend_;
  store::Election election_;
  std::shared_ptr<LeaderTerm> term_;
  std::optional<std::string> leader_;
  std::uint32_t leader_was_slow_ = 0;  // submissions and cancellations in a row
  net::TimePoint leader_rests_until_;
  ReportCounter workers_heard_;
  std::vector<wire::MachineType> types_;
  // While the store does not answer this controller: it answers others; none of them answers either.
  bool others_reach_state_ = false;
  bool alone_ = false;
  std::unique_ptr<net::HttpServer> public_server_;
  std::unique_ptr<net::HttpServer> internal_server_;
};

}  // namespace dockdyke::app
