#include "net/http_client.hpp"

#include "constants.hpp"

namespace dockdyke::net {

std::optional<Socket> HttpClient::reuse(Address to) {
  auto& queue = idle_[to];
  while (!queue.empty()) {
    Idle last = std::move(queue.back());
    queue.pop_back();
    if (loop_.now() - last.since < constants::kIdleClientConnectionTimeout && !last.socket.stale())
      return std::move(last.socket);
  }
  return std::nullopt;
}

void HttpClient::keep(Address to, Socket socket) {
  auto& queue = idle_[to];
  if (queue.size() >= constants::kMaxIdleConnectionsPerHost) queue.pop_front();
  queue.push_back({std::move(socket), loop_.now()});
}

CallResult HttpClient::give_up(Address to) {
  // After a cut the other idle connections hang just the same; each would cost a timeout of its own.
  idle_.erase(to);
  return {};
}

Task<CallResult> HttpClient::call(Address to, std::string method, std::string target, std::string body,
                                  Duration timeout) {
  const TimePoint deadline = loop_.now() + timeout;
  std::optional<Socket> socket = reuse(to);
  if (!socket) {
    socket = co_await Socket::connect(loop_, to, deadline);
    if (!socket) co_return CallResult{std::nullopt, true};
  }
  std::string bytes = method + " " + target + " HTTP/1.1\r\nHost: " + to.text();
  if (!body.empty()) bytes += "\r\nContent-Type: application/msgpack";
  if (!body.empty() || method == "POST") bytes += "\r\nContent-Length: " + std::to_string(body.size());
  bytes += "\r\n\r\n";
  bytes += body;
  const IoStatus sent = co_await socket->write_all(bytes, deadline);
  if (sent != IoStatus::ok) co_return give_up(to);

  HttpParser parser(HttpParser::Kind::response, constants::kMaxResponseBodyBytes);
  while (!parser.complete() && parser.error() == 0) {
    const ReadResult got = co_await socket->read_some(buffer_, deadline);
    if (got.status == IoStatus::timeout) co_return give_up(to);
    if (got.status == IoStatus::closed) {
      parser.finish();
      if (!parser.complete()) co_return give_up(to);
      break;
    }
    parser.feed(std::string_view(buffer_.data(), got.size));
  }
  if (parser.error() != 0) co_return CallResult{};
  CallResult result;
  result.response = parser.take();
  if (result.response->keep_alive) keep(to, std::move(*socket));
  co_return result;
}

}  // namespace dockdyke::net
