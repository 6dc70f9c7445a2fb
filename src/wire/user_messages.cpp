#include "wire/user_messages.hpp"

#include <algorithm>
#include <utility>

#include "constants.hpp"
#include "wire/fields.hpp"
#include "wire/user_protocol.hpp"

namespace dockdyke::wire {

namespace {

JobId require_job_id(const Json& body) {
  auto id = require_text(body, field::kId);
  if (!is_job_id(id)) throw ParseError(ParseErrorCode::invalid_format, field::kId);
  return JobId(std::move(id));
}

TaskIndex require_task_count(const Json& body) {
  const auto count = require_count(body, field::kTasks);
  if (count == 0 || count > constants::kMaxTasksPerJob)
    throw ParseError(ParseErrorCode::out_of_range, field::kTasks);
  return static_cast<TaskIndex>(count);
}

std::optional<std::vector<std::string>> optional_machine_types(const Json& body) {
  if (!find_field(body, field::kMachineTypes)) return std::nullopt;
  auto types = require_name_list(body, field::kMachineTypes);
  if (types.empty()) throw ParseError(ParseErrorCode::out_of_range, field::kMachineTypes);
  return types;
}

Json to_json_or_null(const auto& optional) {
  return optional ? Json(*optional) : Json(nullptr);
}

}  // namespace

bool is_job_id(std::string_view text) {
  constexpr std::string_view kPrefix = "job-";
  constexpr std::size_t kMaxDigits = 18;
  if (!text.starts_with(kPrefix)) return false;
  auto digits = text.substr(kPrefix.size());
  return !digits.empty() && digits.size() <= kMaxDigits &&
         std::all_of(digits.begin(), digits.end(), [](char c) { return c >= '0' && c <= '9'; });
}

JobSpec parse_job(const Json& body) {
  JobSpec spec;
  spec.id = require_job_id(body);
  spec.job_class = require_name(body, field::kJobClass);
  spec.team = require_name(body, field::kTeam);
  spec.kind = require_enum(body, field::kJobKind, kJobKinds);
  spec.priority = require_enum(body, field::kPriority, kPriorities);
  spec.task_count = require_task_count(body);
  spec.task_resources = {require_bounded_amount(body, field::kCpus),
                         require_bounded_amount(body, field::kGpus),
                         require_bounded_amount(body, field::kMemoryGb)};
  spec.image = require_name(body, field::kImage);
  spec.image_gb = require_bounded_amount(body, field::kImageGb);
  spec.machine_types = optional_machine_types(body);
  spec.zone = optional_name(body, field::kZone);
  spec.same_zone = require_flag(body, field::kSameZone);
  spec.spread = require_flag(body, field::kSpread);
  spec.spot_allowed = require_flag(body, field::kSpot);
  spec.estimated_run_s = require_bounded_amount(body, field::kEstimatedRunS);
  spec.checkpoint_interval_s = require_bounded_amount(body, field::kCheckpointIntervalS);
  spec.checkpoint_duration_s = require_bounded_amount(body, field::kCheckpointDurationS);
  spec.deadline_s = optional_bounded_amount(body, field::kDeadlineS);
  return spec;
}

Json to_json(const JobSpec& spec) {
  return Json{{field::kId, spec.id.value},
              {field::kJobClass, spec.job_class},
              {field::kTeam, spec.team},
              {field::kJobKind, enum_to_text(kJobKinds, spec.kind)},
              {field::kPriority, enum_to_text(kPriorities, spec.priority)},
              {field::kTasks, spec.task_count},
              {field::kCpus, spec.task_resources.cpus},
              {field::kGpus, spec.task_resources.gpus},
              {field::kMemoryGb, spec.task_resources.memory_gb},
              {field::kImage, spec.image},
              {field::kImageGb, spec.image_gb},
              {field::kMachineTypes, to_json_or_null(spec.machine_types)},
              {field::kZone, to_json_or_null(spec.zone)},
              {field::kSameZone, spec.same_zone},
              {field::kSpread, spec.spread},
              {field::kSpot, spec.spot_allowed},
              {field::kEstimatedRunS, spec.estimated_run_s},
              {field::kCheckpointIntervalS, spec.checkpoint_interval_s},
              {field::kCheckpointDurationS, spec.checkpoint_duration_s},
              {field::kDeadlineS, to_json_or_null(spec.deadline_s)}};
}

std::string_view to_string(JobState state) {
  return enum_to_text(kJobStates, state);
}

std::optional<JobState> job_state_from_string(std::string_view text) {
  return enum_from_text(kJobStates, text);
}

Json job_response(const JobId& id, JobState state) {
  return Json{{field::kId, id.value}, {field::kState, to_string(state)}};
}

Json job_status_response(const JobId& id, const JobStatus& status) {
  auto response = job_response(id, status.state);
  response[field::kDoneTasks] = status.done_tasks;
  response[field::kRunningTasks] = status.running_tasks;
  return response;
}

}  // namespace dockdyke::wire
