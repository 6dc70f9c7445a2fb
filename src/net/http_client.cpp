#include "net/http_client.hpp"

#include <string_view>
#include <utility>

#include "net/http_message.hpp"

namespace dockdyke::net {

std::optional<Socket> HttpClient::take_idle_connection(Address to) {
  auto& connections = idle_connections_[to];
  while (!connections.empty()) {
    IdleConnection latest = std::move(connections.back());
    connections.pop_back();
    const bool recent = loop_.now() - latest.idle_since < constants::kIdleClientConnectionTimeout;
    if (recent && !latest.socket.stale()) return std::move(latest.socket);
  }
  return std::nullopt;
}

void HttpClient::add_idle_connection(Address to, Socket socket) {
  auto& connections = idle_connections_[to];
  if (connections.size() >= constants::kMaxIdleConnectionsPerHost) connections.pop_front();
  connections.push_back({std::move(socket), loop_.now()});
}

CallResult HttpClient::fail_call(Address to) {
  // After a network failure the other idle connections are likely broken as well, and each further call that
  // used one would run into its own timeout.
  idle_connections_.erase(to);
  return {};
}

Task<std::optional<Socket>> HttpClient::open_connection(Address to, TimePoint deadline) {
  std::optional<Socket> idle = take_idle_connection(to);
  if (idle) co_return idle;
  ConnectResult connection = co_await Socket::connect(loop_, to, deadline);
  co_return std::move(connection.socket);
}

Task<bool> HttpClient::read_response(Socket& socket, HttpParser& parser, TimePoint deadline) {
  while (!parser.complete() && parser.error() == 0) {
    const IoResult received = co_await socket.read_some(buffer_, deadline);
    if (received.status == IoStatus::timeout) co_return false;
    if (!received) {
      // A response without a length ends when the connection ends, whether it is closed or reset.
      parser.finish();
      co_return parser.complete();
    }
    parser.feed(std::string_view(buffer_.data(), received.size));
  }
  co_return true;
}

Task<CallResult> HttpClient::call(Address to, std::string method, std::string target, std::string body,
                                  Duration timeout) {
  const TimePoint deadline = loop_.now() + timeout;
  std::optional<Socket> socket = co_await open_connection(to, deadline);
  if (!socket) co_return CallResult{std::nullopt, true};
  const std::string request = serialize_request(method, target, to.text(), body);
  const IoResult sent = co_await socket->write_all(request, deadline);
  if (!sent) co_return fail_call(to);

  HttpParser parser(HttpParser::Kind::response, constants::kMaxResponseBodyBytes);
  const bool received = co_await read_response(*socket, parser, deadline);
  if (!received) co_return fail_call(to);
  if (parser.error() != 0) co_return CallResult{};
  CallResult result;
  result.response = parser.take_message();
  if (result.response->keep_alive) add_idle_connection(to, std::move(*socket));
  co_return result;
}

}  // namespace dockdyke::net
