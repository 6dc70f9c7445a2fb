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

// Returns std::nullopt if the body is malformed.
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

net::Task<HttpResponse> WorkerRoutes::handle_heartbeat(const HttpMessage& request) {
  if (request.method != "POST") co_return empty_response(http_status::kMethodNotAllowed);
  auto heartbeat = parse_heartbeat(request.body);
  if (!heartbeat) co_return empty_response(http_status::kBadRequest);
  heartbeat_counter_.record(loop_.now());
  const auto term = leadership_.term();  // keeps the term alive until the response is ready
  if (!term) co_return redirect_to_leader();
  HttpResponse response = co_await term->handle_heartbeat(*std::move(heartbeat));
  co_return response;
}

HttpResponse WorkerRoutes::redirect_to_leader() const {
  const auto& leader = leadership_.leader_host();
  // A redirect to this controller's own host would make the worker retry here.
  const bool leader_elsewhere = leader && *leader != own_host_;
  return msgpack_response(http_status::kMisdirectedRequest,
                          leader_elsewhere ? wire::redirect_response(*leader) : wire::Json::object());
}

}  // namespace dockdyke::app
