// Tests of parsing the settings file.
#include "app/settings.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "constants.hpp"
#include "fakes.hpp"

namespace dockdyke::testing {

using core::ServiceLevelObjective;

namespace {

Json valid_settings() {
  return {{"host_name", "dyke-0"},
          {"zone", "a"},
          {"public_addr", "10.0.0.1:8080"},
          {"internal_addr", "10.0.0.1:8081"},
          {"siblings", Json::array({{{"host_name", "dyke-1"}, {"addr", "10.0.0.2:8081"}}})},
          {"services", {{"cloud", "10.2.0.2:8443"}, {"state", "10.2.0.1:2379"}}},
          {"new_field", 1},
          {"settings",
           {{"teams", Json::array({{{"name", "t"}, {"cpus", 0.0}, {"cpus_max", 4.0}}})},
            {"workers",
             {{"report_s", 2.5},
              {"lease_s", 14.0},
              {"cancel_s", 44.0},
              {"gang_wait_s", 50.0},
              {"gang_peer_s", 8.0}}},
            {"state", {{"rps", 200.0}, {"write_rps", 20.0}, {"value_kb", 4.0}, {"txn_ops", 8}}},
            {"cloud", {{"rps", 3.0}, {"list_lag_s", 3.0}}},
            {"resources", {{"fd_limit", 1200}}}}}};
}

}  // namespace

TEST(Settings, FieldsAreParsedAndInvalidOnesNamed) {
  const Json valid = valid_settings();
  EXPECT_EQ(app::parse_settings(valid.dump()).cluster.teams[0].quota.cpus, 4.0);
  // Objectives of unknown kinds are ignored.
  Json with_objectives = valid;
  with_objectives["settings"]["objectives"] = {
      {{"kind", "wait"}, {"class", "c"}, {"within_s", 2.0}, {"share", 0.9}},
      {{"kind", "finished"}, {"class", "c"}, {"within_s", 150.0}},
      {{"kind", "deadline"}, {"class", "c"}, {"times", 1.5}},
      {{"kind", "of a later version"}, {"anything", true}}};
  // A reduction of the limits is announced.
  Json with_announced_limits = valid;
  with_announced_limits["settings"]["state"]["next"] = {
      {"write_rps", 15.0}, {"value_kb", 2.0}, {"txn_ops", 4}};
  const auto reduced = app::parse_settings(with_announced_limits.dump());
  EXPECT_EQ(reduced.cluster.max_value_bytes, 2048u)
      << "the smaller of the current and announced limits applies from the start";
  EXPECT_EQ(reduced.cluster.max_transaction_changes, 4u);
  EXPECT_EQ(reduced.state_service_write_rps, 20.0);
  EXPECT_EQ(reduced.state_service_announced_write_rps, 15.0);
  EXPECT_EQ(app::parse_settings(valid.dump()).state_service_announced_write_rps, 20.0);
  const auto objectives = app::parse_settings(with_objectives.dump()).cluster.objectives;
  ASSERT_EQ(objectives.size(), 3u);
  EXPECT_EQ(objectives[0].kind, ServiceLevelObjective::Kind::start);
  EXPECT_EQ(objectives[1].target_s, 150.0);
  EXPECT_EQ(objectives[2].deadline_factor, 1.5);
  // Sets one field of the valid settings and returns the error message of parsing them, or "" without an
  // error.
  auto error_message_with = [&](const char* pointer, Json value) {
    Json changed = valid;
    changed[Json::json_pointer(pointer)] = std::move(value);
    try {
      app::parse_settings(changed.dump());
    } catch (const app::SettingsError& error) {
      return std::string(error.what());
    }
    return std::string();
  };
  EXPECT_NE(error_message_with("/host_name", nullptr).find("host_name is missing"), std::string::npos);
  EXPECT_NE(error_message_with("/services/state", "nowhere").find("services.state"), std::string::npos);
  EXPECT_NE(error_message_with("/settings/workers/lease_s", -1).find("settings.workers.lease_s"),
            std::string::npos);
  EXPECT_NE(error_message_with("/settings/state/rps", "many").find("settings.state.rps"), std::string::npos);
  for (const char* field : {"gang_wait_s", "gang_peer_s"})
    for (const Json& invalid_value : {Json(nullptr), Json("long"), Json(0), Json(-1)}) {
      const auto error =
          error_message_with((std::string("/settings/workers/") + field).c_str(), invalid_value);
      EXPECT_NE(error.find(std::string("settings.workers.") + field), std::string::npos) << error;
    }
  const Json next_limits{{"write_rps", 15.0}, {"value_kb", 2.0}, {"txn_ops", 4}};
  EXPECT_EQ(error_message_with("/settings/state/next", next_limits), "");
  for (const char* field : {"write_rps", "value_kb", "txn_ops"})
    for (const Json& invalid_value : {Json(nullptr), Json("few"), Json(0)}) {
      Json changed = next_limits;
      changed[field] = invalid_value;
      const auto error = error_message_with("/settings/state/next", changed);
      EXPECT_NE(error.find(std::string("settings.state.next.") + field), std::string::npos) << error;
    }
  EXPECT_NE(error_message_with("/settings/state/next", 3).find("settings.state.next must be an object"),
            std::string::npos);
  EXPECT_NE(error_message_with("/settings/objectives", {{{"kind", "wait"}, {"class", "c"}}})
                .find("settings.objectives[0].within_s is missing"),
            std::string::npos);
  EXPECT_NE(error_message_with("/settings/teams/0/name", 3).find("settings.teams[0].name"),
            std::string::npos);
  EXPECT_THROW(app::parse_settings("{"), app::SettingsError);
}

}  // namespace dockdyke::testing
