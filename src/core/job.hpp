// A job and its tasks, as the leader knows them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/time.hpp"
#include "wire/messages.hpp"

namespace dockdyke::core {

struct Machine;

// A task that is, or may be, on a machine. It occupies resources and quota until it is proved gone.
struct TaskAssignment {
  Machine* machine = nullptr;
  Attempt attempt = 0;
  bool adopted = false;     // assigned by an earlier leader and not yet observed by this one
  bool dispatched = false;  // its start command was in a response of this leader
  std::uint64_t dispatched_incarnation = 0;
  bool observed = false;                    // a heartbeat has shown it to this leader
  std::uint64_t observed_in_heartbeat = 0;  // `Machine::heartbeat_count` at the last one that did
  wire::TaskState state = wire::TaskState::fetching;
  Time assigned_at = 0;
  Time running_since = 0;  // 0: not observed running
  bool stopping = false;
  double grace_s = 0;  // for saving a checkpoint while it stops

  // For how long (s) it has been observed running.
  double ran_s(Time now) const { return running_since > 0 ? now - running_since : 0; }
  // No worker can have received its start command.
  bool never_dispatched() const { return !dispatched && !observed && !adopted; }
  // Tells the task to stop. The shortest grace period that was asked for counts.
  void stop(double grace_period_s);
};

// Segments of the task log are numbered in the order of their keys; 0 is no segment.
using SegmentNumber = std::uint64_t;

// What is kept of every task besides its assignment. Small, since a job may have 100,000 tasks.
struct TaskProgress {
  // No segment holds the task's present state yet.
  static constexpr SegmentNumber kUnpersisted = std::numeric_limits<SegmentNumber>::max();

  Attempt attempt = 0;                // the last one assigned
  SegmentNumber first_segment = 0;    // the segment that its present state was first written to
  SegmentNumber durable_segment = 0;  // the newest stored segment with an entry of the task
  bool done = false;

  bool durable() const { return durable_segment >= first_segment; }
};

// The present attempt of a gang. All its tasks are assigned, started and ended under one attempt number.
struct GangAttempt {
  Attempt attempt = 0;           // the last number used
  std::uint32_t parts = 0;       // of its stored record
  std::uint32_t confirmed = 0;   // parts known to be stored
  bool aborted = false;          // a task is gone or is to go, so the others are stopped
  bool failure_counted = false;  // its tasks fail together, which counts once
  Time assigned_at = 0;
  Time started_at = 0;            // when one of its tasks was first observed running: all were, then
  std::size_t machine_count = 0;  // machines it was assigned to
  std::vector<std::string> keys;  // of parts that may be stored, also of earlier attempts

  bool durable() const { return parts > 0 && confirmed == parts; }
};

struct Job {
  wire::JobSpec spec;
  std::uint32_t serial = 0;  // identifies the job within this process
  Time submitted = 0;
  std::vector<TaskProgress> tasks;
  TaskIndex done_count = 0;
  // Tasks that wait for an assignment: those that lost one, then every one from `next_unattempted` on.
  std::set<TaskIndex> requeued;
  TaskIndex next_unattempted = 0;
  std::map<TaskIndex, TaskAssignment> assignments;
  std::vector<TaskIndex> unpersisted;  // tasks whose present state is in no segment
  GangAttempt gang;                    // of gangs only

  Revision version;                     // of the stored record
  bool terminal_write_pending = false;  // its terminal record is queued or in flight
  bool cancelled = false;               // its active record is gone; its tasks are being stopped
  Time cancelled_at = 0;                // as far as this controller knows
  bool started = false;                 // some task has been observed running
  Time queued_since = 0;                // some task has been waiting for capacity since
  double expected_run_s = 0;            // of a task, as corrected when the queue was last ordered
  double total_run_s = 0;               // sum of the observed run times of its completed tasks
  std::uint32_t completed_runs = 0;     // number of those
  // By type number: the job allows the type, and a task of it fits on an empty machine.
  std::vector<bool> compatible_types;
  wire::Resources* team_usage = nullptr;  // of its team, in `ClusterState`
  // Machines on which it failed since a task of it last completed, and failures in a row.
  std::set<MachineId> failed_machines;
  std::uint32_t failures = 0;
  Time backoff_until = 0;  // no task is assigned before

  bool is_gang() const { return spec.kind == wire::JobKind::gang; }
  bool complete() const { return done_count == spec.task_count; }
  bool unfinished() const { return !cancelled && !complete(); }
  TaskIndex waiting_tasks() const {
    return static_cast<TaskIndex>(requeued.size()) + (spec.task_count - next_unattempted);
  }
  double mean_run_s() const { return completed_runs > 0 ? total_run_s / completed_runs : 0; }
  bool compatible_with(std::size_t type_number) const {
    return type_number < compatible_types.size() && compatible_types[type_number];
  }
  // Whether the task's assignment is stored, so that its start command may be sent.
  bool assignment_durable(TaskIndex index) const;
  // Whether the task's completion is stored, so that its worker may forget it.
  bool result_durable(TaskIndex index) const;
};

// A task on a machine. Valid as long as its job holds the assignment.
struct AssignedTask {
  Job* job = nullptr;
  TaskIndex index = 0;

  bool operator==(const AssignedTask&) const = default;
  TaskAssignment& assignment() const { return job->assignments.at(index); }
};

}  // namespace dockdyke::core
