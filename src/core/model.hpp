// The leader's picture of jobs and machines.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "core/stored_records.hpp"
#include "wire/messages.hpp"

namespace dockdyke::core {

// Seconds on this controller's steady clock.
using Time = double;

struct Team {
  std::string name;
  wire::Resources guaranteed_share;
  wire::Resources quota;  // 0: no limit
};

// What the owners of a class expect, as far as it orders work.
struct ServiceLevelObjective {
  enum class Kind {
    completion,  // done within_s after the submission
    deadline,    // done within `times` its own deadline
    start,       // tasks started within_s after the submission
  };
  Kind kind = Kind::completion;
  std::string job_class;
  double target_s = 0;
  double deadline_factor = 1;
};

struct ClusterConfig {
  std::vector<Team> teams;
  std::vector<ServiceLevelObjective> objectives;
  double heartbeat_interval_s = 3;
  double worker_lease_s = 30;
  double cancellation_timeout_s = 60;
  double machine_list_lag_s = 3;
  double gang_assembly_timeout_s = 30;  // a task waits so long for the rest of its gang
  double gang_peer_timeout_s = 5;       // tasks notice within this time that one of their gang is gone
  double cloud_rps = 3;
  double write_rps = 20;
  // Of the state service: the lower of the limits now and later in force, so that nothing written ever needs
  // more.
  std::size_t max_value_bytes = 4096;
  std::size_t max_transaction_changes = 8;
  std::uint32_t min_machines = 0;
  std::uint32_t free_machines = 0;
  std::uint32_t max_machines = 0;
};

struct Machine;

// A task that has, or may have, a place on a machine.
struct TaskAssignment {
  Machine* machine = nullptr;
  Attempt attempt = 0;
  bool adopted = false;     // given out by an earlier leader
  bool dispatched = false;  // its start order went out in an answer of ours
  std::uint64_t dispatched_incarnation = 0;
  std::uint64_t dispatched_sequence_number = 0;
  bool observed = false;                    // the worker has reported it to us
  std::uint64_t observed_in_heartbeat = 0;  // number of the last report that did
  wire::TaskState state = wire::TaskState::fetching;
  Time assigned_at = 0;
  Time running_since = 0;
  bool stopping = false;
  double grace_s = 0;
  // For how long it has been seen running.
  double ran_s(Time now) const { return running_since > 0 ? now - running_since : 0; }
  // No worker can have its start.
  bool never_dispatched() const { return !dispatched && !observed && !adopted; }
};

// Numbers of pages in the order of their keys; 0 is no page.
using SegmentNumber = std::uint64_t;

// One task beside its placement. Small, since a job may have 100,000 of them.
struct TaskProgress {
  // No page holds the task's present state yet.
  static constexpr SegmentNumber kUnpersisted = std::numeric_limits<SegmentNumber>::max();

  Attempt attempt = 0;                // the last one given out
  SegmentNumber first_segment = 0;    // the page its present state was first written to
  SegmentNumber durable_segment = 0;  // the newest confirmed page that names it
  bool done = false;
  bool durable() const { return durable_segment >= first_segment; }
};

// The attempt of a gang: one number for all its tasks, which are placed, started and ended together.
struct GangAttempt {
  Attempt attempt = 0;           // the last one given out
  std::uint32_t parts = 0;       // of its record
  std::uint32_t confirmed = 0;   // parts known to be stored
  bool aborted = false;          // a task is gone or is to go: the others are stopped
  bool failure_counted = false;  // its failure has been counted
  Time assigned_at = 0;
  Time started_at = 0;            // when one of its tasks was first seen running: all were, then
  std::size_t machine_count = 0;  // on which it was placed
  std::vector<std::string> keys;  // of parts that may be stored, of earlier attempts too

  bool durable() const { return parts > 0 && confirmed == parts; }
};

struct Job {
  wire::JobSpec spec;
  std::uint32_t serial = 0;  // short name for it in pages
  Time submitted = 0;
  std::vector<TaskProgress> tasks;
  TaskIndex done_count = 0;
  // Tasks waiting for a place: those given back, then every one from `next_fresh` on.
  std::set<TaskIndex> requeued;
  TaskIndex next_unattempted = 0;
  std::map<TaskIndex, TaskAssignment> assignments;
  std::vector<TaskIndex> unpersisted;  // tasks whose present state is in no page
  GangAttempt gang;                    // of gangs only

  Revision version;                     // of the stored record
  bool terminal_write_pending = false;  // its final record is being written
  bool cancelled = false;               // off the record; its tasks are being stopped
  Time cancelled_at = 0;                // as far as is known here
  bool started = false;                 // some task of it has been seen running
  Time queued_since = 0;                // some task has been waiting for room since
  double expected_run_s = 0;            // run time of a task, as corrected at the last ranking
  double total_run_s = 0;               // sum of the run times seen of its completed tasks
  std::uint32_t completed_runs = 0;     // how many those are
  // By type number: the job may run there, and a task of it fits.
  std::vector<bool> compatible_types;
  wire::Resources* team_usage = nullptr;
  // Failures in a row, and on which machines.
  std::set<MachineId> failed_machines;
  std::uint32_t failures = 0;
  Time backoff_until = 0;

  bool is_gang() const { return spec.kind == wire::JobKind::gang; }
  bool complete() const { return done_count == spec.task_count; }
  // The task's place is stored, so its start may go out.
  bool assignment_durable(TaskIndex index) const {
    return is_gang() ? gang.durable() && !gang.aborted && !complete() : tasks[index].durable();
  }
  // The task's completion is stored, so its worker may forget it. The last one of a job is stored with the
  // job's end, and all of a gang's are.
  bool result_durable(TaskIndex index) const {
    return complete() || is_gang() ? !terminal_write_pending : tasks[index].durable();
  }
  double mean_run_s() const { return completed_runs > 0 ? total_run_s / completed_runs : 0; }
  TaskIndex waiting_tasks() const {
    return static_cast<TaskIndex>(requeued.size()) + (spec.task_count - next_unattempted);
  }
  bool compatible_with(std::size_t number) const {
    return number < compatible_types.size() && compatible_types[number];
  }
};

enum class MachineState { booting, up, gone };

struct AssignedTask {
  Job* job = nullptr;
  TaskIndex index = 0;
  bool operator==(const AssignedTask&) const = default;
  TaskAssignment& assignment() const { return job->assignments.at(index); }
};

inline constexpr std::size_t kNoType = std::numeric_limits<std::size_t>::max();

struct Machine {
  MachineId id;
  std::string type;
  std::size_t type_number = kNoType;
  std::string zone;
  bool spot = false;
  std::string worker_address;  // of its worker
  MachineState state = MachineState::booting;
  Time rented_at = 0;

  std::uint64_t incarnation = 0;
  std::uint64_t sequence_number = 0;
  bool token_acknowledged = false;    // has shown our token in its present session
  std::uint64_t heartbeat_count = 0;  // taken under our token
  Time last_heartbeat_at = 0;
  Time last_response_at = 0;
  // Its last report has not been answered yet: orders can go out now.
  bool response_pending = false;
  // Reports in a row that show an answer of ours to have had no effect, and since when.
  std::uint32_t undelivered_responses = 0;
  Time undelivered_since = 0;
  std::optional<Time> terminates_at;  // announced end

  std::vector<AssignedTask> assignments;
  wire::Resources used;
  // What the last report showed beside the placements: ended tasks, and tasks no record wants there.
  std::vector<wire::ReportedTask> unassigned_tasks;
  std::vector<std::pair<wire::TaskId, Attempt>> acknowledged_exits;  // ordered in the last answer
  bool runs_unknown_tasks = false;                                   // it runs tasks we know nothing about
  bool listed = false;                                               // the cloud's list has shown it
  int missed_listings = 0;  // lists in a row that did not show it since

  bool draining = false;
  bool scale_in_requested = false;  // recorded for give-back
  // Jobs that failed here and not elsewhere since a task last completed here, and when.
  std::map<JobId, Time> failed_jobs;
  // Its tasks in a row that took far longer than others of their jobs.
  std::uint32_t straggler_signs = 0;
  Time assignments_paused_until = 0;
  // Its room is kept for this waiting gang (a job's serial) until then.
  std::uint32_t reserved_for_gang = 0;
  Time reservation_expires_at = 0;
  bool in_gang_reserve = false;  // its room is held for gangs to come
  Time idle_since = 0;
  std::vector<std::pair<std::string, double>> images;  // most recent last

  bool has_image(const std::string& image) const {
    for (const auto& each : images)
      if (each.first == image) return true;
    return false;
  }
};

// Order of machines that does not depend on where they are in memory.
struct ById {
  bool operator()(const Machine* a, const Machine* b) const { return a->id < b->id; }
};

// So many tasks of a gang on this machine.
struct GangPlace {
  Machine* machine = nullptr;
  std::size_t tasks = 0;
};

struct PendingScaleOut {
  wire::ScaleOutRequest rental;
  Time since = 0;
};

// What the cloud may be asked for: machines of one type in one zone, spot or on-demand.
struct InstanceOffering {
  std::string type;
  std::string zone;
  bool spot = false;
  auto operator<=>(const InstanceOffering&) const = default;
};

struct OfferingBackoff {
  Time until = 0;
  double pause = 0;
};

// A value that records what happened to tasks.
struct TaskLogSegment {
  std::string key;
  struct Entry {
    std::uint32_t job = 0;  // serial
    TaskIndex index = 0;
  };
  std::vector<Entry> entries;
  std::size_t live = 0;  // entries that no later page replaces
  bool confirmed = false;
};

}  // namespace dockdyke::core
