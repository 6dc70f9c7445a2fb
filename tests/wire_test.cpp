// Stories about what comes over the wire, whole and broken.
#include <gtest/gtest.h>

#include <limits>
#include <set>

#include "cluster_fixture.hpp"
#include "core/stored_records.hpp"
#include "net/http_parser.hpp"
#include "net/http_server.hpp"
#include "peer/peer.hpp"
#include "wire/messages.hpp"

namespace dockdyke::testing {

using net::HttpParser;
using wire::Json;

Json submission() {
  return wire::to_json(job_spec("job-000412", 16));
}

TEST(Codec, EveryTruncationOfABodyIsRefused) {
  const auto whole = wire::encode(submission());
  ASSERT_TRUE(wire::decode(whole));
  for (std::size_t size = 0; size < whole.size(); ++size)
    EXPECT_FALSE(wire::decode(whole.substr(0, size))) << size;
  EXPECT_FALSE(wire::decode(whole + "\x01"));
}

TEST(Codec, DeepNestingEndsInARefusalNotInACrash) {
  EXPECT_FALSE(wire::decode(std::string(60'000, '\x91')));
  EXPECT_FALSE(wire::decode("\xdd\xff\xff\xff\xff"));
}

TEST(Codec, BinaryDataExtensionsAndOddKeysAreRefused) {
  EXPECT_FALSE(wire::decode(std::string("\xc4\x01x", 3)));
  EXPECT_FALSE(wire::decode(std::string("\xd4\x01x", 3)));
  EXPECT_FALSE(wire::decode(std::string("\x81\x01\x02", 3))) << "a key that is no text";
  EXPECT_FALSE(wire::decode("\xc1"));
}

TEST(Codec, JobSurvivesTheWire) {
  auto spec = job_spec("job-000412", 16);
  spec.machine_types = std::vector<std::string>{"g8"};
  spec.zone = "a";
  spec.deadline_s = 900;
  const auto body = wire::decode(wire::encode(wire::to_json(spec)));
  ASSERT_TRUE(body);
  EXPECT_EQ(wire::to_json(wire::parse_job(*body)), wire::to_json(spec));
}

TEST(Codec, WholeNumbersMayComeAsDecimalsAndDecimalsAsWholeNumbers) {
  auto body = submission();
  body["pieces"] = 16.0;
  body["vcpus"] = 8;
  const auto spec = wire::parse_job(body);
  EXPECT_EQ(spec.task_count, 16u);
  EXPECT_EQ(spec.task_resources.cpus, 8.0);
}

TEST(Codec, InvalidFieldsOfASubmissionAreRefused) {
  const std::vector<std::pair<const char*, Json>> wrong = {
      {"id", "job-"},
      {"id", "task-1"},
      {"id", "job-12x"},
      {"id", 7},
      {"shape", "pair"},
      {"shape", "gang"},
      {"urgency", "urgent"},
      {"urgency", nullptr},
      {"pieces", 0},
      {"pieces", 100'001},
      {"pieces", -1},
      {"pieces", 1.5},
      {"pieces", "16"},
      {"vcpus", -1.0},
      {"vcpus", std::numeric_limits<double>::quiet_NaN()},
      {"ram_gb", std::numeric_limits<double>::infinity()},
      {"gpus", "1"},
      {"builds", "g8"},
      {"builds", Json::array({1})},
      {"polder", 3},
      {"same_place", 1},
      {"spread", nullptr},
      {"ebbtide", "yes"},
      {"due_s", -5},
      {"hull", ""},
      {"crew", std::string(300, 'x')}};
  for (const auto& [field, value] : wrong) {
    auto body = submission();
    body[field] = value;
    EXPECT_THROW(wire::parse_job(body), wire::Malformed) << field << " = " << value.dump();
  }
  EXPECT_THROW(wire::parse_job(Json::array()), wire::Malformed);
  auto fine = submission();
  fine["unknown"] = Json::array({1, 2});
  fine.erase("builds");
  fine.erase("due_s");
  EXPECT_NO_THROW(wire::parse_job(fine));
}

TEST(Codec, SubmissionThatLacksAFieldIsRefusedWhicheverItIs) {
  const std::set<std::string> may_lack = {"builds", "polder", "due_s"};  // those that may be null
  const auto whole = submission();
  ASSERT_GE(whole.size(), 19u);
  for (const auto& [field, value] : whole.items()) {
    auto body = whole;
    body.erase(field);
    if (may_lack.contains(field)) {
      EXPECT_NO_THROW(wire::parse_job(body)) << field;
    } else {
      EXPECT_THROW(wire::parse_job(body), wire::Malformed) << field;
    }
  }
}

TEST(Codec, GangIsReadAndWrittenLikeAnyJob) {
  auto body = submission();
  body["shape"] = "group";
  const auto spec = wire::parse_job(body);
  EXPECT_EQ(spec.kind, wire::JobKind::gang);
  EXPECT_EQ(wire::to_json(spec)["shape"], "group");
}

// A whole report lost for one word would let the worker's lease run out. The task counts as there, in a state
// that proves nothing.
TEST(Codec, ReportWithAnUnknownWordIsReadAndTheTaskCountsAsThere) {
  Json heartbeat{{"dyke", "n-1"},        {"endpoint", "10.1.0.1:9000"},
                 {"build", "g8"},        {"polder", "a"},
                 {"ebbtide", true},      {"watch", 1},
                 {"tally", 8},           {"warrant", 4},
                 {"warning_s", nullptr}, {"pieces", Json::array()}};
  EXPECT_EQ(wire::parse_heartbeat(heartbeat).sequence_number, 8u);
  const auto only_task = [&](Json task) {
    heartbeat["pieces"] = Json::array({std::move(task)});
    return wire::parse_heartbeat(heartbeat).tasks.at(0);
  };
  const auto sleeping = only_task({{"piece", "job-1/3"}, {"try", 2}, {"stage", "sleeping"}});
  EXPECT_EQ(sleeping.state, wire::TaskState::unknown);
  const auto bored = only_task({{"piece", "job-1/3"}, {"try", 2}, {"stage", "exited"}, {"cause", "bored"}});
  EXPECT_EQ(bored.state, wire::TaskState::unknown);
  const auto waiting = only_task({{"piece", "job-1/3"}, {"try", 2}, {"stage", "waiting"}});
  EXPECT_EQ(waiting.state, wire::TaskState::waiting);
  const auto alone = only_task({{"piece", "job-1/3"}, {"try", 2}, {"stage", "exited"}, {"cause", "alone"}});
  EXPECT_EQ(alone.cause, wire::ExitCause::gang_incomplete);
  const auto left =
      only_task({{"piece", "job-1/3"}, {"try", 2}, {"stage", "exited"}, {"cause", "mates_gone"}});
  EXPECT_EQ(left.cause, wire::ExitCause::peer_lost);
  EXPECT_THROW(only_task({{"piece", "job-1/3"}, {"try", 2}}), wire::Malformed);
  EXPECT_THROW(only_task({{"piece", "job-1/3"}, {"try", 2}, {"stage", 7}}), wire::Malformed);
  EXPECT_THROW(only_task({{"piece", "job-1/3"}, {"try", 2}, {"stage", "exited"}}), wire::Malformed);
}

TEST(Http, RequestIsReadTheSameInAnyPortions) {
  const std::string bytes =
      "POST /work HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhelloGET /healthz HTTP/1.1\r\n\r\n";
  HttpParser parser(HttpParser::Kind::request, 100);
  std::vector<net::HttpMessage> got;
  for (char byte : bytes) {
    EXPECT_EQ(parser.feed({&byte, 1}), 1u);
    if (parser.complete()) got.push_back(parser.take());
  }
  ASSERT_EQ(got.size(), 2u);
  EXPECT_EQ(got[0].body, "hello");
  EXPECT_EQ(got[1].target, "/healthz");
}

TEST(Http, ChunkedBodyIsPutTogether) {
  HttpParser parser(HttpParser::Kind::response, 100);
  parser.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n");
  ASSERT_TRUE(parser.complete());
  EXPECT_EQ(parser.take().body, "abcde");
}

TEST(Http, BrokenMessagesGetTheRightStatus) {
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

TEST(Http, RefusalTellsWhenToComeBack) {
  const auto bytes = net::serialize({503, {}, 1}, false);
  EXPECT_NE(bytes.find("503 Service Unavailable"), std::string::npos);
  EXPECT_NE(bytes.find("Retry-After: 1\r\n"), std::string::npos);
  EXPECT_NE(bytes.find("Connection: close\r\n"), std::string::npos);
}

TEST(Peer, BrokenBytesAreNoMessage) {
  peer::ForwardedRequest message{peer::RequestKind::cancel, "job-1", "body"};
  const auto bytes = peer::encode(message);
  ASSERT_TRUE(peer::decode_forwarded(bytes));
  EXPECT_EQ(peer::decode_forwarded(bytes)->job, "job-1");
  for (std::size_t size = 0; size < bytes.size(); ++size)
    EXPECT_FALSE(peer::decode_forwarded(bytes.substr(0, size))) << size;
  EXPECT_FALSE(peer::decode_forwarded(std::string(40, '\xff')));
}

TEST(Records, PageSurvivesTheStore) {
  SegmentRecord page;
  page[JobId("job-1")].push_back({41, 7, {}, false});
  for (TaskIndex i = 0; i < 40; ++i) page[JobId("job-1")].push_back({i, 1, MachineId("n-000001"), false});
  page[JobId("job-1")].push_back({40, 3, MachineId("n-000001"), false});
  page[JobId("job-2")] = {{0, 1, {}, true}, {1, 1, {}, true}, {99'999, 1, {}, true}};
  const auto json = to_json(page);
  EXPECT_LE(json.dump().size(), 100u) << "neighbours share an entry";
  EXPECT_TRUE(parse_segment(json) == page);
  for (const char* bad : {"3-", "5-3", "x", "3,,4", "3/", "0-4294967295"})
    EXPECT_THROW(parse_segment(Json{{"job-1", {{"d", bad}}}}), wire::Malformed) << bad;
}

TEST(Records, JobRecordSurvivesTheStore) {
  const auto back = parse_job_record(to_json(job_record(job_spec("job-1", 100'000))));
  EXPECT_EQ(back.spec.task_count, 100'000u);
  EXPECT_EQ(back.spec.id, JobId("job-1"));
}

TEST(Records, CancellationLeavesACopyUntilTheTasksAreProvedGone) {
  const auto txn = cancellation(job_record(job_spec("job-1", 1)), Revision(5), 0, 1234, 4096);
  ASSERT_EQ(txn.puts.size(), 2u);
  EXPECT_EQ(txn.puts[1].key, key::terminating_job(JobId("job-1")));
  EXPECT_EQ(txn.preconditions[0].version, Revision(5));
  EXPECT_EQ(txn.deletions, std::vector<std::string>{key::active_job(JobId("job-1"))});
  const auto terminating = std::find_if(txn.puts.begin(), txn.puts.end(),
                                        [](const auto& put) { return put.key == "linger/job-1"; });
  ASSERT_NE(terminating, txn.puts.end());
  EXPECT_EQ(parse_job_record(terminating->value).cancelled_ms, 1234)
      << "a later leader knows how long it has";
}

}  // namespace dockdyke::testing
