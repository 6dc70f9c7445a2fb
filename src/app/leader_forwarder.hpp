// Forwards user requests from a follower to the leader.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "app/leadership_state.hpp"
#include "app/settings.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/loop.hpp"
#include "net/task.hpp"
#include "peer/peer_messages.hpp"
#include "store/state_client.hpp"

namespace dockdyke::app {

// Stops forwarding submissions and cancellations for a backoff period after several consecutive timeouts,
// unless this controller has a long write backlog.
class LeaderForwarder {
 public:
  LeaderForwarder(net::Loop& loop, net::Transport& transport, const store::StateClient& state_client,
                  const LeadershipState& leadership, const std::vector<PeerController>& peers);

  // Returns the leader's response to a submission or cancellation. Returns std::nullopt if this controller
  // leads or the leader is unknown, slow or unable to handle the request; the caller then handles it locally.
  net::Task<std::optional<net::HttpResponse>> forward(peer::ForwardedRequest request);
  // Returns the leader's statuses of the jobs in the order of `ids`, or std::nullopt if the leader is unknown
  // or does not respond in time, or this controller leads.
  net::Task<std::optional<std::vector<peer::PolledJobStatus>>> poll(std::vector<JobId> ids);

 private:
  // Returns std::nullopt if this controller leads or the leader is unknown.
  std::optional<net::Address> leader_address() const;
  // Counts consecutive timeouts and starts the backoff when there are too many.
  void record_outcome(bool responded);

  net::Loop& loop_;
  net::Transport& transport_;
  const store::StateClient& state_client_;
  const LeadershipState& leadership_;
  const std::vector<PeerController>& peers_;
  std::uint32_t consecutive_timeouts_ = 0;  // of submissions and cancellations
  net::TimePoint backoff_until_;
};

}  // namespace dockdyke::app
