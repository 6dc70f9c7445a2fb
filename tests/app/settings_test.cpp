// Parsing of the platform's settings file.
#include "app/settings.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "constants.hpp"
#include "fakes.hpp"

namespace dockdyke::testing {

using core::ServiceLevelObjective;

namespace {

Json good_settings() {
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

TEST(Settings, MissingAndInvalidFieldsAreNamed) {
  const Json good = good_settings();
  EXPECT_EQ(app::parse_settings(good.dump()).cluster.teams[0].quota.cpus, 4.0);
  Json aims = good;
  aims["settings"]["objectives"] = {{{"kind", "wait"}, {"class", "c"}, {"within_s", 2.0}, {"share", 0.9}},
                                    {{"kind", "finished"}, {"class", "c"}, {"within_s", 150.0}},
                                    {{"kind", "deadline"}, {"class", "c"}, {"times", 1.5}},
                                    {{"kind", "of a later version"}, {"anything", true}}};
  Json announced = good;
  announced["settings"]["state"]["next"] = {{"write_rps", 15.0}, {"value_kb", 2.0}, {"txn_ops", 4}};
  const auto lower = app::parse_settings(announced.dump());
  EXPECT_EQ(lower.cluster.max_value_bytes, 2048u) << "written by the smaller of both from the beginning";
  EXPECT_EQ(lower.cluster.max_transaction_changes, 4u);
  EXPECT_EQ(lower.state_write_rps, 20.0);
  EXPECT_EQ(lower.state_write_rps_later, 15.0);
  EXPECT_EQ(app::parse_settings(good.dump()).state_write_rps_later, 20.0);
  const auto objectives = app::parse_settings(aims.dump()).cluster.objectives;
  ASSERT_EQ(objectives.size(), 3u);
  EXPECT_EQ(objectives[0].kind, ServiceLevelObjective::Kind::start);
  EXPECT_EQ(objectives[1].target_s, 150.0);
  EXPECT_EQ(objectives[2].deadline_factor, 1.5);
  auto error_of = [&](const char* pointer, Json value) {
    Json changed = good;
    changed[Json::json_pointer(pointer)] = std::move(value);
    try {
      app::parse_settings(changed.dump());
    } catch (const app::SettingsError& error) {
      return std::string(error.what());
    }
    return std::string();
  };
  EXPECT_NE(error_of("/host_name", nullptr).find("host_name is missing"), std::string::npos);
  EXPECT_NE(error_of("/services/state", "nowhere").find("services.state"), std::string::npos);
  EXPECT_NE(error_of("/settings/workers/lease_s", -1).find("settings.workers.lease_s"), std::string::npos);
  EXPECT_NE(error_of("/settings/state/rps", "many").find("settings.state.rps"), std::string::npos);
  for (const char* field : {"gang_wait_s", "gang_peer_s"})
    for (const Json& wrong : {Json(nullptr), Json("long"), Json(0), Json(-1)}) {
      const auto error = error_of((std::string("/settings/workers/") + field).c_str(), wrong);
      EXPECT_NE(error.find(std::string("settings.workers.") + field), std::string::npos) << error;
    }
  const Json next{{"write_rps", 15.0}, {"value_kb", 2.0}, {"txn_ops", 4}};
  EXPECT_EQ(error_of("/settings/state/next", next), "");
  for (const char* field : {"write_rps", "value_kb", "txn_ops"})
    for (const Json& wrong : {Json(nullptr), Json("few"), Json(0)}) {
      Json changed = next;
      changed[field] = wrong;
      const auto error = error_of("/settings/state/next", changed);
      EXPECT_NE(error.find(std::string("settings.state.next.") + field), std::string::npos) << error;
    }
  EXPECT_NE(error_of("/settings/state/next", 3).find("settings.state.next must be a map"), std::string::npos);
  EXPECT_NE(error_of("/settings/objectives", {{{"kind", "wait"}, {"class", "c"}}})
                .find("settings.objectives[0].within_s is missing"),
            std::string::npos);
  EXPECT_NE(error_of("/settings/teams/0/name", 3).find("settings.teams[0].name"), std::string::npos);
  EXPECT_THROW(app::parse_settings("{"), app::SettingsError);
}

}  // namespace dockdyke::testing
