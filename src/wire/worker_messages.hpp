// Messages of the interfaces "Workers -> controller nodes" and "Controller nodes -> workers" in PROTOCOL:
// heartbeats, the responses to them, and commands sent directly to a worker. The suffix of a name states its
// unit; `_s` stands for seconds.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/codec.hpp"
#include "wire/ids.hpp"
#include "wire/parse_error.hpp"

namespace dockdyke::wire {

// Identifies a task of a job. Its string form is "job-000412/3".
struct TaskId {
  JobId job;
  TaskIndex index = 0;  // from 0
  auto operator<=>(const TaskId&) const = default;
};

// Parses the string form of a task id. Returns std::nullopt if the text has any other form.
std::optional<TaskId> task_id_from_string(std::string_view text);
std::string to_string(const TaskId& task);

// State of a task on its machine. PROTOCOL, "POST /v1/report".
enum class TaskState {
  fetching_image,    // waits until its image is on the machine
  waiting_for_gang,  // a gang task that has its image and waits for the other tasks of its gang
  running,
  checkpointing,  // writes a checkpoint after a stop command
  exited,         // see ExitCause
  unknown,        // a state or cause that this version does not know; the task may still be on the machine
};

// Why a task exited. PROTOCOL, "POST /v1/report".
enum class ExitCause {
  none,  // the task has not exited
  done,
  stopped,                // by a stop command
  error,                  // failed; a faulty machine is the most frequent reason
  insufficient_capacity,  // start rejected: the task does not fit into the free capacity of the machine
  attempt_conflict,       // start rejected: another attempt of the task is on this machine
  unknown_task,           // start rejected: the job or task does not exist
  gang_peer_lost,         // another task of the gang no longer runs
  gang_incomplete,        // the gang was not assembled in time
};

// Status of a task in a heartbeat.
struct ReportedTask {
  TaskId task;
  Attempt attempt = 0;
  TaskState state = TaskState::running;
  ExitCause cause = ExitCause::none;
  bool checkpoint_written = false;  // only for a stopped task
};

// Periodic status message of a worker about its machine and tasks. PROTOCOL, "POST /v1/report".
struct Heartbeat {
  MachineId machine;
  std::string address;  // host and port at which the worker accepts commands
  std::string type;     // machine type
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;  // starts at 1 and increases whenever the worker's lease expires
  // Increases with every message of the worker. Of two messages, the one with the larger (incarnation,
  // sequence_number) is newer.
  std::uint64_t sequence_number = 0;
  FencingToken token;                          // highest token that the worker has seen
  std::optional<double> termination_notice_s;  // seconds until the cloud reclaims the machine
  std::vector<ReportedTask> tasks;             // all tasks on the machine, including exited ones
};

// Parses a heartbeat, or the body of a worker's response to direct commands. Throws ParseError if the body
// does not follow the protocol. A task with an unknown state or exit cause gets TaskState::unknown.
Heartbeat parse_heartbeat(const Json& body);

// Kind of a worker command. PROTOCOL, "POST /v1/report": `run`, `kill` and `forget`.
enum class CommandKind {
  start,        // start the task; has no effect if repeated for the same attempt
  stop,         // write a checkpoint within the grace period if possible, then exit
  acknowledge,  // remove an exited task from the heartbeats
};

// A command to a worker about one task.
struct Command {
  CommandKind kind = CommandKind::start;
  TaskId task;
  Attempt attempt = 0;
  double grace_s = 0;  // only for `stop`: time to write a checkpoint; 0 ends the task immediately
};

// Builds the response to a heartbeat. The worker executes the commands only if the token is not lower than
// the highest one it has seen. PROTOCOL, "Tokens".
Json heartbeat_response(FencingToken token, const std::vector<Command>& commands);

// Builds the body of a request that sends commands directly to a worker. The worker executes them only if it
// still has this incarnation and has seen no higher token. PROTOCOL, "POST /commands".
Json direct_command_request(FencingToken token, std::uint64_t incarnation,
                            const std::vector<Command>& commands);

// Builds the body of a 421 response that redirects a worker to the controller node `host`. PROTOCOL, "Workers
// -> controller nodes".
Json redirect_response(const std::string& host);

namespace path {

inline constexpr std::string_view kHeartbeat = "/v1/report";      // of a controller node, POST
inline constexpr std::string_view kDirectCommands = "/commands";  // of a worker, POST

}  // namespace path

}  // namespace dockdyke::wire
