// Encoding of bodies, and messages that are valid, malformed or from a later version.
#include "wire/messages.hpp"

#include <gtest/gtest.h>

#include <limits>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster_fixture.hpp"

namespace dockdyke::testing {

using wire::Json;

namespace {

Json submission() {
  return wire::to_json(job_spec("job-000412", 16));
}

// A heartbeat with the given tasks.
Json heartbeat_with(Json tasks) {
  return Json{{"dyke", "n-1"},        {"endpoint", "10.1.0.1:9000"},
              {"build", "g8"},        {"polder", "a"},
              {"ebbtide", true},      {"watch", 1},
              {"tally", 8},           {"warrant", 4},
              {"warning_s", nullptr}, {"pieces", std::move(tasks)}};
}

// The error that parsing a body throws.
template <class Parse>
wire::Malformed error_of(Parse parse, const Json& body) {
  try {
    parse(body);
  } catch (const wire::Malformed& error) {
    return error;
  }
  return wire::Malformed("no error");
}

// A submission with one field changed.
Json submission_with(const char* field, Json value) {
  auto body = submission();
  body[field] = std::move(value);
  return body;
}

}  // namespace

TEST(Codec, EveryTruncationOfABodyIsRefused) {
  const auto whole = wire::encode(submission());
  ASSERT_TRUE(wire::decode(whole));
  for (std::size_t size = 0; size < whole.size(); ++size)
    EXPECT_FALSE(wire::decode(whole.substr(0, size))) << size;
  EXPECT_FALSE(wire::decode(whole + "\x01"));
}

TEST(Codec, DeepNestingIsRefused) {
  EXPECT_FALSE(wire::decode(std::string(60'000, '\x91')));
  EXPECT_FALSE(wire::decode("\xdd\xff\xff\xff\xff"));
}

TEST(Codec, BinaryDataExtensionsAndKeysThatAreNotTextAreRefused) {
  EXPECT_FALSE(wire::decode(std::string("\xc4\x01x", 3)));
  EXPECT_FALSE(wire::decode(std::string("\xd4\x01x", 3)));
  EXPECT_FALSE(wire::decode(std::string("\x81\x01\x02", 3))) << "a key that is no text";
  EXPECT_FALSE(wire::decode("\xc1"));
}

TEST(Codec, JobIsTheSameAfterEncodingAndDecoding) {
  auto spec = job_spec("job-000412", 16);
  spec.machine_types = std::vector<std::string>{"g8"};
  spec.zone = "a";
  spec.deadline_s = 900;
  const auto body = wire::decode(wire::encode(wire::to_json(spec)));
  ASSERT_TRUE(body);
  EXPECT_EQ(wire::to_json(wire::parse_job(*body)), wire::to_json(spec));
}

TEST(Codec, IntegersMayBeWrittenAsDecimalsAndDecimalsAsIntegers) {
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

TEST(Codec, SubmissionThatLacksAnyRequiredFieldIsRefused) {
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

// If the whole heartbeat were refused because of one unknown value, the worker's lease would expire. The task
// counts as present, in an unknown state.
TEST(Codec, HeartbeatWithAnUnknownStateIsReadAndTheTaskCountsAsPresent) {
  EXPECT_EQ(wire::parse_heartbeat(heartbeat_with(Json::array())).sequence_number, 8u);
  const auto only_task = [](Json task) {
    return wire::parse_heartbeat(heartbeat_with(Json::array({std::move(task)}))).tasks.at(0);
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

TEST(MalformedErrors, NameTheFieldAndWhatIsWrongWithIt) {
  using wire::Fault;
  struct Case {
    const char* field;
    Json value;
    Fault fault;
  };
  const std::vector<Case> cases = {
      {"id", "task-1", Fault::invalid_format},  {"id", 7, Fault::wrong_type},
      {"shape", "pair", Fault::unknown_value},  {"urgency", nullptr, Fault::missing},
      {"pieces", 100'001, Fault::out_of_range}, {"pieces", 1.5, Fault::out_of_range},
      {"pieces", "16", Fault::wrong_type},      {"vcpus", 1e10, Fault::out_of_range},
      {"builds", "g8", Fault::wrong_type},      {"builds", Json::array(), Fault::out_of_range},
      {"spread", 1, Fault::wrong_type},         {"polder", "", Fault::out_of_range}};
  for (const auto& [field, value, fault] : cases) {
    const auto error = error_of(wire::parse_job, submission_with(field, value));
    EXPECT_EQ(error.field(), field) << value.dump();
    EXPECT_EQ(error.fault(), fault) << field << " = " << value.dump();
  }
  EXPECT_STREQ(error_of(wire::parse_job, submission_with("crew", 7)).what(), "crew: wrong type");
}

TEST(MalformedErrors, NameTheItemOfAList) {
  const auto bad_type = error_of(wire::parse_job, submission_with("builds", Json::array({"g8", 1})));
  EXPECT_STREQ(bad_type.what(), "builds[1]: wrong type");

  const Json valid_task{{"piece", "job-1/3"}, {"try", 2}, {"stage", "running"}};
  auto without_attempt = valid_task;
  without_attempt.erase("try");
  const auto missing =
      error_of(wire::parse_heartbeat, heartbeat_with(Json::array({valid_task, without_attempt})));
  EXPECT_STREQ(missing.what(), "pieces[1].try: missing");
  EXPECT_EQ(missing.field(), "pieces[1].try");
  EXPECT_EQ(missing.fault(), wire::Fault::missing);

  const auto no_map = error_of(wire::parse_heartbeat, heartbeat_with(Json::array({7})));
  EXPECT_STREQ(no_map.what(), "pieces[0]: not a map");
}

TEST(MalformedErrors, OfABodyThatIsNoMapNameNoField) {
  const auto error = error_of(wire::parse_heartbeat, Json::array());
  EXPECT_EQ(error.field(), "");
  EXPECT_STREQ(error.what(), "not a map");
}

TEST(CloudMessages, OnlyTheStatedErrorMeansThatThereIsNoCapacity) {
  EXPECT_TRUE(wire::is_no_capacity_error(Json{{"error", "no capacity"}}));
  EXPECT_FALSE(wire::is_no_capacity_error(Json{{"error", "trouble"}})) << "an outage";
  EXPECT_FALSE(wire::is_no_capacity_error(Json::object()));
  EXPECT_FALSE(wire::is_no_capacity_error(Json("no capacity")));
}

TEST(RequestPaths, AreThoseOfTheProtocol) {
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
