// Tests parsing of valid and malformed HTTP messages and serialization of responses.
#include "net/http_parser.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "net/http_server.hpp"

namespace dockdyke::testing {

using net::HttpParser;

TEST(HttpParserTest, ParsesRequestsFedByteByByte) {
  const std::string bytes =
      "POST /work HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhelloGET /healthz HTTP/1.1\r\n\r\n";
  HttpParser parser(HttpParser::Kind::request, 100);
  std::vector<net::HttpMessage> requests;
  for (char byte : bytes) {
    EXPECT_EQ(parser.feed({&byte, 1}), 1u);
    if (parser.complete()) requests.push_back(parser.take_message());
  }
  ASSERT_EQ(requests.size(), 2u);
  EXPECT_EQ(requests[0].body, "hello");
  EXPECT_EQ(requests[1].target, "/healthz");
}

TEST(HttpParserTest, JoinsChunkedBody) {
  HttpParser parser(HttpParser::Kind::response, 100);
  parser.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n");
  ASSERT_TRUE(parser.complete());
  EXPECT_EQ(parser.take_message().body, "abcde");
}

TEST(HttpParserTest, MalformedRequestYieldsErrorStatus) {
  auto error_of = [](const std::string& bytes) {
    HttpParser parser(HttpParser::Kind::request, 64);
    parser.feed(bytes);
    return parser.error();
  };
  EXPECT_EQ(error_of("nonsense\r\n\r\n"), 400);
  EXPECT_EQ(error_of("GET / HTTP/2\r\n\r\n"), 400);
  EXPECT_EQ(error_of("GET / HTTP/1.1\r\nA b: c\r\n\r\n"), 400);
  EXPECT_EQ(error_of("GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n"), 400);
  EXPECT_EQ(error_of("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n"), 400);
  EXPECT_EQ(error_of("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"), 400);
  EXPECT_EQ(error_of("POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\n"), 400);
  EXPECT_EQ(error_of("POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n"), 501);
  EXPECT_EQ(error_of("POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n"), 413);
  EXPECT_EQ(error_of("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n"), 413);
  EXPECT_EQ(error_of("GET / HTTP/1.1\r\nA: " + std::string(10'000, 'x')), 431);
  EXPECT_EQ(error_of("GET / HTTP/1.1\r\n\r\n"), 0);
}

TEST(HttpParserTest, SerializesRetryAfterAndConnectionClose) {
  const auto bytes = net::serialize({503, {}, 1}, false);
  EXPECT_NE(bytes.find("503 Service Unavailable"), std::string::npos);
  EXPECT_NE(bytes.find("Retry-After: 1\r\n"), std::string::npos);
  EXPECT_NE(bytes.find("Connection: close\r\n"), std::string::npos);
}

}  // namespace dockdyke::testing
