// Tests the HTTP server on loopback sockets, in particular with more peers than allowed connections.
#include "net/http_server.hpp"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "net/file_descriptor.hpp"
#include "net/http_client.hpp"
#include "net/http_status.hpp"
#include "net/loop.hpp"

namespace dockdyke::testing {

namespace {

// Returns the loopback address with a port that is currently unused.
net::Address unused_loopback_address() {
  const net::FileDescriptor probe(::socket(AF_INET, SOCK_STREAM, 0));
  sockaddr_in local{};
  local.sin_family = AF_INET;
  local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof local;
  EXPECT_EQ(::bind(probe.get(), reinterpret_cast<sockaddr*>(&local), size), 0);
  EXPECT_EQ(::getsockname(probe.get(), reinterpret_cast<sockaddr*>(&local), &size), 0);
  return {INADDR_LOOPBACK, ntohs(local.sin_port)};
}

class HttpServerTest : public ::testing::Test {
 protected:
  static constexpr std::size_t kMaxConnections = 8;

  HttpServerTest()
      : server(loop, address, kMaxConnections, [this](net::HttpMessage) -> net::Task<net::HttpResponse> {
          co_await loop.sleep(std::chrono::milliseconds(2));
          co_return net::HttpResponse{};
        }) {
    server.start();
  }

  // Sends requests at intervals over a client of this peer alone, which keeps its connection open if the
  // server allows it.
  net::Task<void> send_requests(std::size_t peer, int count) {
    for (int i = 0; i < count; ++i) {
      net::CallResult result = co_await clients[peer]->call(address, "GET", "/", {}, std::chrono::seconds(2));
      if (result.response && result.response->status == net::http_status::kOk) ++ok_responses[peer];
      co_await loop.sleep(std::chrono::milliseconds(100));
    }
    ++finished_peers;
  }

  // Sends the bytes on a new connection and collects the response until the server closes the connection.
  net::Task<void> send_raw(std::string bytes) {
    const auto deadline = loop.now() + std::chrono::seconds(5);
    net::ConnectResult connection = co_await net::Socket::connect(loop, address, deadline);
    if (!connection.socket) co_return;
    const net::IoResult sent = co_await connection.socket->write_all(bytes, deadline);
    bool open = static_cast<bool>(sent);
    std::array<char, 256> buffer{};
    while (open) {
      const net::IoResult received = co_await connection.socket->read_some(buffer, deadline);
      raw_response.append(buffer.data(), received.size);
      open = static_cast<bool>(received);
    }
    ++finished_peers;
  }
  void run_until_finished(std::size_t count) {
    const auto end = net::Clock::now() + std::chrono::seconds(10);
    while (finished_peers < count && net::Clock::now() < end) loop.run_once(std::chrono::milliseconds(5));
    EXPECT_EQ(finished_peers, count);
  }

  void run_peers(std::size_t peer_count, int requests_per_peer) {
    ok_responses.assign(peer_count, 0);
    for (std::size_t peer = 0; peer < peer_count; ++peer) {
      clients.push_back(std::make_unique<net::HttpClient>(loop));
      net::spawn(send_requests(peer, requests_per_peer));
      // Staggers the peers so that only a few send a request at the same time.
      const auto next_start = net::Clock::now() + std::chrono::milliseconds(5);
      while (net::Clock::now() < next_start) loop.run_once(std::chrono::milliseconds(1));
    }
    const auto end = net::Clock::now() + std::chrono::seconds(10);
    while (finished_peers < peer_count && net::Clock::now() < end)
      loop.run_once(std::chrono::milliseconds(5));
  }

  net::Loop loop;
  net::Address address = unused_loopback_address();
  net::HttpServer server;
  std::vector<std::unique_ptr<net::HttpClient>> clients;
  std::vector<int> ok_responses;  // responses with status 200, by peer
  std::size_t finished_peers = 0;
  std::string raw_response;
};

}  // namespace

TEST_F(HttpServerTest, ServesMorePeersThanConnections) {
  // Guards against the first workers holding all connections of a controller when the fleet is larger.
  constexpr std::size_t kPeerCount = 3 * kMaxConnections;
  run_peers(kPeerCount, 4);
  EXPECT_EQ(finished_peers, kPeerCount);
  for (std::size_t peer = 0; peer < kPeerCount; ++peer) EXPECT_GT(ok_responses[peer], 0) << "peer " << peer;
}

TEST_F(HttpServerTest, KeepsConnectionsOpenBelowLimit) {
  constexpr std::size_t kPeerCount = kMaxConnections / 2;
  run_peers(kPeerCount, 4);
  EXPECT_EQ(ok_responses, std::vector<int>(kPeerCount, 4));
  EXPECT_EQ(server.connection_count(), kPeerCount);
}

TEST_F(HttpServerTest, MalformedRequestGetsErrorResponseAndClose) {
  net::spawn(send_raw("nonsense\r\n\r\nGET / HTTP/1.1\r\n\r\n"));
  run_until_finished(1);
  EXPECT_EQ(raw_response, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  EXPECT_EQ(server.connection_count(), 0u);
}

TEST_F(HttpServerTest, PipelinedRequestsGetResponsesInOrder) {
  net::spawn(send_raw("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\nConnection: close\r\n\r\n"));
  run_until_finished(1);
  EXPECT_EQ(raw_response,
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
}

TEST_F(HttpServerTest, RejectsConnectionAboveLimitWithRetryAfter) {
  std::vector<net::ConnectResult> connections;
  auto connect = [](net::Loop* event_loop, net::Address to,
                    std::vector<net::ConnectResult>* results) -> net::Task<void> {
    net::ConnectResult connection =
        co_await net::Socket::connect(*event_loop, to, event_loop->now() + std::chrono::seconds(5));
    results->push_back(std::move(connection));
  };
  for (std::size_t i = 0; i < kMaxConnections; ++i) net::spawn(connect(&loop, address, &connections));
  const auto end = net::Clock::now() + std::chrono::seconds(10);
  while (server.connection_count() < kMaxConnections && net::Clock::now() < end)
    loop.run_once(std::chrono::milliseconds(5));
  ASSERT_EQ(server.connection_count(), kMaxConnections);
  net::spawn(send_raw({}));
  run_until_finished(1);
  EXPECT_TRUE(raw_response.starts_with("HTTP/1.1 503 Service Unavailable\r\n")) << raw_response;
  EXPECT_NE(raw_response.find("\r\nRetry-After: "), std::string::npos);
  EXPECT_EQ(server.connection_count(), kMaxConnections);
}

}  // namespace dockdyke::testing
