// Calls of other controllers. The transport outlives every call.
#pragma once

#include <optional>
#include <vector>

#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/task.hpp"
#include "peer/peer_messages.hpp"
#include "wire/ids.hpp"

namespace dockdyke::peer {

// Forwards a user's request to the leader; nothing when it does not respond within the timeout or does not
// lead.
net::Task<std::optional<net::HttpResponse>> forward(net::Transport& transport, net::Address leader,
                                                    ForwardedRequest request, double timeout_s);
// The leader's statuses of these jobs, in their order; nothing when it does not respond within
// constants::kLeaderPollTimeoutSeconds or does not lead.
net::Task<std::optional<std::vector<PolledJobStatus>>> poll(net::Transport& transport, net::Address leader,
                                                            std::vector<JobId> jobs);
// Tells a peer of a cancellation that is stored. Correctness does not depend on its arrival.
net::Task<void> notify_cancelled(net::Transport& transport, net::Address controller, JobId job);
// Tells a peer that the state service has put its announced lower limit of writes in force. Correctness does
// not depend on its arrival.
net::Task<void> notify_write_limit(net::Transport& transport, net::Address controller);
// Nothing when the peer does not respond within constants::kPeerCallTimeoutSeconds.
net::Task<std::optional<PeerStatus>> fetch_status(net::Transport& transport, net::Address controller);

}  // namespace dockdyke::peer
