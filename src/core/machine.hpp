// A rented machine and its worker, as the leader knows them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/job.hpp"
#include "core/time.hpp"
#include "wire/messages.hpp"

namespace dockdyke::core {

enum class MachineState { booting, up, gone };

// The number of a machine type that the cloud has not described.
inline constexpr std::size_t kNoType = std::numeric_limits<std::size_t>::max();

// One attempt of a task, as workers name it.
struct TaskAttempt {
  wire::TaskId task;
  Attempt attempt = 0;
  bool operator==(const TaskAttempt&) const = default;
};

// An image that the machine has, or had when a task was last seen running with it.
struct CachedImage {
  std::string name;
  double size_gb = 0;
};

struct Machine {
  MachineId id;
  std::string type;
  std::size_t type_number = kNoType;
  std::string zone;
  bool spot = false;
  std::string worker_address;
  MachineState state = MachineState::booting;
  Time rented_at = 0;

  // ---- The worker's heartbeats ----
  std::uint64_t incarnation = 0;
  std::uint64_t sequence_number = 0;
  bool token_acknowledged = false;    // its present incarnation has shown this leader's token
  std::uint64_t heartbeat_count = 0;  // accepted since it acknowledged the token
  Time last_heartbeat_at = 0;
  Time last_response_at = 0;
  // Its last heartbeat has not been answered yet, so commands can be sent now.
  bool response_pending = false;
  // Heartbeats in a row which show that a response had no effect, and since when.
  std::uint32_t undelivered_responses = 0;
  Time undelivered_since = 0;
  std::optional<Time> terminates_at;  // announced by the cloud

  // ---- Its tasks ----
  std::vector<AssignedTask> assignments;
  wire::Resources used;
  // What the last heartbeat showed besides the assignments: exited tasks, and tasks that no record assigns.
  std::vector<wire::ReportedTask> unassigned_tasks;
  std::vector<TaskAttempt> acknowledged_exits;  // in the last response
  bool runs_unknown_tasks = false;              // `unassigned_tasks` has some that have not exited

  // ---- The cloud's list ----
  bool listed = false;      // some list has shown it
  int missed_listings = 0;  // lists in a row that did not show it since

  // ---- Its health ----
  bool draining = false;            // gets no more tasks and is returned when it is empty
  bool scale_in_requested = false;  // its deletion is recorded or on the way
  // Jobs that failed here and on no other machine since a task last completed here, and when.
  std::map<JobId, Time> failed_jobs;
  // Completed tasks in a row that took far longer than others of their jobs.
  std::uint32_t straggler_signs = 0;
  Time assignments_paused_until = 0;

  // ---- Its free capacity ----
  std::uint32_t reserved_for_gang = 0;  // serial of a waiting gang; 0: none
  Time reservation_expires_at = 0;
  bool in_gang_reserve = false;  // held for gangs that are expected
  Time idle_since = 0;
  std::vector<CachedImage> images;  // the most recently used last

  bool has_image(const std::string& name) const;
  // Records that a task with this image runs, within the type's cache size (GB; nothing: unknown).
  void note_image(const CachedImage& image, std::optional<double> cache_gb);
  // A task with this image is assigned here, so that the image is there or on its way.
  bool fetches_image(const std::string& name) const;
  // Its capacity is set aside for a gang other than this job. Jobs that have waited long enough may use what
  // is held for expected gangs.
  bool reserved_against(const Job& job, Time now) const;
};

// Orders machines by id: an order that does not depend on where they are in memory.
struct ById {
  bool operator()(const Machine* a, const Machine* b) const { return a->id < b->id; }
};

}  // namespace dockdyke::core
