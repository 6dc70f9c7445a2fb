// Messages between controllers that are truncated or invalid.
#include <gtest/gtest.h>

#include <string>

#include "peer/peer.hpp"

namespace dockdyke::testing {

TEST(Peer, TruncatedOrInvalidBytesAreRefused) {
  peer::ForwardedRequest message{peer::RequestKind::cancel, "job-1", "body"};
  const auto bytes = peer::encode(message);
  ASSERT_TRUE(peer::decode_forwarded(bytes));
  EXPECT_EQ(peer::decode_forwarded(bytes)->job, "job-1");
  for (std::size_t size = 0; size < bytes.size(); ++size)
    EXPECT_FALSE(peer::decode_forwarded(bytes.substr(0, size))) << size;
  EXPECT_FALSE(peer::decode_forwarded(std::string(40, '\xff')));
}

}  // namespace dockdyke::testing
