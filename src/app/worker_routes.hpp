// HTTP routes for workers (PROTOCOL, "Workers -> controller nodes").
#pragma once

#include <cstdint>
#include <string>

#include "app/heartbeat_counter.hpp"
#include "app/leadership_state.hpp"
#include "net/http_server.hpp"
#include "net/loop.hpp"
#include "net/task.hpp"

namespace dockdyke::app {

// Passes heartbeats to the leader's term. A follower responds with 421 and the host name of the leader.
class WorkerRoutes {
 public:
  // `own_host` is this controller's host name.
  WorkerRoutes(const net::Loop& loop, const LeadershipState& leadership, std::string own_host);

  // Responds to a heartbeat. `request` must outlive the returned task.
  net::Task<net::HttpResponse> handle_heartbeat(const net::HttpMessage& request);
  // Returns the number of well-formed heartbeats in the last constants::kHeartbeatCountWindowSeconds seconds,
  // including redirected ones.
  std::uint64_t recent_heartbeats() const { return heartbeat_counter_.recent_count(loop_.now()); }

 private:
  // Responds with 421 and the host name of the leader, or an empty map if the leader is unknown.
  net::HttpResponse redirect_to_leader() const;

  const net::Loop& loop_;
  const LeadershipState& leadership_;
  std::string own_host_;
  HeartbeatCounter heartbeat_counter_;
};

}  // namespace dockdyke::app
