// The messages of the protocol as value types. The spellings on the wire appear only in this package.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/codec.hpp"
#include "wire/ids.hpp"

namespace dockdyke::wire {

// ---- Jobs -------------------------------------------------------------------------------------------------

// How the tasks of a job relate: independent tasks, tasks that must all run at the same time, or replicas
// that run until the job is cancelled.
enum class Shape { array, gang, service };
enum class Priority { low, normal, high, critical };
enum class Stage { pending, running, done, cancelled };

struct Resources {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  friend Resources operator*(Resources each, double count) {
    return {each.cpus * count, each.gpus * count, each.memory_gb * count};
  }
  // With a tolerance, since sums of decimals are not exact.
  bool fits_into(const Resources& room) const;
};

struct JobSpec {
  JobId id;
  std::string job_class;
  std::string team;
  Shape shape = Shape::array;
  Priority priority = Priority::normal;
  TaskIndex tasks = 1;
  Resources each;
  std::string image;
  double image_gb = 0;
  std::optional<std::vector<std::string>> machine_types;
  std::optional<std::string> zone;
  bool one_zone = false;
  bool spread = false;
  bool spot_allowed = false;
  double estimate_s = 0;
  double checkpoint_s = 0;
  double save_s = 0;
  std::optional<double> deadline_s;
};

bool is_job_id(std::string_view text);
// Throws Malformed where the protocol wants a 400.
JobSpec parse_job(const Json& body);
Json to_json(const JobSpec& spec);
std::string_view spelled(Stage stage);
std::optional<Stage> stage_from(std::string_view text);

struct JobStatus {
  Stage stage = Stage::pending;
  std::uint64_t done = 0;
  std::uint64_t running = 0;
};
// Answer to a submission or a cancellation.
Json job_answer(const JobId& id, Stage stage);
// Answer to a poll.
Json job_status_answer(const JobId& id, const JobStatus& status);

// ---- Workers ----------------------------------------------------------------------------------------------

struct TaskRef {
  JobId job;
  TaskIndex index = 0;
  auto operator<=>(const TaskRef&) const = default;
};
std::optional<TaskRef> parse_task(std::string_view text);
std::string spelled(const TaskRef& task);

// `waiting`: a gang task that has its image and waits for the rest of its gang. `unknown`: a word, or a cause
// of exit, that this version does not know; the task may be on the machine in any form.
enum class TaskState { fetching, waiting, running, saving, exited, unknown };
// `peer_lost`: another task of the gang is gone. `gang_incomplete`: the gang was not complete in time.
enum class ExitCause { none, done, stopped, error, no_room, busy, unknown_job, peer_lost, gang_incomplete };

struct ReportedTask {
  TaskRef task;
  Attempt attempt = 0;
  TaskState state = TaskState::running;
  ExitCause cause = ExitCause::none;
  bool saved = false;
};

struct Report {
  MachineId machine;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t session = 0;
  std::uint64_t sequence = 0;
  Token token;
  std::optional<double> notice_s;
  std::vector<ReportedTask> tasks;
};
Report parse_report(const Json& body);

enum class Verb { start, stop, forget };
struct Order {
  Verb verb = Verb::start;
  TaskRef task;
  Attempt attempt = 0;
  double grace_s = 0;
};
Json report_answer(Token token, const std::vector<Order>& orders);
// Orders sent straight to a worker; it carries them out only in this session and under this or a lower token.
Json direct_orders(Token token, std::uint64_t session, const std::vector<Order>& orders);
Json redirect_answer(const std::string& host);

// ---- Cloud ------------------------------------------------------------------------------------------------

struct MachineType {
  std::string name;
  Resources size;
  double cache_gb = 0;
  double fetch_gb_per_s = 0;
  double price = 0;
  double spot_price = 0;
  double boot_s = 0;
  std::vector<std::string> zones;
};
std::vector<MachineType> parse_machine_types(const Json& body);
Json to_json(const std::vector<MachineType>& types);

enum class MachineStage { booting, running, failed };
struct ListedMachine {
  MachineId id;
  std::string type;
  std::string zone;
  bool spot = false;
  MachineStage stage = MachineStage::booting;
  double age_s = 0;
};
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;
};
MachinePage parse_machine_page(const Json& body);

struct Rental {
  RentId id;
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t count = 1;
};
Json to_json(const Rental& rental);
Rental parse_rental(const Json& value);
std::vector<MachineId> parse_machine_names(const Json& body);
Json machine_names(const std::vector<MachineId>& names);

namespace path {
inline constexpr std::string_view kJobs = "/work";
inline constexpr std::string_view kCancel = "/withdraw";
inline constexpr std::string_view kHealth = "/healthz";
inline constexpr std::string_view kReport = "/v1/report";
inline constexpr std::string_view kDirectOrders = "/commands";  // of a worker
inline constexpr std::string_view kMachineTypes = "/flavors";
inline constexpr std::string_view kMachines = "/machines";
inline constexpr std::string_view kDelete = "/machines/delete";
std::string machine_page(const std::string& after, std::uint64_t limit);
}  // namespace path

// ---- State service ----------------------------------------------------------------------------------------

struct KeyValue {
  std::string key;
  Json value;
  Revision version;
};
struct Guard {
  std::string key;
  Revision version;  // 0: the key must not exist
};
struct Put {
  std::string key;
  Json value;
  std::optional<LeaseId> lease;
};
struct Transaction {
  std::vector<Guard> guards;
  std::vector<Put> puts;
  std::vector<std::string> removals;
};
struct KeyPage {
  std::vector<KeyValue> items;
  bool more = false;
  Revision revision;
};
struct KeyEvent {
  std::string key;
  std::optional<Json> value;  // nothing: the key was removed
  Revision version;
};
struct KeyEvents {
  std::vector<KeyEvent> events;
  Revision revision;
};

Json to_json(const Transaction& transaction);
KeyValue parse_key_value(const Json& body);
KeyPage parse_key_page(const Json& body);
KeyEvents parse_key_events(const Json& body);
Revision parse_revision(const Json& body);
std::vector<std::string> parse_failed_guards(const Json& body);
Json lease_request(std::uint64_t ttl_ms);
LeaseId parse_lease(const Json& body);

namespace path {
inline constexpr std::string_view kTransaction = "/txn";
inline constexpr std::string_view kLeases = "/holds";
std::string key(const std::string& key);
std::string key_page(const std::string& prefix, const std::string& after, std::uint64_t limit);
std::string watch(const std::string& prefix, Revision after, std::uint64_t wait_ms);
std::string lease_renewal(LeaseId lease);
std::string lease(LeaseId lease);
}  // namespace path

}  // namespace dockdyke::wire
