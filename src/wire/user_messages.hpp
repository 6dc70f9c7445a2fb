// Messages of the interface "Users -> controller nodes" in PROTOCOL: submission, polling and cancellation of
// jobs. Functions named parse_* throw Malformed if the body does not follow the protocol. Names end in the
// unit of what they hold; `_s` are seconds.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/codec.hpp"
#include "wire/ids.hpp"
#include "wire/malformed.hpp"
#include "wire/resources.hpp"

namespace dockdyke::wire {

// How the tasks of a job relate to each other.
enum class JobKind {
  array,    // independent tasks, each runs to completion
  gang,     // tasks that must all run at the same time
  service,  // replicas that run until the job is cancelled
};

// Urgency of a job, in ascending order, so that values can be compared. PROTOCOL, "Preemption".
enum class Priority { low, normal, high, critical };

// State of a job as users see it. `pending`: no task runs. PROTOCOL, "GET /work/{id}".
enum class JobState { pending, running, done, cancelled };

// A job as submitted. PROTOCOL, "POST /work".
struct JobSpec {
  JobId id;               // chosen by the user
  std::string job_class;  // names the objectives in the settings that apply
  std::string team;       // its guarantee and limit apply
  JobKind kind = JobKind::array;
  Priority priority = Priority::normal;
  TaskIndex task_count = 1;  // 1 to constants::kMaxTasksPerJob
  Resources task_resources;  // what each task takes of its machine
  std::string image;         // must be on the machine before the task starts
  double image_gb = 0;
  std::optional<std::vector<std::string>> machine_types;  // allowed types, at least one; nothing: any
  std::optional<std::string> zone;                        // the only allowed zone; nothing: any
  bool same_zone = false;                                 // all tasks must be in one zone
  bool spread = false;                                    // at most half, rounded up, in one zone
  bool spot_allowed = false;
  double estimated_run_s = 0;        // of a task, without the image fetch; often wrong. 0 for services
  double checkpoint_interval_s = 0;  // progress between two checkpoints; 0: the task never saves
  double checkpoint_duration_s = 0;  // time to save when the task is stopped
  std::optional<double> deadline_s;  // from the submission; nothing: no deadline
};

// Whether the text has the form of a job id, "job-" and up to 18 digits.
bool is_job_id(std::string_view text);

// Reads a submission, or the job in a stored record. Throws Malformed where the protocol requires a 400.
JobSpec parse_job(const Json& body);
Json to_json(const JobSpec& spec);

// The spelling of a state in responses and stored records, and its inverse (nothing for any other text).
std::string_view spelled(JobState state);
std::optional<JobState> job_state_from(std::string_view text);

// What a user sees of a job. The numbers of tasks are for display.
struct JobStatus {
  JobState state = JobState::pending;
  std::uint64_t done = 0;
  std::uint64_t running = 0;
};

// Response to a submission or cancellation. PROTOCOL, "POST /work" and "POST /work/{id}/withdraw".
Json job_response(const JobId& id, JobState state);
// Response to a poll. PROTOCOL, "GET /work/{id}".
Json job_status_response(const JobId& id, const JobStatus& status);

namespace path {

inline constexpr std::string_view kJobs = "/work";        // POST: submit; followed by "/{id}", GET: poll
inline constexpr std::string_view kCancel = "/withdraw";  // after the job's path, POST: cancel
inline constexpr std::string_view kHealth = "/healthz";   // GET: probe of the load balancer

}  // namespace path

}  // namespace dockdyke::wire
