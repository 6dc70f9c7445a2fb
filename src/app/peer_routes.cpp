#include "app/peer_routes.hpp"

#include <optional>
#include <utility>
#include <vector>

#include "app/responses.hpp"
#include "net/http_status.hpp"
#include "peer/peer_messages.hpp"

namespace dockdyke::app {

using net::HttpMessage;
using net::HttpResponse;
namespace http_status = net::http_status;

PeerRoutes::PeerRoutes(const store::StateClient& state_client, const LeadershipState& leadership,
                       const WorkerRoutes& worker_routes, RateShareManager& rate_shares,
                       SubmissionHandler& submissions, StatusPollHandler& polls,
                       CancellationHandler& cancellations)
    : state_client_(state_client),
      leadership_(leadership),
      worker_routes_(worker_routes),
      rate_shares_(rate_shares),
      submissions_(submissions),
      polls_(polls),
      cancellations_(cancellations) {}

net::Task<HttpResponse> PeerRoutes::handle(const HttpMessage& request) {
  if (request.method != "POST") co_return empty_response(http_status::kMethodNotAllowed);
  const auto target = request.path();
  if (target == peer::kStatusPath) co_return status();
  if (target == peer::kCancelledPath) co_return handle_job_cancelled(request);
  if (target == peer::kWriteLimitPath) co_return handle_write_limit_lowered();
  if (target == peer::kPollPath) {
    HttpResponse response = co_await poll(request);
    co_return response;
  }
  if (target == peer::kForwardPath) {
    HttpResponse response = co_await forward(request);
    co_return response;
  }
  co_return empty_response(http_status::kNotFound);
}

HttpResponse PeerRoutes::status() const {
  peer::PeerStatus status;
  status.leading = leadership_.leading();
  status.token = leadership_.leading() ? leadership_.term()->token().value : 0;
  status.state_reachable = !state_client_.unreachable();
  status.recent_heartbeats = worker_routes_.recent_heartbeats();
  return {http_status::kOk, peer::encode(status), std::nullopt};
}

net::Task<HttpResponse> PeerRoutes::poll(const HttpMessage& request) {
  auto raw_ids = peer::decode_job_ids(request.body);
  if (!raw_ids) co_return empty_response(http_status::kBadRequest);
  if (!leadership_.leading()) co_return service_unavailable();
  std::vector<JobId> ids;
  ids.reserve(raw_ids->size());
  for (auto& raw_id : *raw_ids) ids.emplace_back(std::move(raw_id));
  const std::vector<peer::PolledJobStatus> statuses = co_await polls_.poll_for_peer(std::move(ids));
  co_return HttpResponse{http_status::kOk, peer::encode(statuses), std::nullopt};
}

HttpResponse PeerRoutes::handle_job_cancelled(const HttpMessage& request) {
  auto raw_ids = peer::decode_job_ids(request.body);
  if (!raw_ids) return empty_response(http_status::kBadRequest);
  if (leadership_.leading())
    for (auto& raw_id : *raw_ids) leadership_.term()->push(core::JobRecordDeleted{JobId(std::move(raw_id))});
  return empty_response(http_status::kOk);
}

HttpResponse PeerRoutes::handle_write_limit_lowered() {
  rate_shares_.lower_write_limit();
  return empty_response(http_status::kOk);
}

net::Task<HttpResponse> PeerRoutes::forward(const HttpMessage& request) {
  auto forwarded = peer::decode_forwarded_request(request.body);
  if (!forwarded) co_return empty_response(http_status::kBadRequest);
  if (!leadership_.leading())
    co_return HttpResponse{http_status::kOk, peer::encode(peer::ForwardedResponse{}), std::nullopt};
  HttpResponse response;
  if (forwarded->kind == peer::RequestKind::submit) {
    response = co_await submissions_.submit(std::move(forwarded->body));
  } else {
    response = co_await cancellations_.cancel(JobId(std::move(forwarded->job)));
  }
  co_return HttpResponse{http_status::kOk, peer::encode(peer::to_forwarded_response(response)), std::nullopt};
}

}  // namespace dockdyke::app
