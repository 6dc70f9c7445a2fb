#include "peer/peer_client.hpp"

#include <string>
#include <utility>

#include "constants.hpp"
#include "net/http_status.hpp"

namespace dockdyke::peer {

namespace {

// The body of messages that carry no data. Receivers do not read it.
constexpr const char* kUnusedBody = "?";

// Returns the body of the response, or std::nullopt without a response of status 200 within the timeout.
net::Task<std::optional<std::string>> call(net::Transport& transport, net::Address controller,
                                           const char* path, std::string body, double timeout_s) {
  net::CallResult result =
      co_await transport.call(controller, "POST", path, std::move(body), net::seconds(timeout_s));
  if (!result.response || result.response->status != net::http_status::kOk) co_return std::nullopt;
  co_return std::move(result.response->body);
}

}  // namespace

net::Task<std::optional<net::HttpResponse>> forward_request(net::Transport& transport, net::Address leader,
                                                            ForwardedRequest request, double timeout_s) {
  std::optional<std::string> body =
      co_await call(transport, leader, kForwardPath, encode(request), timeout_s);
  if (!body) co_return std::nullopt;
  auto response = decode_forwarded_response(*body);
  if (!response || !response->handled) co_return std::nullopt;
  co_return to_http_response(*std::move(response));
}

net::Task<std::optional<std::vector<PolledJobStatus>>> poll_job_statuses(net::Transport& transport,
                                                                         net::Address leader,
                                                                         std::vector<JobId> jobs) {
  std::vector<std::string> job_ids;
  job_ids.reserve(jobs.size());
  for (const auto& id : jobs) job_ids.push_back(id.value);
  std::optional<std::string> body =
      co_await call(transport, leader, kPollPath, encode(job_ids), constants::kLeaderPollTimeoutSeconds);
  if (!body) co_return std::nullopt;
  auto statuses = decode_job_statuses(*body);
  if (!statuses || statuses->size() != jobs.size()) co_return std::nullopt;
  co_return statuses;
}

net::Task<void> notify_job_cancelled(net::Transport& transport, net::Address controller, JobId job) {
  const std::vector<std::string> job_ids{job.value};
  co_await call(transport, controller, kCancelledPath, encode(job_ids), constants::kPeerCallTimeoutSeconds);
}

net::Task<void> notify_write_limit_lowered(net::Transport& transport, net::Address controller) {
  co_await call(transport, controller, kWriteLimitPath, kUnusedBody, constants::kPeerCallTimeoutSeconds);
}

net::Task<std::optional<PeerStatus>> fetch_status(net::Transport& transport, net::Address controller) {
  std::optional<std::string> body =
      co_await call(transport, controller, kStatusPath, kUnusedBody, constants::kPeerCallTimeoutSeconds);
  if (!body) co_return std::nullopt;
  co_return decode_peer_status(*body);
}

}  // namespace dockdyke::peer
