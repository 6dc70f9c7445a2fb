#include "app/settings.hpp"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "constants.hpp"

namespace dockdyke::app {

namespace {

using Json = nlohmann::json;

// An object of the settings file and its path for error messages. Refers to the parsed JSON, which must
// outlive it.
class Section {
 public:
  Section(const Json& value, std::string path) : value_(value), path_(std::move(path)) {
    if (!value_.is_object()) fail(path_.empty() ? "the file" : path_, "must be an object");
  }

  // Returns the object in the field. The functions below throw SettingsError if a required field is missing
  // or a field has the wrong type. Null counts as missing.
  Section section(const char* field) const { return Section(require_field(field), field_path(field)); }

  std::string non_empty_string(const char* field) const {
    const auto& value = require_field(field);
    if (!value.is_string() || value.get_ref<const std::string&>().empty())
      fail(field_path(field), "must be a non-empty string");
    return value.get<std::string>();
  }

  net::Address address(const char* field) const {
    auto parsed = net::Address::parse(non_empty_string(field));
    if (!parsed) fail(field_path(field), "must be an IPv4 address with a port");
    return *parsed;
  }

  double positive_number(const char* field) const {
    const double number = non_negative_number(field, require_field(field));
    if (number <= 0) fail(field_path(field), "must be greater than 0");
    return number;
  }

  double number_at_least(const char* field, double minimum) const {
    const double number = positive_number(field);
    if (number < minimum)
      fail(field_path(field), "must be at least " + std::to_string(static_cast<int>(minimum)));
    return number;
  }

  // Returns std::nullopt if the field is missing.
  std::optional<Section> optional_section(const char* field) const {
    auto found = value_.find(field);
    if (found == value_.end() || found->is_null()) return std::nullopt;
    return Section(*found, field_path(field));
  }

  // Returns the non-negative number in the field, or 0 if the field is missing.
  double number_or_zero(const char* field) const {
    auto found = value_.find(field);
    return found == value_.end() || found->is_null() ? 0 : non_negative_number(field, *found);
  }

  // Returns the objects in an array field; empty if the field is missing and not required.
  std::vector<Section> sections(const char* field, bool required) const {
    std::vector<Section> result;
    auto found = value_.find(field);
    if (found == value_.end() || found->is_null()) {
      if (required) fail(field_path(field), "is missing");
      return result;
    }
    if (!found->is_array()) fail(field_path(field), "must be an array");
    for (std::size_t i = 0; i < found->size(); ++i)
      result.emplace_back((*found)[i], field_path(field) + "[" + std::to_string(i) + "]");
    return result;
  }

 private:
  [[noreturn]] static void fail(const std::string& field, const std::string& problem) {
    throw SettingsError("settings: " + field + " " + problem);
  }
  std::string field_path(const char* field) const { return path_.empty() ? field : path_ + "." + field; }
  const Json& require_field(const char* field) const {
    auto found = value_.find(field);
    if (found == value_.end() || found->is_null()) fail(field_path(field), "is missing");
    return *found;
  }
  double non_negative_number(const char* field, const Json& value) const {
    if (!value.is_number() || !std::isfinite(value.get<double>()) || value.get<double>() < 0)
      fail(field_path(field), "must be a non-negative number");
    return value.get<double>();
  }

  const Json& value_;
  std::string path_;
};

// Size limits of the state service for values and transactions.
struct StateSizeLimits {
  std::size_t max_value_bytes = 0;
  std::size_t max_transaction_changes = 0;
};

StateSizeLimits parse_state_size_limits(const Section& limits) {
  constexpr double kBytesPerKib = 1024;
  return {
      static_cast<std::size_t>(limits.number_at_least("value_kb", constants::kMinValueKib) * kBytesPerKib),
      static_cast<std::size_t>(limits.number_at_least("txn_ops", constants::kMinTransactionChanges))};
}

core::Team parse_team(const Section& section) {
  core::Team team;
  team.name = section.non_empty_string("name");
  team.guaranteed_share = {section.number_or_zero("cpus"), section.number_or_zero("gpus"), 0};
  team.quota = {section.number_or_zero("cpus_max"), section.number_or_zero("gpus_max"), 0};
  return team;
}

// Returns std::nullopt for an unknown kind, which a later version may have added.
std::optional<core::ServiceLevelObjective> parse_objective(const Section& section) {
  using Kind = core::ServiceLevelObjective::Kind;
  const auto kind = section.non_empty_string("kind");
  core::ServiceLevelObjective objective;
  if (kind == "finished" || kind == "wait") {
    objective.kind = kind == "wait" ? Kind::start : Kind::completion;
    objective.target_s = section.positive_number("within_s");
  } else if (kind == "deadline") {
    objective.kind = Kind::deadline;
    if (const double factor = section.number_or_zero("times"); factor > 0) objective.deadline_factor = factor;
  } else {
    return std::nullopt;
  }
  objective.job_class = section.non_empty_string("class");
  return objective;
}

void parse_addresses(const Section& root, Settings& settings) {
  settings.host = root.non_empty_string("host_name");
  settings.public_address = root.address("public_addr");
  settings.internal_address = root.address("internal_addr");
  const auto services = root.section("services");
  settings.cloud_address = services.address("cloud");
  settings.state_service_address = services.address("state");
  for (const auto& peer : root.sections("siblings", true))
    settings.peers.push_back({peer.non_empty_string("host_name"), peer.address("addr")});
}

void parse_workers(const Section& workers, core::ClusterConfig& config) {
  config.heartbeat_interval_s = workers.positive_number("report_s");
  config.worker_lease_s = workers.positive_number("lease_s");
  config.cancellation_timeout_s = workers.positive_number("cancel_s");
  config.gang_assembly_timeout_s = workers.positive_number("gang_wait_s");
  config.gang_peer_timeout_s = workers.positive_number("gang_peer_s");
}

void parse_state_service(const Section& state, Settings& settings) {
  settings.state_service_rps = state.positive_number("rps");
  settings.state_service_write_rps = state.positive_number("write_rps");
  settings.cluster.write_rps = settings.state_service_write_rps;
  const StateSizeLimits current = parse_state_size_limits(state);
  const auto next = state.optional_section("next");
  const StateSizeLimits announced = next ? parse_state_size_limits(*next) : current;
  const double announced_write_rps =
      next ? next->positive_number("write_rps") : settings.state_service_write_rps;
  // The announced limits may take effect at any time, so the smaller size limits apply from the start.
  settings.state_service_announced_write_rps =
      std::min(settings.state_service_write_rps, announced_write_rps);
  settings.cluster.max_value_bytes = std::min(current.max_value_bytes, announced.max_value_bytes);
  settings.cluster.max_transaction_changes =
      std::min(current.max_transaction_changes, announced.max_transaction_changes);
}

void parse_cloud(const Section& cloud, core::ClusterConfig& config) {
  config.cloud_rps = cloud.positive_number("rps");
  config.machine_list_lag_s = cloud.number_or_zero("list_lag_s");
}

}  // namespace

Settings parse_settings(const std::string& text) {
  const auto file = Json::parse(text, nullptr, false);
  if (file.is_discarded()) throw SettingsError("settings: the file is not valid JSON");
  const Section root(file, "");
  Settings settings;
  parse_addresses(root, settings);
  const auto settings_section = root.section("settings");
  for (const auto& team : settings_section.sections("teams", true))
    settings.cluster.teams.push_back(parse_team(team));
  for (const auto& section : settings_section.sections("objectives", false))
    if (auto objective = parse_objective(section))
      settings.cluster.objectives.push_back(*std::move(objective));
  parse_workers(settings_section.section("workers"), settings.cluster);
  parse_state_service(settings_section.section("state"), settings);
  parse_cloud(settings_section.section("cloud"), settings.cluster);
  settings.max_file_descriptors =
      static_cast<std::size_t>(settings_section.section("resources").positive_number("fd_limit"));
  settings.cluster.min_machines = constants::kDefaultMinMachines;
  settings.cluster.free_machines = constants::kDefaultFreeMachines;
  settings.cluster.max_machines = constants::kDefaultMaxMachines;
  return settings;
}

Settings load_settings(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) throw SettingsError("settings: cannot read " + path);
  std::string text(constants::kMaxSettingsBytes + 1, '\0');
  stream.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(stream.gcount()));
  if (text.size() > constants::kMaxSettingsBytes) throw SettingsError("settings: the file is too large");
  return parse_settings(text);
}

}  // namespace dockdyke::app
