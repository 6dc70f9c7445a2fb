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

// One map of the file, with its path for messages. Refers to the parsed file, which must outlive it.
class Section {
 public:
  Section(const Json& value, std::string path) : value_(value), path_(std::move(path)) {
    if (!value_.is_object()) fail(path_.empty() ? "the file" : path_, "must be a map");
  }

  // The map under the field. Like the other readers below, throws SettingsError where the field is missing or
  // of the wrong kind.
  Section section(const char* field) const { return Section(require(field), name(field)); }

  // A text that is not empty.
  std::string text(const char* field) const {
    const auto& value = require(field);
    if (!value.is_string() || value.get_ref<const std::string&>().empty())
      fail(name(field), "must be a text");
    return value.get<std::string>();
  }

  net::Address address(const char* field) const {
    auto parsed = net::Address::parse(text(field));
    if (!parsed) fail(name(field), "must be an IPv4 address with a port");
    return *parsed;
  }

  double positive(const char* field) const {
    const double number = amount(field, require(field));
    if (number <= 0) fail(name(field), "must be greater than 0");
    return number;
  }

  double at_least(const char* field, double least) const {
    const double number = positive(field);
    if (number < least) fail(name(field), "must be at least " + std::to_string(static_cast<int>(least)));
    return number;
  }

  // Nothing where the field is absent.
  std::optional<Section> optional_section(const char* field) const {
    auto found = value_.find(field);
    if (found == value_.end() || found->is_null()) return std::nullopt;
    return Section(*found, name(field));
  }

  // 0 where the field is absent.
  double amount_or_none(const char* field) const {
    auto found = value_.find(field);
    return found == value_.end() || found->is_null() ? 0 : amount(field, *found);
  }

  // The maps of a list; empty where the list is absent and not required.
  std::vector<Section> sections(const char* field, bool required) const {
    std::vector<Section> out;
    auto found = value_.find(field);
    if (found == value_.end() || found->is_null()) {
      if (required) fail(name(field), "is missing");
      return out;
    }
    if (!found->is_array()) fail(name(field), "must be a list");
    for (std::size_t i = 0; i < found->size(); ++i)
      out.emplace_back((*found)[i], name(field) + "[" + std::to_string(i) + "]");
    return out;
  }

 private:
  [[noreturn]] static void fail(const std::string& field, const std::string& what) {
    throw SettingsError("settings: " + field + " " + what);
  }
  std::string name(const char* field) const { return path_.empty() ? field : path_ + "." + field; }
  const Json& require(const char* field) const {
    auto found = value_.find(field);
    if (found == value_.end() || found->is_null()) fail(name(field), "is missing");
    return *found;
  }
  double amount(const char* field, const Json& value) const {
    if (!value.is_number() || !std::isfinite(value.get<double>()) || value.get<double>() < 0)
      fail(name(field), "must be a number that is not negative");
    return value.get<double>();
  }

  const Json& value_;
  std::string path_;
};

// Limits of the state service on the size of what is written.
struct StoreLimits {
  std::size_t max_value_bytes = 0;
  std::size_t max_transaction_changes = 0;
};

StoreLimits parse_store_limits(const Section& state) {
  constexpr double kBytesPerKib = 1024;
  return {static_cast<std::size_t>(state.at_least("value_kb", constants::kMinValueKib) * kBytesPerKib),
          static_cast<std::size_t>(state.at_least("txn_ops", constants::kMinTransactionChanges))};
}

core::Team parse_team(const Section& section) {
  core::Team team;
  team.name = section.text("name");
  team.guaranteed_share = {section.amount_or_none("cpus"), section.amount_or_none("gpus"), 0};
  team.quota = {section.amount_or_none("cpus_max"), section.amount_or_none("gpus_max"), 0};
  return team;
}

// Nothing for a kind that came after this version.
std::optional<core::ServiceLevelObjective> parse_objective(const Section& section) {
  using Kind = core::ServiceLevelObjective::Kind;
  const auto kind = section.text("kind");
  core::ServiceLevelObjective objective;
  if (kind == "finished" || kind == "wait") {
    objective.kind = kind == "wait" ? Kind::start : Kind::completion;
    objective.target_s = section.positive("within_s");
  } else if (kind == "deadline") {
    objective.kind = Kind::deadline;
    if (const double factor = section.amount_or_none("times"); factor > 0) objective.deadline_factor = factor;
  } else {
    return std::nullopt;
  }
  objective.job_class = section.text("class");
  return objective;
}

void parse_addresses(const Section& root, Settings& out) {
  out.host = root.text("host_name");
  out.public_address = root.address("public_addr");
  out.internal_address = root.address("internal_addr");
  const auto services = root.section("services");
  out.cloud = services.address("cloud");
  out.state = services.address("state");
  for (const auto& controller : root.sections("siblings", true))
    out.peers.push_back({controller.text("host_name"), controller.address("addr")});
}

void parse_workers(const Section& workers, core::ClusterConfig& state_machine) {
  state_machine.heartbeat_interval_s = workers.positive("report_s");
  state_machine.worker_lease_s = workers.positive("lease_s");
  state_machine.cancellation_timeout_s = workers.positive("cancel_s");
  state_machine.gang_assembly_timeout_s = workers.positive("gang_wait_s");
  state_machine.gang_peer_timeout_s = workers.positive("gang_peer_s");
}

void parse_state(const Section& state, Settings& out) {
  out.state_rps = state.positive("rps");
  out.state_write_rps = state.positive("write_rps");
  out.cluster.write_rps = out.state_write_rps;
  const StoreLimits present = parse_store_limits(state);
  const auto next = state.optional_section("next");
  const StoreLimits announced = next ? parse_store_limits(*next) : present;
  const double announced_write_rps = next ? next->positive("write_rps") : out.state_write_rps;
  // The announced limits come into force without notice: sizes keep to the smaller ones from the beginning.
  out.state_write_rps_later = std::min(out.state_write_rps, announced_write_rps);
  out.cluster.max_value_bytes = std::min(present.max_value_bytes, announced.max_value_bytes);
  out.cluster.max_transaction_changes =
      std::min(present.max_transaction_changes, announced.max_transaction_changes);
}

void parse_cloud(const Section& cloud, core::ClusterConfig& state_machine) {
  state_machine.cloud_rps = cloud.positive("rps");
  state_machine.machine_list_lag_s = cloud.amount_or_none("list_lag_s");
}

}  // namespace

Settings parse_settings(const std::string& text) {
  const auto file = Json::parse(text, nullptr, false);
  if (file.is_discarded()) throw SettingsError("settings: the file is not JSON");
  const Section root(file, "");
  Settings out;
  parse_addresses(root, out);
  const auto settings = root.section("settings");
  for (const auto& team : settings.sections("teams", true)) out.cluster.teams.push_back(parse_team(team));
  for (const auto& section : settings.sections("objectives", false))
    if (auto objective = parse_objective(section)) out.cluster.objectives.push_back(*std::move(objective));
  parse_workers(settings.section("workers"), out.cluster);
  parse_state(settings.section("state"), out);
  parse_cloud(settings.section("cloud"), out.cluster);
  out.connections = static_cast<std::size_t>(settings.section("resources").positive("fd_limit"));
  out.cluster.min_machines = constants::kDefaultMinMachines;
  out.cluster.free_machines = constants::kDefaultFreeMachines;
  out.cluster.max_machines = constants::kDefaultMaxMachines;
  return out;
}

Settings load_settings(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) throw SettingsError("settings: can't read " + file);
  std::string text(constants::kMaxSettingsBytes + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(in.gcount()));
  if (text.size() > constants::kMaxSettingsBytes) throw SettingsError("settings: the file is too large");
  return parse_settings(text);
}

}  // namespace dockdyke::app
