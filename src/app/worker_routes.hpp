// Routes of workers (PROTOCOL, "Workers -> controller nodes").
#pragma once

#include <cstdint>
#include <string>

#include "app/heartbeat_counter.hpp"
#include "app/leadership_state.hpp"
#include "net/http_server.hpp"
#include "net/loop.hpp"
#include "net/task.hpp"

namespace dockdyke::app {

// Only the leader responds with 200.
class WorkerRoutes {
 public:
  // `own_host`: this controller's host name.
  WorkerRoutes(const net::Loop& loop, const LeadershipState& leadership, std::string own_host);

  // Handles a heartbeat on the leader; a follower redirects the worker to the leader, if it is known. The
  // request must live until the task has ended.
  net::Task<net::HttpResponse> heartbeat(const net::HttpMessage& request);
  // Heartbeats that arrived here lately, whatever became of them.
  std::uint64_t recent_heartbeats() const { return heartbeat_counter_.recent_count(loop_.now()); }

 private:
  net::HttpResponse redirect() const;

  const net::Loop& loop_;
  const LeadershipState& leadership_;
  std::string own_host_;
  HeartbeatCounter heartbeat_counter_;
};

}  // namespace dockdyke::app
