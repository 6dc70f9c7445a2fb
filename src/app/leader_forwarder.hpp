// Forwards users' requests from a follower to the leader.
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

// Forwards nothing for a while after several timeouts in a row.
class LeaderForwarder {
 public:
  LeaderForwarder(net::Loop& loop, net::Transport& transport, const store::StateClient& state,
                  const LeadershipState& leadership, const std::vector<PeerController>& peers);

  // The leader's response to a submission or cancellation. Nothing when this controller leads, the leader is
  // unknown, slow or unable to handle the request: then this controller handles it itself.
  net::Task<std::optional<net::HttpResponse>> forward(peer::ForwardedRequest request);
  // The leader's statuses of these jobs, in their order; nothing when there are none to be had in time, or
  // this controller leads.
  net::Task<std::optional<std::vector<peer::PolledJobStatus>>> poll(std::vector<JobId> ids);

 private:
  // Nothing when this controller leads or the leader is unknown.
  std::optional<net::Address> leader_address() const;
  void record_outcome(bool responded);

  net::Loop& loop_;
  net::Transport& transport_;
  const store::StateClient& state_;
  const LeadershipState& leadership_;
  const std::vector<PeerController>& peers_;
  std::uint32_t consecutive_timeouts_ = 0;  // of submissions and cancellations
  net::TimePoint backoff_until_;
};

}  // namespace dockdyke::app
