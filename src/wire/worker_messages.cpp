#include "wire/worker_messages.hpp"

#include <charconv>
#include <utility>

#include "wire/fields.hpp"
#include "wire/user_messages.hpp"
#include "wire/worker_protocol.hpp"

namespace dockdyke::wire {

namespace {

constexpr char kTaskIdSeparator = '/';

std::optional<TaskIndex> parse_task_index(std::string_view digits) {
  const char* const end = digits.data() + digits.size();
  TaskIndex index = 0;
  const auto [parsed_end, error] = std::from_chars(digits.data(), end, index);
  if (error != std::errc{} || parsed_end != end) return std::nullopt;
  return index;
}

TaskId require_task_id(const Json& map) {
  auto task = task_id_from_string(require_text(map, field::kTask));
  if (!task) throw ParseError(ParseErrorCode::invalid_format, field::kTask);
  return *std::move(task);
}

// Parses the state and exit cause of a task. An unknown value, e.g. from a newer worker version, does not
// make the heartbeat invalid, because without a response the worker's lease would expire. The task is then
// treated as present on the machine, with TaskState::unknown.
void parse_state_and_cause(const Json& reported, ReportedTask& task) {
  task.state =
      enum_from_text(kTaskStates, require_text(reported, field::kState)).value_or(TaskState::unknown);
  if (task.state != TaskState::exited) return;
  const auto cause = enum_from_text(kExitCauses, require_text(reported, field::kExitCause));
  task.cause = cause.value_or(ExitCause::none);
  if (!cause) task.state = TaskState::unknown;
}

ReportedTask parse_reported_task(const Json& reported) {
  ReportedTask task;
  task.task = require_task_id(reported);
  task.attempt = require_count(reported, field::kAttempt);
  parse_state_and_cause(reported, task);
  task.checkpoint_written = flag_or(reported, field::kCheckpointWritten, false);
  return task;
}

Json to_json(const Command& command) {
  Json body{{field::kCommandKind, enum_to_text(kCommandKinds, command.kind)},
            {field::kTask, to_string(command.task)},
            {field::kAttempt, command.attempt}};
  if (command.kind == CommandKind::stop) body[field::kGraceS] = command.grace_s;
  return body;
}

Json to_json(const std::vector<Command>& commands) {
  Json list = Json::array();
  for (const auto& command : commands) list.push_back(to_json(command));
  return list;
}

}  // namespace

std::optional<TaskId> task_id_from_string(std::string_view text) {
  const auto separator = text.find(kTaskIdSeparator);
  if (separator == std::string_view::npos) return std::nullopt;
  const auto job = text.substr(0, separator);
  const auto index = parse_task_index(text.substr(separator + 1));
  if (!is_job_id(job) || !index) return std::nullopt;
  return TaskId{JobId(std::string(job)), *index};
}

std::string to_string(const TaskId& task) {
  return task.job.value + kTaskIdSeparator + std::to_string(task.index);
}

Heartbeat parse_heartbeat(const Json& body) {
  Heartbeat heartbeat;
  heartbeat.machine = MachineId(require_name(body, field::kMachine));
  heartbeat.address = require_text(body, field::kAddress);
  heartbeat.type = require_name(body, field::kMachineType);
  heartbeat.zone = require_name(body, field::kZone);
  heartbeat.spot = flag_or(body, field::kSpot, false);
  heartbeat.incarnation = require_count(body, field::kIncarnation);
  heartbeat.sequence_number = require_count(body, field::kSequenceNumber);
  heartbeat.token = FencingToken(require_count(body, field::kToken));
  heartbeat.termination_notice_s = optional_amount(body, field::kTerminationNoticeS);
  heartbeat.tasks = require_items(body, field::kTasks, parse_reported_task);
  return heartbeat;
}

Json heartbeat_response(FencingToken token, const std::vector<Command>& commands) {
  return Json{{field::kToken, token.value}, {field::kCommands, to_json(commands)}};
}

Json direct_command_request(FencingToken token, std::uint64_t incarnation,
                            const std::vector<Command>& commands) {
  auto body = heartbeat_response(token, commands);
  body[field::kIncarnation] = incarnation;
  return body;
}

Json redirect_response(const std::string& host) {
  return Json{{field::kRedirectHost, host}};
}

}  // namespace dockdyke::wire
