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
enum class JobKind { array, gang, service };
enum class Priority { low, normal, high, critical };
enum class JobState { pending, running, done, cancelled };

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
  JobKind kind = JobKind::array;
  Priority priority = Priority::normal;
  TaskIndex task_count = 1;
  Resources task_resources;
  std::string image;
  double image_gb = 0;
  std::optional<std::vector<std::string>> machine_types;
  std::optional<std::string> zone;
  bool same_zone = false;
  bool spread = false;
  bool spot_allowed = false;
  double estimated_run_s = 0;
  double checkpoint_interval_s = 0;
  double checkpoint_duration_s = 0;
  std::optional<double> deadline_s;
};

bool is_job_id(std::string_view text);
// Throws Malformed where the protocol wants a 400.
JobSpec parse_job(const Json& body);
Json to_json(const JobSpec& spec);
std::string_view spelled(JobState state);
std::optional<JobState> job_state_from(std::string_view text);

struct JobStatus {
  JobState state = JobState::pending;
  std::uint64_t done = 0;
  std::uint64_t running = 0;
};
// Answer to a submission or a cancellation.
Json job_response(const JobId& id, JobState state);
// Answer to a poll.
Json job_status_response(const JobId& id, const JobStatus& status);

// ---- Workers ----------------------------------------------------------------------------------------------

struct TaskId {
  JobId job;
  TaskIndex index = 0;
  auto operator<=>(const TaskId&) const = default;
};
std::optional<TaskId> parse_task_id(std::string_view text);
std::string spelled(const TaskId& task);

// `waiting`: a gang task that has its image and waits for the rest of its gang. `unknown`: a word, or a cause
// of exit, that this version does not know; the task may be on the machine in any form.
enum class TaskState { fetching, waiting, running, saving, exited, unknown };
// `peer_lost`: another task of the gang is gone. `gang_incomplete`: the gang was not complete in time.
enum class ExitCause { none, done, stopped, error, no_room, busy, unknown_job, peer_lost, gang_incomplete };

struct ReportedTask {
  TaskId task;
  Attempt attempt = 0;
  TaskState state = TaskState::running;
  ExitCause cause = ExitCause::none;
  bool saved = false;
};

struct Heartbeat {
  MachineId machine;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence_number = 0;
  FencingToken token;
  std::optional<double> termination_notice_s;
  std::vector<ReportedTask> tasks;
};
Heartbeat parse_heartbeat(const Json& body);

enum class CommandKind { start, stop, acknowledge };
struct Command {
  CommandKind kind = CommandKind::start;
  TaskId task;
  Attempt attempt = 0;
  double grace_s = 0;
};
Json heartbeat_response(FencingToken token, const std::vector<Command>& commands);
// Orders sent straight to a worker; it carries them out only in this session and under this or a lower token.
Json direct_commands(FencingToken token, std::uint64_t incarnation, const std::vector<Command>& commands);
Json redirect_response(const std::string& host);

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

enum class InstanceState { booting, running, failed };
struct ListedMachine {
  MachineId id;
  std::string type;
  std::string zone;
  bool spot = false;
  InstanceState state = InstanceState::booting;
  double age_s = 0;
};
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;
};
MachinePage parse_machine_page(const Json& body);

struct ScaleOutRequest {
  ScaleOutId id;
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t count = 1;
};
Json to_json(const ScaleOutRequest& rental);
ScaleOutRequest parse_scale_out_request(const Json& value);
std::vector<MachineId> parse_machine_names(const Json& body);
Json machine_names(const std::vector<MachineId>& names);

namespace path {
inline constexpr std::string_view kJobs = "/work";
inline constexpr std::string_view kCancel = "/withdraw";
inline constexpr std::string_view kHealth = "/healthz";
inline constexpr std::string_view kHeartbeat = "/v1/report";
inline constexpr std::string_view kDirectCommands = "/commands";  // of a worker
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
struct Precondition {
  std::string key;
  Revision version;  // 0: the key must not exist
};
struct Put {
  std::string key;
  Json value;
  std::optional<LeaseId> lease;
};
struct Transaction {
  std::vector<Precondition> preconditions;
  std::vector<Put> puts;
  std::vector<std::string> deletions;
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
std::vector<std::string> parse_failed_preconditions(const Json& body);
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
