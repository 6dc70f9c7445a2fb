// Calls to other controllers. The transport must outlive every call.
#pragma once

#include <optional>
#include <vector>

#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/task.hpp"
#include "peer/peer_messages.hpp"
#include "wire/ids.hpp"

namespace dockdyke::peer {

// Forwards a user's request to the leader. Returns std::nullopt if the receiver does not respond within the
// timeout or is not the leader.
net::Task<std::optional<net::HttpResponse>> forward_request(net::Transport& transport, net::Address leader,
                                                            ForwardedRequest request, double timeout_s);
// Returns the statuses of the jobs in the order of `jobs`, or std::nullopt if the receiver does not respond
// within constants::kLeaderPollTimeoutSeconds or is not the leader.
net::Task<std::optional<std::vector<PolledJobStatus>>> poll_job_statuses(net::Transport& transport,
                                                                         net::Address leader,
                                                                         std::vector<JobId> jobs);
// Notifies a peer of a cancellation that is durable. Correctness does not depend on its delivery.
net::Task<void> notify_job_cancelled(net::Transport& transport, net::Address controller, JobId job);
// Notifies a peer that the state service enforces its announced lower write limit. Correctness does not
// depend on its delivery.
net::Task<void> notify_write_limit_lowered(net::Transport& transport, net::Address controller);
// Returns the status of a peer, or std::nullopt if it does not respond within
// constants::kPeerCallTimeoutSeconds.
net::Task<std::optional<PeerStatus>> fetch_status(net::Transport& transport, net::Address controller);

}  // namespace dockdyke::peer
