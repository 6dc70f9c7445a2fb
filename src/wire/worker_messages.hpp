// Messages of the interfaces "Workers -> controller nodes" and "Controller nodes -> workers" in PROTOCOL:
// heartbeats of workers, the responses to them, and commands sent straight to a worker. Names end in the unit
// of what they hold; `_s` are seconds.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/codec.hpp"
#include "wire/ids.hpp"
#include "wire/malformed.hpp"

namespace dockdyke::wire {

// One task of a job. Written as "job-000412/3".
struct TaskId {
  JobId job;
  TaskIndex index = 0;  // from 0
  auto operator<=>(const TaskId&) const = default;
};

// Reads the written form of a task id. Returns nothing if the text has any other form.
std::optional<TaskId> parse_task_id(std::string_view text);
std::string spelled(const TaskId& task);

// State of a task on its machine. PROTOCOL, "POST /v1/report".
enum class TaskState {
  fetching,  // waiting for its image
  waiting,   // a gang task that has its image and waits for the rest of its gang
  running,
  saving,   // was told to stop and saves its progress
  exited,   // see ExitCause
  unknown,  // a state or cause that this version does not know; the task may still be on the machine
};

// Why a task exited. PROTOCOL, "POST /v1/report".
enum class ExitCause {
  none,  // the task has not exited
  done,
  stopped,          // by a command
  error,            // failed; mostly the machine is faulty
  no_room,          // start refused: not enough free resources on the machine
  busy,             // start refused: the task is on this machine with another attempt
  unknown_job,      // start refused: no such job or task
  peer_lost,        // another task of the gang is gone
  gang_incomplete,  // the gang was not complete in time
};

// A task in a heartbeat.
struct ReportedTask {
  TaskId task;
  Attempt attempt = 0;
  TaskState state = TaskState::running;
  ExitCause cause = ExitCause::none;
  bool saved = false;  // for a stopped task: its progress was saved
};

// A worker's report on its machine and tasks. PROTOCOL, "POST /v1/report".
struct Heartbeat {
  MachineId machine;
  std::string address;  // host and port at which the worker takes commands
  std::string type;     // machine type
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;  // the worker's session: from 1, increases when its lease expires
  // Increases with every message of the worker; the one with the larger (incarnation, sequence_number) is
  // newer.
  std::uint64_t sequence_number = 0;
  FencingToken token;                          // highest token that the worker has seen
  std::optional<double> termination_notice_s;  // seconds until the cloud takes the machine away
  std::vector<ReportedTask> tasks;             // all tasks on the machine, including exited ones
};

// Reads a heartbeat, or the body of a worker's response to direct commands. Throws Malformed. States and
// causes that are not known are read as TaskState::unknown.
Heartbeat parse_heartbeat(const Json& body);

// What a worker command tells a worker. PROTOCOL, "POST /v1/report": `run`, `kill` and `forget`.
enum class CommandKind {
  start,        // start the task; repeated for the same attempt it has no effect
  stop,         // save within the grace period if possible, then exit
  acknowledge,  // remove an exited task from the heartbeats
};

// A worker command.
struct Command {
  CommandKind kind = CommandKind::start;
  TaskId task;
  Attempt attempt = 0;
  double grace_s = 0;  // only for `stop`: time to save; 0 ends the task at once
};

// Response to a heartbeat. The worker executes the commands only if the token is not lower than the highest
// one it has seen. PROTOCOL, "Tokens".
Json heartbeat_response(FencingToken token, const std::vector<Command>& commands);

// Commands sent straight to a worker, which executes them only in this session and if it has seen no higher
// token. PROTOCOL, "POST /commands".
Json direct_commands(FencingToken token, std::uint64_t incarnation, const std::vector<Command>& commands);

// Body of a 421 response that sends a worker to the node `host`. PROTOCOL, "Workers -> controller nodes".
Json redirect_response(const std::string& host);

namespace path {

inline constexpr std::string_view kHeartbeat = "/v1/report";      // of a controller node, POST
inline constexpr std::string_view kDirectCommands = "/commands";  // of a worker, POST

}  // namespace path

}  // namespace dockdyke::wire
