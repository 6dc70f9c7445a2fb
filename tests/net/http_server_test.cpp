// The HTTP server on real loopback sockets: what happens when peers outnumber the connections it may hold.
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

// A port of the loopback address that nobody uses at the moment.
net::Address free_address() {
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
  static constexpr std::size_t kConnections = 8;

  HttpServerTest()
      : server(loop, address, kConnections, [this](net::HttpMessage) -> net::Task<net::HttpResponse> {
          co_await loop.sleep(std::chrono::milliseconds(2));
          co_return net::HttpResponse{};
        }) {
    server.start();
  }

  // One peer that asks again and again over a client of its own, which keeps its connection where it may.
  net::Task<void> ask_repeatedly(std::size_t peer, int times) {
    for (int i = 0; i < times; ++i) {
      net::CallResult result = co_await clients[peer]->call(address, "GET", "/", {}, std::chrono::seconds(2));
      if (result.response && result.response->status == net::http_status::kOk) ++answered[peer];
      co_await loop.sleep(std::chrono::milliseconds(100));
    }
    ++finished;
  }

  // Sends the bytes on a connection of its own and collects what comes back until the server closes it.
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
    ++finished;
  }
  void run_until_finished(std::size_t count) {
    const auto end = net::Clock::now() + std::chrono::seconds(10);
    while (finished < count && net::Clock::now() < end) loop.turn(std::chrono::milliseconds(5));
    EXPECT_EQ(finished, count);
  }

  void run_peers(std::size_t peers, int times) {
    answered.assign(peers, 0);
    for (std::size_t peer = 0; peer < peers; ++peer) {
      clients.push_back(std::make_unique<net::HttpClient>(loop));
      net::spawn(ask_repeatedly(peer, times));
      // One after the other, so that no more than a few ask at the same moment.
      const auto next = net::Clock::now() + std::chrono::milliseconds(5);
      while (net::Clock::now() < next) loop.turn(std::chrono::milliseconds(1));
    }
    const auto end = net::Clock::now() + std::chrono::seconds(10);
    while (finished < peers && net::Clock::now() < end) loop.turn(std::chrono::milliseconds(5));
  }

  net::Loop loop;
  net::Address address = free_address();
  net::HttpServer server;
  std::vector<std::unique_ptr<net::HttpClient>> clients;
  std::vector<int> answered;  // by peer
  std::size_t finished = 0;
  std::string raw_response;
};

}  // namespace

TEST_F(HttpServerTest, MorePeersThanConnectionsTakeTurns) {
  // Guards against a fleet larger than a controller's sockets whose first workers keep all of them for ever.
  constexpr std::size_t kPeers = 3 * kConnections;
  run_peers(kPeers, 4);
  EXPECT_EQ(finished, kPeers);
  for (std::size_t peer = 0; peer < kPeers; ++peer) EXPECT_GT(answered[peer], 0) << "peer " << peer;
}

TEST_F(HttpServerTest, FewPeersKeepTheirConnections) {
  constexpr std::size_t kPeers = kConnections / 2;
  run_peers(kPeers, 4);
  EXPECT_EQ(answered, std::vector<int>(kPeers, 4));
  EXPECT_EQ(server.connections(), kPeers);
}

TEST_F(HttpServerTest, AMalformedRequestIsAnsweredAndItsConnectionClosed) {
  net::spawn(send_raw("nonsense\r\n\r\nGET / HTTP/1.1\r\n\r\n"));
  run_until_finished(1);
  EXPECT_EQ(raw_response, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  EXPECT_EQ(server.connections(), 0u);
}

TEST_F(HttpServerTest, RequestsOfOneConnectionAreAnsweredInTurn) {
  net::spawn(send_raw("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\nConnection: close\r\n\r\n"));
  run_until_finished(1);
  EXPECT_EQ(raw_response,
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
}

TEST_F(HttpServerTest, OneConnectionTooManyIsRefusedWithRetryAfter) {
  std::vector<net::ConnectResult> open;
  auto connect = [](net::Loop* on, net::Address to, std::vector<net::ConnectResult>* out) -> net::Task<void> {
    net::ConnectResult connection =
        co_await net::Socket::connect(*on, to, on->now() + std::chrono::seconds(5));
    out->push_back(std::move(connection));
  };
  for (std::size_t i = 0; i < kConnections; ++i) net::spawn(connect(&loop, address, &open));
  const auto end = net::Clock::now() + std::chrono::seconds(10);
  while (server.connections() < kConnections && net::Clock::now() < end)
    loop.turn(std::chrono::milliseconds(5));
  ASSERT_EQ(server.connections(), kConnections);
  net::spawn(send_raw({}));
  run_until_finished(1);
  EXPECT_TRUE(raw_response.starts_with("HTTP/1.1 503 Service Unavailable\r\n")) << raw_response;
  EXPECT_NE(raw_response.find("\r\nRetry-After: "), std::string::npos);
  EXPECT_EQ(server.connections(), kConnections);
}

}  // namespace dockdyke::testing
