// The HTTP server on real loopback sockets: what happens when peers outnumber the connections it may hold.
#include "net/http_server.hpp"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <memory>
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

}  // namespace dockdyke::testing
