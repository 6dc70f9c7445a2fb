#include "app/leader_forwarder.hpp"

#include <algorithm>
#include <utility>

#include "constants.hpp"
#include "net/http_status.hpp"
#include "peer/peer_client.hpp"

namespace dockdyke::app {

using net::HttpResponse;
namespace http_status = net::http_status;

LeaderForwarder::LeaderForwarder(net::Loop& loop, net::Transport& transport,
                                 const store::StateClient& state_client, const LeadershipState& leadership,
                                 const std::vector<PeerController>& peers)
    : loop_(loop),
      transport_(transport),
      state_client_(state_client),
      leadership_(leadership),
      peers_(peers) {}

std::optional<net::Address> LeaderForwarder::leader_address() const {
  const auto& host = leadership_.leader_host();
  if (leadership_.leading() || !host) return std::nullopt;
  const auto leader = std::find_if(peers_.begin(), peers_.end(), [&](const PeerController& controller) {
    return controller.host == *host;
  });
  if (leader == peers_.end()) return std::nullopt;
  return leader->address;
}

void LeaderForwarder::record_outcome(bool responded) {
  consecutive_timeouts_ = responded ? 0 : consecutive_timeouts_ + 1;
  if (consecutive_timeouts_ >= constants::kSlowLeaderThreshold)
    backoff_until_ = loop_.now() + net::seconds(constants::kSlowLeaderBackoffSeconds);
}

net::Task<std::optional<HttpResponse>> LeaderForwarder::forward(peer::ForwardedRequest request) {
  const auto address = leader_address();
  if (!address) co_return std::nullopt;
  // During the backoff after consecutive timeouts, requests are not forwarded: if the leader is unreachable,
  // each would wait for the timeout. With a write backlog of its own, a follower forwards even to a slow
  // leader.
  const bool has_write_backlog = state_client_.write_backlog_s() > constants::kForwardBacklogThresholdSeconds;
  if (!has_write_backlog && loop_.now() < backoff_until_) co_return std::nullopt;
  const double timeout_s =
      has_write_backlog ? constants::kSaturatedForwardTimeoutSeconds : constants::kForwardTimeoutSeconds;
  std::optional<HttpResponse> response =
      co_await peer::forward_request(transport_, *address, std::move(request), timeout_s);
  record_outcome(response.has_value());
  // On 503 this controller may still succeed, for example if only the leader cannot reach the state service.
  // On 400 the request has passed this controller's own check, so the leader may run a previous version.
  if (response &&
      (response->status == http_status::kServiceUnavailable || response->status == http_status::kBadRequest))
    co_return std::nullopt;
  co_return response;
}

net::Task<std::optional<std::vector<peer::PolledJobStatus>>> LeaderForwarder::poll(std::vector<JobId> ids) {
  const auto address = leader_address();
  if (!address) co_return std::nullopt;
  std::optional<std::vector<peer::PolledJobStatus>> statuses =
      co_await peer::poll_job_statuses(transport_, *address, std::move(ids));
  co_return statuses;
}

}  // namespace dockdyke::app
