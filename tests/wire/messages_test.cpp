// Tests the MessagePack codec and the parsing of valid, invalid and newer messages.
#include "wire/messages.hpp"

#include <gtest/gtest.h>

#include <limits>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster_fixture.hpp"
#include "constants.hpp"
#include "time_limit.hpp"

namespace dockdyke::testing {

using wire::Json;

namespace {

Json make_submission() {
  return wire::to_json(job_spec("job-000412", 16));
}

Json make_heartbeat(Json tasks) {
  return Json{{"dyke", "n-1"},        {"endpoint", "10.1.0.1:9000"},
              {"build", "g8"},        {"polder", "a"},
              {"ebbtide", true},      {"watch", 1},
              {"tally", 8},           {"warrant", 4},
              {"warning_s", nullptr}, {"pieces", std::move(tasks)}};
}

// Returns the error thrown by `parse`, or a ParseError without a field if it throws none.
template <class Parse>
wire::ParseError catch_parse_error(Parse parse, const Json& body) {
  try {
    parse(body);
  } catch (const wire::ParseError& error) {
    return error;
  }
  return wire::ParseError("no error");
}

Json make_submission_with(const char* field, Json value) {
  auto body = make_submission();
  body[field] = std::move(value);
  return body;
}

}  // namespace

TEST(Codec, TruncatedOrExtendedBodyIsRejected) {
  const auto encoded = wire::encode(make_submission());
  ASSERT_TRUE(wire::decode(encoded));
  for (std::size_t size = 0; size < encoded.size(); ++size)
    EXPECT_FALSE(wire::decode(encoded.substr(0, size))) << size;
  EXPECT_FALSE(wire::decode(encoded + "\x01"));
}

TEST(Codec, TooDeepNestingIsRejected) {
  EXPECT_FALSE(wire::decode(std::string(60'000, '\x91')));
  EXPECT_FALSE(wire::decode("\xdd\xff\xff\xff\xff"));
}

TEST(Codec, BinaryDataExtensionsAndNonStringKeysAreRejected) {
  EXPECT_FALSE(wire::decode(std::string("\xc4\x01x", 3)));
  EXPECT_FALSE(wire::decode(std::string("\xd4\x01x", 3)));
  EXPECT_FALSE(wire::decode(std::string("\x81\x01\x02", 3))) << "key that is not a string";
  EXPECT_FALSE(wire::decode("\xc1"));
}

TEST(Codec, JobSpecRoundTripsUnchanged) {
  auto spec = job_spec("job-000412", 16);
  spec.machine_types = std::vector<std::string>{"g8"};
  spec.zone = "a";
  spec.deadline_s = 900;
  const auto body = wire::decode(wire::encode(wire::to_json(spec)));
  ASSERT_TRUE(body);
  EXPECT_EQ(wire::to_json(wire::parse_job(*body)), wire::to_json(spec));
}

TEST(JobSpecParsing, IntegersAndFloatsAreInterchangeable) {
  auto body = make_submission();
  body["pieces"] = 16.0;
  body["vcpus"] = 8;
  const auto spec = wire::parse_job(body);
  EXPECT_EQ(spec.task_count, 16u);
  EXPECT_EQ(spec.task_resources.cpus, 8.0);
}

// Guards against requests that take seconds to parse, since each name is compared with all others.
TEST(JobSpecParsing, MachineTypesAreNotComparedPairwise) {
  constexpr unsigned kTimeLimitSeconds = 60;
  constexpr std::size_t kRequests = 40;
  Json types = Json::array();
  for (int number = 10'000; number < 20'000; ++number) types.push_back(std::to_string(number));
  const auto body = make_submission_with("builds", std::move(types));
  ASSERT_LT(wire::encode(body).size(), constants::kMaxRequestBodyBytes);
  const auto parse_requests = [&] {
    for (std::size_t i = 0; i < kRequests; ++i) wire::parse_job(body);
  };
  EXPECT_EXIT(run_and_exit(kTimeLimitSeconds, parse_requests), ::testing::ExitedWithCode(EXIT_SUCCESS), "");
}

TEST(JobSpecParsing, InvalidFieldValuesAreRejected) {
  const std::vector<std::pair<const char*, Json>> invalid_fields = {
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
  for (const auto& [field, value] : invalid_fields) {
    auto body = make_submission();
    body[field] = value;
    EXPECT_THROW(wire::parse_job(body), wire::ParseError) << field << " = " << value.dump();
  }
  EXPECT_THROW(wire::parse_job(Json::array()), wire::ParseError);
  auto valid = make_submission();
  valid["unknown"] = Json::array({1, 2});
  valid.erase("builds");
  valid.erase("due_s");
  EXPECT_NO_THROW(wire::parse_job(valid));
}

TEST(JobSpecParsing, MissingRequiredFieldIsRejected) {
  const std::set<std::string> optional_fields = {"builds", "polder", "due_s"};
  const auto complete = make_submission();
  ASSERT_GE(complete.size(), 19u);
  for (const auto& [field, value] : complete.items()) {
    auto body = complete;
    body.erase(field);
    if (optional_fields.contains(field)) {
      EXPECT_NO_THROW(wire::parse_job(body)) << field;
    } else {
      EXPECT_THROW(wire::parse_job(body), wire::ParseError) << field;
    }
  }
}

TEST(JobSpecParsing, GangKindRoundTrips) {
  auto body = make_submission();
  body["shape"] = "group";
  const auto spec = wire::parse_job(body);
  EXPECT_EQ(spec.kind, wire::JobKind::gang);
  EXPECT_EQ(wire::to_json(spec)["shape"], "group");
}

// Rejecting the whole heartbeat because of one unknown value would let the worker's lease expire.
TEST(HeartbeatParsing, UnknownStateOrExitCauseYieldsUnknownState) {
  EXPECT_EQ(wire::parse_heartbeat(make_heartbeat(Json::array())).sequence_number, 8u);
  const auto parse_single_task = [](Json task) {
    return wire::parse_heartbeat(make_heartbeat(Json::array({std::move(task)}))).tasks.at(0);
  };
  const auto unknown_state = parse_single_task({{"piece", "job-1/3"}, {"try", 2}, {"stage", "sleeping"}});
  EXPECT_EQ(unknown_state.state, wire::TaskState::unknown);
  const auto unknown_cause =
      parse_single_task({{"piece", "job-1/3"}, {"try", 2}, {"stage", "exited"}, {"cause", "bored"}});
  EXPECT_EQ(unknown_cause.state, wire::TaskState::unknown);
  const auto waiting_task = parse_single_task({{"piece", "job-1/3"}, {"try", 2}, {"stage", "waiting"}});
  EXPECT_EQ(waiting_task.state, wire::TaskState::waiting_for_gang);
  const auto incomplete_gang =
      parse_single_task({{"piece", "job-1/3"}, {"try", 2}, {"stage", "exited"}, {"cause", "alone"}});
  EXPECT_EQ(incomplete_gang.cause, wire::ExitCause::gang_incomplete);
  const auto lost_gang_peer =
      parse_single_task({{"piece", "job-1/3"}, {"try", 2}, {"stage", "exited"}, {"cause", "mates_gone"}});
  EXPECT_EQ(lost_gang_peer.cause, wire::ExitCause::gang_peer_lost);
  EXPECT_THROW(parse_single_task({{"piece", "job-1/3"}, {"try", 2}}), wire::ParseError);
  EXPECT_THROW(parse_single_task({{"piece", "job-1/3"}, {"try", 2}, {"stage", 7}}), wire::ParseError);
  EXPECT_THROW(parse_single_task({{"piece", "job-1/3"}, {"try", 2}, {"stage", "exited"}}), wire::ParseError);
}

TEST(ParseErrors, ContainFieldAndErrorCode) {
  using wire::ParseErrorCode;
  struct Case {
    const char* field;
    Json value;
    ParseErrorCode code;
  };
  const std::vector<Case> cases = {{"id", "task-1", ParseErrorCode::invalid_format},
                                   {"id", 7, ParseErrorCode::wrong_type},
                                   {"shape", "pair", ParseErrorCode::unknown_value},
                                   {"urgency", nullptr, ParseErrorCode::missing},
                                   {"pieces", 100'001, ParseErrorCode::out_of_range},
                                   {"pieces", 1.5, ParseErrorCode::out_of_range},
                                   {"pieces", "16", ParseErrorCode::wrong_type},
                                   {"vcpus", 1e10, ParseErrorCode::out_of_range},
                                   {"builds", "g8", ParseErrorCode::wrong_type},
                                   {"builds", Json::array(), ParseErrorCode::out_of_range},
                                   {"spread", 1, ParseErrorCode::wrong_type},
                                   {"polder", "", ParseErrorCode::out_of_range}};
  for (const auto& [field, value, code] : cases) {
    const auto error = catch_parse_error(wire::parse_job, make_submission_with(field, value));
    EXPECT_EQ(error.field(), field) << value.dump();
    EXPECT_EQ(error.code(), code) << field << " = " << value.dump();
  }
  EXPECT_STREQ(catch_parse_error(wire::parse_job, make_submission_with("crew", 7)).what(),
               "crew: wrong type");
}

TEST(ParseErrors, ContainPathOfListItem) {
  const auto wrong_type =
      catch_parse_error(wire::parse_job, make_submission_with("builds", Json::array({"g8", 1})));
  EXPECT_STREQ(wrong_type.what(), "builds[1]: wrong type");

  const Json valid_task{{"piece", "job-1/3"}, {"try", 2}, {"stage", "running"}};
  auto without_attempt = valid_task;
  without_attempt.erase("try");
  const auto missing =
      catch_parse_error(wire::parse_heartbeat, make_heartbeat(Json::array({valid_task, without_attempt})));
  EXPECT_STREQ(missing.what(), "pieces[1].try: missing");
  EXPECT_EQ(missing.field(), "pieces[1].try");
  EXPECT_EQ(missing.code(), wire::ParseErrorCode::missing);

  const auto not_a_map = catch_parse_error(wire::parse_heartbeat, make_heartbeat(Json::array({7})));
  EXPECT_STREQ(not_a_map.what(), "pieces[0]: not a map");
}

TEST(ParseErrors, NonMapBodyYieldsEmptyField) {
  const auto error = catch_parse_error(wire::parse_heartbeat, Json::array());
  EXPECT_EQ(error.field(), "");
  EXPECT_STREQ(error.what(), "not a map");
}

TEST(CloudMessages, OnlyNoCapacityErrorIsDetectedAsSuch) {
  EXPECT_TRUE(wire::is_no_capacity_error(Json{{"error", "no capacity"}}));
  EXPECT_FALSE(wire::is_no_capacity_error(Json{{"error", "trouble"}})) << "error of an outage";
  EXPECT_FALSE(wire::is_no_capacity_error(Json::object()));
  EXPECT_FALSE(wire::is_no_capacity_error(Json("no capacity")));
}

TEST(RequestPaths, MatchProtocol) {
  EXPECT_EQ(wire::path::machine_page("", 500), "/machines?page=500");
  EXPECT_EQ(wire::path::machine_page("n-000230", 500), "/machines?page=500&since=n-000230");
  EXPECT_EQ(wire::path::key("a/b c%"), "/store/a/b%20c%25");
  EXPECT_EQ(wire::path::key_page("c/", "", 200), "/store?starts=c/&page=200");
  EXPECT_EQ(wire::path::key_page("c/", "c/7&", 200), "/store?starts=c/&page=200&since=c/7%26");
  EXPECT_EQ(wire::path::watch("c/", Revision(431), 10'000), "/watch?starts=c/&since=431&hold_ms=10000");
  EXPECT_EQ(wire::path::lease(LeaseId(7)), "/holds/7");
  EXPECT_EQ(wire::path::lease_renewal(LeaseId(7)), "/holds/7/touch");
}

}  // namespace dockdyke::testing
