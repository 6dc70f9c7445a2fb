// Tests sockets on the loopback address and the status reported for each kind of failure.
#include "net/socket.hpp"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <optional>
#include <string>
#include <utility>

#include "net/loop.hpp"

namespace dockdyke::testing {

namespace {

using net::IoStatus;

// Listens on a free loopback port; tests accept connections and act as the peer explicitly.
class SocketTest : public ::testing::Test {
 protected:
  SocketTest() : listener(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof local;
    EXPECT_EQ(::bind(listener.get(), reinterpret_cast<sockaddr*>(&local), size), 0);
    EXPECT_EQ(::getsockname(listener.get(), reinterpret_cast<sockaddr*>(&local), &size), 0);
    EXPECT_EQ(::listen(listener.get(), 1), 0);
    address = {INADDR_LOOPBACK, ntohs(local.sin_port)};
  }

  net::Task<void> connect() {
    connection = co_await net::Socket::connect(loop, address, loop.now() + std::chrono::seconds(2));
  }
  net::Task<void> read(net::Duration timeout) {
    received = co_await connection->socket->read_some(buffer, loop.now() + timeout);
  }
  net::Task<void> write(std::string bytes) {
    sent = co_await connection->socket->write_all(bytes, loop.now() + std::chrono::seconds(2));
  }

  // Starts the task, runs the loop until the task has set `result`, and removes and returns the result.
  template <class T>
  T run_until_result(net::Task<void> task, std::optional<T>& result) {
    net::spawn(std::move(task));
    const auto end = net::Clock::now() + std::chrono::seconds(5);
    while (!result && net::Clock::now() < end) loop.run_once(std::chrono::milliseconds(5));
    EXPECT_TRUE(result);
    return result ? *std::exchange(result, std::nullopt) : T{};
  }
  void connect_and_accept() {
    net::spawn(connect());
    const auto end = net::Clock::now() + std::chrono::seconds(5);
    while (!connection && net::Clock::now() < end) loop.run_once(std::chrono::milliseconds(5));
    ASSERT_TRUE(connection && connection->socket);
    accepted = net::FileDescriptor(::accept(listener.get(), nullptr, nullptr));
    ASSERT_TRUE(accepted.valid());
  }

  net::Loop loop;
  net::FileDescriptor listener;
  net::FileDescriptor accepted;
  net::Address address;
  std::array<char, 16> buffer{};
  std::optional<net::ConnectResult> connection;
  std::optional<net::IoResult> received;
  std::optional<net::IoResult> sent;
};

}  // namespace

TEST_F(SocketTest, ConnectToClosedPortIsRefused) {
  listener = net::FileDescriptor();
  net::spawn(connect());
  const auto end = net::Clock::now() + std::chrono::seconds(5);
  while (!connection && net::Clock::now() < end) loop.run_once(std::chrono::milliseconds(5));
  ASSERT_TRUE(connection);
  EXPECT_FALSE(connection->socket);
  EXPECT_EQ(connection->result.status, IoStatus::refused);
  EXPECT_EQ(connection->result.error_number, ECONNREFUSED);
}

TEST_F(SocketTest, TransfersBytesInBothDirections) {
  connect_and_accept();
  const net::IoResult written = run_until_result(write("hello"), sent);
  EXPECT_EQ(written.status, IoStatus::ok);
  EXPECT_EQ(written.size, 5u);
  EXPECT_EQ(::recv(accepted.get(), buffer.data(), buffer.size(), 0), 5);
  EXPECT_EQ(::send(accepted.get(), "you", 3, 0), 3);
  const net::IoResult read_back = run_until_result(read(std::chrono::seconds(2)), received);
  EXPECT_EQ(read_back.status, IoStatus::ok);
  EXPECT_EQ(std::string(buffer.data(), read_back.size), "you");
}

TEST_F(SocketTest, ReadWithoutDataTimesOut) {
  connect_and_accept();
  const net::IoResult result = run_until_result(read(std::chrono::milliseconds(20)), received);
  EXPECT_EQ(result.status, IoStatus::timeout);
  EXPECT_EQ(result.error_number, 0);
}

TEST_F(SocketTest, DistinguishesCloseFromReset) {
  connect_and_accept();
  accepted = net::FileDescriptor();
  EXPECT_EQ(run_until_result(read(std::chrono::seconds(2)), received).status, IoStatus::closed);

  connection.reset();
  connect_and_accept();
  const linger reset_on_close{1, 0};
  ASSERT_EQ(::setsockopt(accepted.get(), SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close), 0);
  accepted = net::FileDescriptor();
  const net::IoResult after_reset = run_until_result(read(std::chrono::seconds(2)), received);
  EXPECT_EQ(after_reset.status, IoStatus::reset);
  EXPECT_EQ(after_reset.error_number, ECONNRESET);
}

}  // namespace dockdyke::testing
