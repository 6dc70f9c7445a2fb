#include "app/user_routes.hpp"

#include <optional>
#include <string>
#include <utility>

#include "app/responses.hpp"
#include "net/http_status.hpp"

namespace dockdyke::app {

using net::HttpMessage;
using net::HttpResponse;
namespace http_status = net::http_status;
namespace path = wire::path;

UserRoutes::UserRoutes(const MachineTypeCatalog& catalog, const PeerMonitor& peer_monitor,
                       LeaderForwarder& forwarder, SubmissionHandler& submissions, StatusPollHandler& polls,
                       CancellationHandler& cancellations)
    : catalog_(catalog),
      peer_monitor_(peer_monitor),
      forwarder_(forwarder),
      submissions_(submissions),
      polls_(polls),
      cancellations_(cancellations) {}

net::Task<HttpResponse> UserRoutes::handle(const HttpMessage& request) {
  auto target = request.path();
  if (target == path::kHealth) co_return health(request);
  if (!target.starts_with(path::kJobs)) co_return empty_response(http_status::kNotFound);
  target.remove_prefix(path::kJobs.size());
  if (target.empty()) {
    HttpResponse response = co_await submit(request);
    co_return response;
  }
  if (!target.starts_with('/')) co_return empty_response(http_status::kNotFound);
  target.remove_prefix(1);
  HttpResponse response = co_await handle_job(request, target);
  co_return response;
}

HttpResponse UserRoutes::health(const HttpMessage& request) const {
  if (request.method != "GET") return empty_response(http_status::kMethodNotAllowed);
  // Unhealthy if the state service is unreachable from here and either a peer reaches it or this controller
  // reaches no peer. In an outage of the state service for all controllers, all stay healthy.
  const bool healthy = catalog_.known() && !peer_monitor_.peers_preferred();
  return healthy ? empty_response(http_status::kOk) : service_unavailable();
}

net::Task<HttpResponse> UserRoutes::submit(const HttpMessage& request) {
  if (request.method != "POST") co_return empty_response(http_status::kMethodNotAllowed);
  auto rejection = submissions_.check_admission(request.body);
  if (rejection) co_return *std::move(rejection);
  peer::ForwardedRequest forwarded;
  forwarded.kind = peer::RequestKind::submit;
  forwarded.body = request.body;
  std::optional<HttpResponse> leader_response = co_await forwarder_.forward(std::move(forwarded));
  if (leader_response) co_return *std::move(leader_response);
  HttpResponse response = co_await submissions_.submit(request.body);
  co_return response;
}

net::Task<HttpResponse> UserRoutes::handle_job(const HttpMessage& request, std::string_view target) {
  const bool is_cancellation = target.ends_with(path::kCancel);
  if (is_cancellation) target.remove_suffix(path::kCancel.size());
  if (!wire::is_job_id(target)) co_return empty_response(http_status::kNotFound);
  if (request.method != (is_cancellation ? "POST" : "GET"))
    co_return empty_response(http_status::kMethodNotAllowed);
  JobId id{std::string(target)};
  if (is_cancellation) {
    HttpResponse response = co_await cancel(std::move(id));
    co_return response;
  }
  HttpResponse response = co_await polls_.poll(std::move(id));
  co_return response;
}

net::Task<HttpResponse> UserRoutes::cancel(JobId id) {
  peer::ForwardedRequest forwarded;
  forwarded.kind = peer::RequestKind::cancel;
  forwarded.job = id.value;
  std::optional<HttpResponse> leader_response = co_await forwarder_.forward(std::move(forwarded));
  if (leader_response) co_return *std::move(leader_response);
  HttpResponse response = co_await cancellations_.cancel(std::move(id));
  co_return response;
}

}  // namespace dockdyke::app
