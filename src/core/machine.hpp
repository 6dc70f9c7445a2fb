// The leader's model of a machine and its worker.
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

// `failed`: the machine has stopped without a deletion request.
enum class MachineState { booting, up, failed };

// The number of an unknown machine type.
inline constexpr std::size_t kNoType = std::numeric_limits<std::size_t>::max();

// Identifies one attempt of a task in messages to and from workers.
struct TaskAttempt {
  wire::TaskId task;
  Attempt attempt = 0;
  bool operator==(const TaskAttempt&) const = default;
};

// An image that is assumed to be in the machine's cache, since a task with it was observed running there.
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
  Time launched_at = 0;  // the earliest time at which it is known to have existed

  // ---- The worker's heartbeats ----
  std::uint64_t incarnation = 0;
  std::uint64_t sequence_number = 0;
  bool token_acknowledged = false;    // its current incarnation has echoed this leader's token
  std::uint64_t heartbeat_count = 0;  // heartbeats accepted since it acknowledged the token
  Time last_heartbeat_at = 0;
  Time last_response_at = 0;
  // Its last heartbeat has no response yet, so commands can be sent.
  bool response_pending = false;
  // Consecutive heartbeats which show that the previous response had no effect (the token is not
  // acknowledged, an acknowledged exit is still listed, or a start is missing), and the time of the first of
  // them.
  std::uint32_t undelivered_responses = 0;
  Time first_undelivered_at = 0;
  std::optional<Time> terminates_at;  // end of the termination notice, if there is one

  // ---- Its tasks ----
  std::vector<AssignedTask> assignments;
  wire::Resources used;
  // Tasks in the last heartbeat that are not assigned here: exited tasks and unknown ones.
  std::vector<wire::ReportedTask> unassigned_tasks;
  std::vector<TaskAttempt> acknowledged_exits;  // acknowledged in the last response
  bool runs_unknown_tasks = false;              // `unassigned_tasks` has a task that has not exited

  // ---- The cloud's list ----
  bool listed = false;      // it has appeared in a machine list
  int missed_listings = 0;  // consecutive machine lists without it, since it was listed

  // ---- Its health ----
  bool draining = false;            // gets no further tasks and is deleted once it has none
  bool scale_in_requested = false;  // its deletion has been requested
  // Jobs whose failures are attributed to this machine, with the time of the latest attribution. Cleared when
  // a task completes here.
  std::map<JobId, Time> failed_jobs;
  // Consecutive completed tasks that ran far longer than other tasks of their jobs.
  std::uint32_t straggler_signs = 0;
  Time assignments_resume_at = 0;

  // ---- Its free capacity ----
  std::uint32_t reserved_for_gang = 0;  // serial of the gang that has reserved the machine; 0: none
  Time reservation_expires_at = 0;
  bool in_gang_reserve = false;  // part of the capacity reserve for expected gangs
  Time became_idle_at = 0;
  std::vector<CachedImage> images;  // ordered by last use, the most recent at the end

  bool has_image(const std::string& name) const;
  // Records that a task with this image runs here and evicts the least recently used images that exceed
  // `cache_gb`. With std::nullopt, the cache size is unknown and nothing is evicted.
  void record_image_use(const CachedImage& image, std::optional<double> cache_gb);
  // Returns whether a task with this image is assigned here, so that the image is cached or being fetched.
  bool has_task_with_image(const std::string& name) const;
  // Returns whether its capacity is reserved for a job other than `job`. The capacity reserve for expected
  // gangs is open to gangs, and to other jobs after `kGangReserveWaitSeconds`.
  bool reserved_for_other(const Job& job, Time now) const;
};

// Orders machines by id, so that iteration does not depend on their addresses.
struct MachineIdLess {
  bool operator()(const Machine* a, const Machine* b) const { return a->id < b->id; }
};

}  // namespace dockdyke::core
