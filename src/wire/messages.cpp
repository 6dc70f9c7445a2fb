#include "wire/messages.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "constants.hpp"

namespace dockdyke::wire {

namespace {

template <class Enum, std::size_t N>
using Spelling = std::array<std::pair<std::string_view, Enum>, N>;

constexpr Spelling<JobKind, 3> kJobKinds{
    {{"batch", JobKind::array}, {"group", JobKind::gang}, {"standing", JobKind::service}}};
constexpr Spelling<Priority, 4> kPriorities{{{"critical", Priority::critical},
                                             {"high", Priority::high},
                                             {"normal", Priority::normal},
                                             {"low", Priority::low}}};
constexpr Spelling<JobState, 4> kJobStates{{{"pending", JobState::pending},
                                            {"running", JobState::running},
                                            {"done", JobState::done},
                                            {"cancelled", JobState::cancelled}}};
constexpr Spelling<TaskState, 5> kTaskStates{{{"pulling", TaskState::fetching},
                                              {"waiting", TaskState::waiting},
                                              {"running", TaskState::running},
                                              {"saving", TaskState::saving},
                                              {"exited", TaskState::exited}}};
constexpr Spelling<ExitCause, 8> kCauses{{{"done", ExitCause::done},
                                          {"halted", ExitCause::stopped},
                                          {"error", ExitCause::error},
                                          {"no_room", ExitCause::no_room},
                                          {"busy", ExitCause::busy},
                                          {"no_such", ExitCause::unknown_job},
                                          {"mates_gone", ExitCause::peer_lost},
                                          {"alone", ExitCause::gang_incomplete}}};
constexpr Spelling<CommandKind, 3> kCommandKinds{
    {{"run", CommandKind::start}, {"kill", CommandKind::stop}, {"forget", CommandKind::acknowledge}}};
constexpr Spelling<InstanceState, 3> kInstanceStates{{{"booting", InstanceState::booting},
                                                      {"running", InstanceState::running},
                                                      {"failed", InstanceState::failed}}};

template <class Enum, std::size_t N>
std::optional<Enum> meaning(const Spelling<Enum, N>& table, std::string_view text) {
  for (const auto& [spelling, value] : table)
    if (spelling == text) return value;
  return std::nullopt;
}

template <class Enum, std::size_t N>
std::string_view spelling_of(const Spelling<Enum, N>& table, Enum value) {
  for (const auto& [spelling, each] : table)
    if (each == value) return spelling;
  return {};
}

template <class Enum, std::size_t N>
Enum require_enum(const Json& map, const char* field, const Spelling<Enum, N>& table) {
  auto value = meaning(table, require_text(map, field));
  if (!value) throw Malformed(std::string("unknown value in field: ") + field);
  return *value;
}

std::string checked_name(std::string text, const char* field) {
  if (text.empty() || text.size() > constants::kMaxNameLength)
    throw Malformed(std::string("invalid name: ") + field);
  return text;
}

double checked_amount(double amount, const char* field) {
  if (amount > constants::kMaxAmount) throw Malformed(std::string("too large: ") + field);
  return amount;
}

double bounded_amount(const Json& map, const char* field) {
  return checked_amount(require_amount(map, field), field);
}

std::vector<std::string> names_in(const Json& list, const char* field) {
  if (!list.is_array()) throw Malformed(std::string("not a list: ") + field);
  std::vector<std::string> out;
  for (const auto& each : list) {
    if (!each.is_string()) throw Malformed(std::string("not a name in: ") + field);
    auto name = checked_name(each.get<std::string>(), field);
    if (std::find(out.begin(), out.end(), name) == out.end()) out.push_back(std::move(name));
  }
  return out;
}

const Json& require_list(const Json& map, const char* field) {
  const Json* list = find(map, field);
  if (!list || !list->is_array()) throw Malformed(std::string("not a list: ") + field);
  return *list;
}

Json nullable(const auto& value) {
  return value ? Json(*value) : Json(nullptr);
}

std::string escaped(std::string_view text) {
  std::string out;
  for (unsigned char c : text) {
    const bool plain = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                       c == '-' || c == '_' || c == '.' || c == '/' || c == '~';
    if (plain) {
      out += static_cast<char>(c);
    } else {
      static constexpr char kHex[] = "0123456789ABCDEF";
      out += {'%', kHex[c >> 4], kHex[c & 15]};
    }
  }
  return out;
}

}  // namespace

Resources& Resources::operator+=(const Resources& other) {
  cpus += other.cpus;
  gpus += other.gpus;
  memory_gb += other.memory_gb;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  cpus -= other.cpus;
  gpus -= other.gpus;
  memory_gb -= other.memory_gb;
  return *this;
}

bool Resources::fits_into(const Resources& room) const {
  constexpr double kRounding = 1e-6;  // far below any amount, far above the error of summing decimals
  return cpus <= room.cpus + kRounding && gpus <= room.gpus + kRounding &&
         memory_gb <= room.memory_gb + kRounding;
}

bool is_job_id(std::string_view text) {
  constexpr std::string_view kPrefix = "job-";
  constexpr std::size_t kMostDigits = 18;
  if (!text.starts_with(kPrefix)) return false;
  auto digits = text.substr(kPrefix.size());
  return !digits.empty() && digits.size() <= kMostDigits &&
         std::all_of(digits.begin(), digits.end(), [](char c) { return c >= '0' && c <= '9'; });
}

JobSpec parse_job(const Json& body) {
  JobSpec spec;
  auto id = require_text(body, "id");
  if (!is_job_id(id)) throw Malformed("invalid id");
  spec.id = JobId(std::move(id));
  spec.job_class = checked_name(require_text(body, "lane"), "lane");
  spec.team = checked_name(require_text(body, "crew"), "crew");
  spec.kind = require_enum(body, "shape", kJobKinds);
  spec.priority = require_enum(body, "urgency", kPriorities);
  auto tasks = require_count(body, "pieces");
  if (tasks == 0 || tasks > constants::kMaxTasksPerJob) throw Malformed("out of range: pieces");
  spec.task_count = static_cast<TaskIndex>(tasks);
  spec.task_resources = {bounded_amount(body, "vcpus"), bounded_amount(body, "gpus"),
                         bounded_amount(body, "ram_gb")};
  spec.image = checked_name(require_text(body, "hull"), "hull");
  spec.image_gb = bounded_amount(body, "image_gb");
  if (const Json* types = find(body, "builds")) {
    spec.machine_types = names_in(*types, "builds");
    if (spec.machine_types->empty()) throw Malformed("empty: builds");
  }
  if (auto zone = optional_text(body, "polder")) spec.zone = checked_name(*zone, "polder");
  spec.same_zone = require_flag(body, "same_place");
  spec.spread = require_flag(body, "spread");
  spec.spot_allowed = require_flag(body, "ebbtide");
  spec.estimated_run_s = bounded_amount(body, "expect_s");
  spec.checkpoint_interval_s = bounded_amount(body, "mark_s");
  spec.checkpoint_duration_s = bounded_amount(body, "stow_s");
  if (auto due = optional_amount(body, "due_s")) spec.deadline_s = checked_amount(*due, "due_s");
  return spec;
}

Json to_json(const JobSpec& spec) {
  return Json{{"id", spec.id.value},
              {"lane", spec.job_class},
              {"crew", spec.team},
              {"shape", spelling_of(kJobKinds, spec.kind)},
              {"urgency", spelling_of(kPriorities, spec.priority)},
              {"pieces", spec.task_count},
              {"vcpus", spec.task_resources.cpus},
              {"gpus", spec.task_resources.gpus},
              {"ram_gb", spec.task_resources.memory_gb},
              {"hull", spec.image},
              {"image_gb", spec.image_gb},
              {"builds", nullable(spec.machine_types)},
              {"polder", nullable(spec.zone)},
              {"same_place", spec.same_zone},
              {"spread", spec.spread},
              {"ebbtide", spec.spot_allowed},
              {"expect_s", spec.estimated_run_s},
              {"mark_s", spec.checkpoint_interval_s},
              {"stow_s", spec.checkpoint_duration_s},
              {"due_s", nullable(spec.deadline_s)}};
}

std::string_view spelled(JobState state) {
  return spelling_of(kJobStates, state);
}
std::optional<JobState> job_state_from(std::string_view text) {
  return meaning(kJobStates, text);
}

Json job_response(const JobId& id, JobState state) {
  return Json{{"id", id.value}, {"stage", spelled(state)}};
}

Json job_status_response(const JobId& id, const JobStatus& status) {
  auto out = job_response(id, status.state);
  out["done"] = status.done;
  out["running"] = status.running;
  return out;
}

std::optional<TaskId> parse_task_id(std::string_view text) {
  auto slash = text.find('/');
  if (slash == std::string_view::npos || !is_job_id(text.substr(0, slash))) return std::nullopt;
  auto digits = text.substr(slash + 1);
  TaskIndex index = 0;
  auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), index);
  if (digits.empty() || error != std::errc{} || end != digits.data() + digits.size()) return std::nullopt;
  return TaskId{JobId(std::string(text.substr(0, slash))), index};
}

std::string spelled(const TaskId& task) {
  return task.job.value + "/" + std::to_string(task.index);
}

namespace {

// A word that a later version of the workers uses must not make the whole report worthless: the worker's
// lease would run out on it. Such a task counts as there, in a state that proves nothing.
void read_state(const Json& reported, ReportedTask& task) {
  task.state = meaning(kTaskStates, require_text(reported, "stage")).value_or(TaskState::unknown);
  if (task.state != TaskState::exited) return;
  const auto cause = meaning(kCauses, require_text(reported, "cause"));
  task.cause = cause.value_or(ExitCause::none);
  if (!cause) task.state = TaskState::unknown;
}

}  // namespace

Heartbeat parse_heartbeat(const Json& body) {
  Heartbeat heartbeat;
  heartbeat.machine = MachineId(checked_name(require_text(body, "dyke"), "dyke"));
  heartbeat.address = require_text(body, "endpoint");
  heartbeat.type = checked_name(require_text(body, "build"), "build");
  heartbeat.zone = checked_name(require_text(body, "polder"), "polder");
  heartbeat.spot = flag_or(body, "ebbtide", false);
  heartbeat.incarnation = require_count(body, "watch");
  heartbeat.sequence_number = require_count(body, "tally");
  heartbeat.token = FencingToken(require_count(body, "warrant"));
  heartbeat.termination_notice_s = optional_amount(body, "warning_s");
  for (const auto& each : require_list(body, "pieces")) {
    ReportedTask task;
    auto ref = parse_task_id(require_text(each, "piece"));
    if (!ref) throw Malformed("invalid piece");
    task.task = *std::move(ref);
    task.attempt = require_count(each, "try");
    read_state(each, task);
    task.saved = flag_or(each, "stored", false);
    heartbeat.tasks.push_back(std::move(task));
  }
  return heartbeat;
}

namespace {

Json orders_to_json(const std::vector<Command>& commands) {
  Json list = Json::array();
  for (const auto& command : commands) {
    Json each{{"verb", spelling_of(kCommandKinds, command.kind)},
              {"piece", spelled(command.task)},
              {"try", command.attempt}};
    if (command.kind == CommandKind::stop) each["leeway_s"] = command.grace_s;
    list.push_back(std::move(each));
  }
  return list;
}

}  // namespace

Json heartbeat_response(FencingToken token, const std::vector<Command>& commands) {
  return Json{{"warrant", token.value}, {"orders", orders_to_json(commands)}};
}

Json direct_commands(FencingToken token, std::uint64_t incarnation, const std::vector<Command>& commands) {
  return Json{{"warrant", token.value}, {"watch", incarnation}, {"orders", orders_to_json(commands)}};
}

Json redirect_response(const std::string& host) {
  return Json{{"harbour", host}};
}

std::vector<MachineType> parse_machine_types(const Json& body) {
  std::vector<MachineType> out;
  for (const auto& each : require_list(body, "builds")) {
    MachineType type;
    type.name = require_text(each, "name");
    type.size = {require_amount(each, "vcpus"), optional_amount(each, "gpus").value_or(0),
                 require_amount(each, "ram_gb")};
    type.cache_gb = optional_amount(each, "local_gb").value_or(0);
    type.fetch_gb_per_s = optional_amount(each, "pull_gb_per_s").value_or(1);
    type.price = require_amount(each, "price");
    type.spot_price = optional_amount(each, "market_price").value_or(type.price);
    type.boot_s = require_amount(each, "ready_s");
    type.zones = names_in(require_list(each, "polders"), "polders");
    out.push_back(std::move(type));
  }
  return out;
}

Json to_json(const std::vector<MachineType>& types) {
  Json list = Json::array();
  for (const auto& type : types)
    list.push_back({{"name", type.name},
                    {"vcpus", type.size.cpus},
                    {"gpus", type.size.gpus},
                    {"ram_gb", type.size.memory_gb},
                    {"local_gb", type.cache_gb},
                    {"pull_gb_per_s", type.fetch_gb_per_s},
                    {"price", type.price},
                    {"market_price", type.spot_price},
                    {"ready_s", type.boot_s},
                    {"polders", type.zones}});
  return Json{{"builds", std::move(list)}};
}

MachinePage parse_machine_page(const Json& body) {
  MachinePage page;
  for (const auto& each : require_list(body, "dykes")) {
    ListedMachine machine;
    machine.id = MachineId(require_text(each, "id"));
    machine.type = require_text(each, "build");
    machine.zone = require_text(each, "polder");
    machine.spot = flag_or(each, "ebbtide", false);
    machine.state = require_enum(each, "stage", kInstanceStates);
    machine.age_s = optional_amount(each, "held_s").value_or(0);
    page.machines.push_back(std::move(machine));
  }
  page.more = flag_or(body, "more", false);
  return page;
}

Json to_json(const ScaleOutRequest& rental) {
  return Json{{"charter", rental.id.value},
              {"build", rental.type},
              {"polder", rental.zone},
              {"ebbtide", rental.spot},
              {"count", rental.count}};
}

ScaleOutRequest parse_scale_out_request(const Json& value) {
  return ScaleOutRequest{ScaleOutId(require_text(value, "charter")), require_text(value, "build"),
                         require_text(value, "polder"), require_flag(value, "ebbtide"),
                         require_count(value, "count")};
}

std::vector<MachineId> parse_machine_names(const Json& body) {
  std::vector<MachineId> out;
  for (auto& name : names_in(require_list(body, "dykes"), "dykes")) out.emplace_back(std::move(name));
  return out;
}

Json machine_names(const std::vector<MachineId>& names) {
  Json list = Json::array();
  for (const auto& each : names) list.push_back(each.value);
  return Json{{"dykes", std::move(list)}};
}

Json to_json(const Transaction& transaction) {
  Json preconditions = Json::array();
  for (const auto& precondition : transaction.preconditions)
    preconditions.push_back({{"k", precondition.key}, {"stamp", precondition.version.value}});
  Json apply = Json::array();
  for (const auto& put : transaction.puts) {
    Json each{{"write", put.key}, {"value", put.value}};
    if (put.lease) each["tenure"] = put.lease->value;
    apply.push_back(std::move(each));
  }
  for (const auto& key : transaction.deletions) apply.push_back({{"remove", key}});
  return Json{{"guards", std::move(preconditions)}, {"apply", std::move(apply)}};
}

KeyValue parse_key_value(const Json& body) {
  const Json* value = find(body, "value");
  return KeyValue{require_text(body, "k"), value ? *value : Json(), Revision(require_count(body, "stamp"))};
}

KeyPage parse_key_page(const Json& body) {
  KeyPage page;
  for (const auto& each : require_list(body, "pairs")) page.items.push_back(parse_key_value(each));
  page.more = flag_or(body, "more", false);
  page.revision = parse_revision(body);
  return page;
}

KeyEvents parse_key_events(const Json& body) {
  KeyEvents out;
  for (const auto& each : require_list(body, "log")) {
    KeyEvent event;
    event.version = Revision(require_count(each, "stamp"));
    if (auto written = optional_text(each, "write")) {
      event.key = *std::move(written);
      const Json* value = find(each, "value");
      event.value = value ? *value : Json();
    } else {
      event.key = require_text(each, "remove");
    }
    out.events.push_back(std::move(event));
  }
  out.revision = parse_revision(body);
  return out;
}

Revision parse_revision(const Json& body) {
  return Revision(require_count(body, "ledger"));
}

std::vector<std::string> parse_failed_preconditions(const Json& body) {
  std::vector<std::string> out;
  for (const auto& each : require_list(body, "failed"))
    if (each.is_string()) out.push_back(each.get<std::string>());
  return out;
}

Json lease_request(std::uint64_t ttl_ms) {
  return Json{{"life_ms", ttl_ms}};
}
LeaseId parse_lease(const Json& body) {
  return LeaseId(require_count(body, "tenure"));
}

namespace path {

std::string machine_page(const std::string& after, std::uint64_t limit) {
  std::string out = std::string(kMachines) + "?page=" + std::to_string(limit);
  if (!after.empty()) out += "&since=" + escaped(after);
  return out;
}

std::string key(const std::string& key) {
  return "/store/" + escaped(key);
}

std::string key_page(const std::string& prefix, const std::string& after, std::uint64_t limit) {
  std::string out = "/store?starts=" + escaped(prefix) + "&page=" + std::to_string(limit);
  if (!after.empty()) out += "&since=" + escaped(after);
  return out;
}

std::string watch(const std::string& prefix, Revision after, std::uint64_t wait_ms) {
  return "/watch?starts=" + escaped(prefix) + "&since=" + std::to_string(after.value) +
         "&hold_ms=" + std::to_string(wait_ms);
}

std::string lease_renewal(LeaseId id) {
  return lease(id) + "/touch";
}
std::string lease(LeaseId id) {
  return std::string(kLeases) + "/" + std::to_string(id.value);
}

}  // namespace path

}  // namespace dockdyke::wire
