// Messages of the interface "Users -> controller nodes" in PROTOCOL: submission, polling and cancellation of
// jobs. Functions named parse_* throw ParseError if the body does not follow the protocol. The suffix of a
// name states its unit; `_s` stands for seconds.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/codec.hpp"
#include "wire/ids.hpp"
#include "wire/parse_error.hpp"
#include "wire/resources.hpp"

namespace dockdyke::wire {

// Scheduling and lifetime of the tasks of a job.
enum class JobKind {
  array,    // job array: independent tasks that each run to completion
  gang,     // tasks that must all run at the same time
  service,  // replicas that run until the job is cancelled
};

// Priority of a job. The values are in ascending order and can be compared.
enum class Priority { low, normal, high, critical };

// State of a job in responses to users. `pending`: no task is running. PROTOCOL, "GET /work/{id}".
enum class JobState { pending, running, done, cancelled };

// A job as submitted. PROTOCOL, "POST /work".
struct JobSpec {
  JobId id;               // chosen by the user
  std::string job_class;  // selects the service-level objectives in the settings
  std::string team;       // its quota applies: guarantee and limit
  JobKind kind = JobKind::array;
  Priority priority = Priority::normal;
  TaskIndex task_count = 1;  // 1 to constants::kMaxTasksPerJob
  Resources task_resources;  // required by each task
  std::string image;         // must be fetched to the machine before the task starts
  double image_gb = 0;
  std::optional<std::vector<std::string>> machine_types;  // allowed types, at least one; empty: any
  std::optional<std::string> zone;                        // the only allowed zone; empty: any
  bool same_zone = false;                                 // all tasks must be in one zone
  bool spread = false;  // at most half of the tasks, rounded up, in one zone
  bool spot_allowed = false;
  double estimated_run_s = 0;  // user's estimate of one task's run time without image fetch; 0 for services
  double checkpoint_interval_s = 0;  // progress between two checkpoints; 0: the task writes none
  double checkpoint_duration_s = 0;  // time to write a checkpoint when the task is stopped
  std::optional<double> deadline_s;  // time from the submission to the deadline; empty: none
};

// Returns whether the text has the form of a job id: "job-" and 1 to 18 digits.
bool is_job_id(std::string_view text);

// Parses a submission or the job in a stored record. Throws ParseError where the protocol requires a 400
// response.
JobSpec parse_job(const Json& body);
Json to_json(const JobSpec& spec);

// Converts a state to and from its string in responses and stored records. Returns std::nullopt for an
// unknown string.
std::string_view to_string(JobState state);
std::optional<JobState> job_state_from_string(std::string_view text);

// Status of a job in the response to a poll.
struct JobStatus {
  JobState state = JobState::pending;
  std::uint64_t done_tasks = 0;
  std::uint64_t running_tasks = 0;
};

// Builds the response to a submission or cancellation. PROTOCOL, "POST /work" and "POST /work/{id}/withdraw".
Json job_response(const JobId& id, JobState state);
// Builds the response to a poll. PROTOCOL, "GET /work/{id}".
Json job_status_response(const JobId& id, const JobStatus& status);

namespace path {

inline constexpr std::string_view kJobs = "/work";        // POST: submit; with "/{id}" appended, GET: poll
inline constexpr std::string_view kCancel = "/withdraw";  // appended to the path of a job, POST: cancel
inline constexpr std::string_view kHealth = "/healthz";   // GET: health check of the load balancer

}  // namespace path

}  // namespace dockdyke::wire
