#include "peer/peer_client.hpp"

#include <string>
#include <utility>

#include "constants.hpp"
#include "net/http_status.hpp"

namespace dockdyke::peer {

namespace {

// The body of messages that say everything by their path. Receivers do not read it.
constexpr const char* kNoContent = "?";

// The body of the response; nothing without one of status 200 within the timeout.
net::Task<std::optional<std::string>> call(net::Transport& transport, net::Address controller,
                                           const char* path, std::string body, double timeout_s) {
  net::CallResult result =
      co_await transport.call(controller, "POST", path, std::move(body), net::seconds(timeout_s));
  if (!result.response || result.response->status != net::http_status::kOk) co_return std::nullopt;
  co_return std::move(result.response->body);
}

}  // namespace

net::Task<std::optional<net::HttpResponse>> forward(net::Transport& transport, net::Address leader,
                                                    ForwardedRequest request, double timeout_s) {
  std::optional<std::string> body =
      co_await call(transport, leader, kForwardPath, encode(request), timeout_s);
  if (!body) co_return std::nullopt;
  auto response = decode_answer(*body);
  if (!response || !response->handled) co_return std::nullopt;
  co_return to_http_response(*std::move(response));
}

net::Task<std::optional<std::vector<PolledJobStatus>>> poll(net::Transport& transport, net::Address leader,
                                                            std::vector<JobId> jobs) {
  std::vector<std::string> names;
  names.reserve(jobs.size());
  for (const auto& id : jobs) names.push_back(id.value);
  std::optional<std::string> body =
      co_await call(transport, leader, kPollPath, encode(names), constants::kLeaderPollTimeoutSeconds);
  if (!body) co_return std::nullopt;
  auto statuses = decode_polled(*body);
  if (!statuses || statuses->size() != jobs.size()) co_return std::nullopt;
  co_return statuses;
}

net::Task<void> notify_cancelled(net::Transport& transport, net::Address controller, JobId job) {
  const std::vector<std::string> jobs{job.value};
  co_await call(transport, controller, kCancelledPath, encode(jobs), constants::kPeerCallTimeoutSeconds);
}

net::Task<void> notify_write_limit(net::Transport& transport, net::Address controller) {
  co_await call(transport, controller, kWriteLimitPath, kNoContent, constants::kPeerCallTimeoutSeconds);
}

net::Task<std::optional<PeerStatus>> fetch_status(net::Transport& transport, net::Address controller) {
  std::optional<std::string> body =
      co_await call(transport, controller, kStatusPath, kNoContent, constants::kPeerCallTimeoutSeconds);
  if (!body) co_return std::nullopt;
  co_return decode_status(*body);
}

}  // namespace dockdyke::peer
