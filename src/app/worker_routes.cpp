#include "app/worker_routes.hpp"

#include <spdlog/spdlog.h>

#include <optional>
#include <utility>

#include "app/responses.hpp"
#include "net/http_status.hpp"

namespace dockdyke::app {

using net::HttpMessage;
using net::HttpResponse;
namespace http_status = net::http_status;

namespace {

// Nothing where the body is malformed.
std::optional<wire::Heartbeat> parse_heartbeat(const std::string& body) {
  const auto value = wire::decode(body);
  if (!value) return std::nullopt;
  try {
    return wire::parse_heartbeat(*value);
  } catch (const wire::ParseError& error) {
    spdlog::debug("event=malformed_heartbeat error=\"{}\"", error.what());
    return std::nullopt;
  }
}

}  // namespace

WorkerRoutes::WorkerRoutes(const net::Loop& loop, const LeadershipState& leadership, std::string own_host)
    : loop_(loop), leadership_(leadership), own_host_(std::move(own_host)) {}

net::Task<HttpResponse> WorkerRoutes::heartbeat(const HttpMessage& request) {
  if (request.method != "POST") co_return empty_response(http_status::kMethodNotAllowed);
  auto heartbeat = parse_heartbeat(request.body);
  if (!heartbeat) co_return empty_response(http_status::kBadRequest);
  heartbeat_counter_.record(loop_.now());
  const auto term = leadership_.term();  // kept alive for the response, also when it ends meanwhile
  if (!term) co_return redirect();
  HttpResponse response = co_await term->heartbeat(*std::move(heartbeat));
  co_return response;
}

HttpResponse WorkerRoutes::redirect() const {
  const auto& leader = leadership_.leader_host();
  // Its own name would send the worker back here.
  const bool leader_elsewhere = leader && *leader != own_host_;
  return json_response(http_status::kMisdirectedRequest,
                       leader_elsewhere ? wire::redirect_response(*leader) : wire::Json::object());
}

}  // namespace dockdyke::app
