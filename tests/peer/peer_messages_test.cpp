// Tests of decoding messages between controllers.
#include <gtest/gtest.h>

#include <string>

#include "peer/peer.hpp"

namespace dockdyke::testing {

TEST(PeerMessages, DecoderRejectsTruncatedOrInvalidBytes) {
  peer::ForwardedRequest message{peer::RequestKind::cancel, "job-1", "body"};
  const auto bytes = peer::encode(message);
  ASSERT_TRUE(peer::decode_forwarded_request(bytes));
  EXPECT_EQ(peer::decode_forwarded_request(bytes)->job, "job-1");
  for (std::size_t size = 0; size < bytes.size(); ++size)
    EXPECT_FALSE(peer::decode_forwarded_request(bytes.substr(0, size))) << size;
  EXPECT_FALSE(peer::decode_forwarded_request(std::string(40, '\xff')));
}

}  // namespace dockdyke::testing
