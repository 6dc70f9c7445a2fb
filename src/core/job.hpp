// The leader's model of a job and its tasks.
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

// The assignment of a task to a machine. It occupies resources and quota until the task is confirmed ended.
struct TaskAssignment {
  Machine* machine = nullptr;
  Attempt attempt = 0;
  bool adopted = false;     // assigned by a previous leader and not yet observed by this one
  bool dispatched = false;  // this leader has sent its start command
  std::uint64_t dispatched_incarnation = 0;
  bool observed = false;                    // some heartbeat to this leader has listed the task
  std::uint64_t observed_in_heartbeat = 0;  // `Machine::heartbeat_count` at the last such one
  wire::TaskState state = wire::TaskState::fetching_image;
  Time assigned_at = 0;
  Time run_started_at = 0;  // 0: not observed running
  bool stopping = false;
  double grace_s = 0;  // time to write a checkpoint while it stops

  // Returns for how many seconds the task has been observed running.
  double ran_s(Time now) const { return run_started_at > 0 ? now - run_started_at : 0; }
  // Returns whether no worker can have received its start command. False for an adopted task that was
  // observed: it would otherwise keep its assignment after its worker's lease expired between two heartbeats.
  bool never_dispatched() const { return !dispatched && !observed && !adopted; }
  // Marks the task to be stopped. Of several requested grace periods, the shortest applies.
  void request_stop(double grace_period_s);
};

// Segments of the task log are numbered in the order of their keys. 0: no segment.
using SegmentNumber = std::uint64_t;

// State of a task that is kept whether or not it is assigned. Small, since a job may have 100,000 tasks.
struct TaskProgress {
  // Marks a task whose current state has not been written to any segment.
  static constexpr SegmentNumber kUnpersisted = std::numeric_limits<SegmentNumber>::max();

  Attempt attempt = 0;                // the last one assigned
  SegmentNumber first_segment = 0;    // the segment to which its current state was first written
  SegmentNumber durable_segment = 0;  // the newest durable segment with an entry of the task
  bool done = false;

  bool durable() const { return durable_segment >= first_segment; }
};

// The current attempt of a gang. All its tasks are assigned, started and ended under one attempt number.
struct GangAttempt {
  Attempt attempt = 0;                // the last number used
  std::uint32_t part_count = 0;       // parts of its stored record
  std::uint32_t confirmed_parts = 0;  // parts known to be durable
  bool aborted = false;               // a task has ended or will be stopped, so the others are stopped too
  bool failure_counted = false;       // set by the first failed task: failures of the same attempt count once
  Time assigned_at = 0;
  Time started_at = 0;            // when one of its tasks was first observed running
  std::size_t machine_count = 0;  // machines that its tasks were assigned to
  std::vector<std::string> keys;  // keys of parts that may be stored, including those of previous attempts

  bool durable() const { return part_count > 0 && confirmed_parts == part_count; }
};

struct Job {
  wire::JobSpec spec;
  std::uint32_t serial = 0;  // identifies the job within this process
  Time submitted_at = 0;
  std::vector<TaskProgress> tasks;
  TaskIndex done_count = 0;
  // Tasks that wait for an assignment: those whose assignment was released, then all from
  // `next_unattempted` on.
  std::set<TaskIndex> requeued;
  TaskIndex next_unattempted = 0;
  std::map<TaskIndex, TaskAssignment> assignments;
  // Number of assignments by their machine's zone; "" while a machine's zone is not known.
  std::map<std::string, std::size_t> assignments_by_zone;
  std::vector<TaskIndex> unpersisted;  // tasks whose current state is in no segment
  GangAttempt gang;                    // used only if `is_gang()`

  Revision version;                     // of the active record
  bool terminal_write_pending = false;  // its terminal record is queued or in flight
  bool cancelled = false;               // its active record was deleted; its tasks are being stopped
  Time cancelled_at = 0;                // as stored, or when this leader was notified of it
  bool started = false;                 // at least one task has been observed running
  Time queued_at = 0;                   // since when at least one task has been waiting for capacity
  double expected_run_s = 0;            // run time of a task, as estimated when the queue was last ordered
  double total_run_s = 0;               // sum of the observed run times of its completed tasks
  std::uint32_t completed_runs = 0;     // number of these run times
  // By type number: whether the job allows the type and its task fits on an empty machine of it.
  std::vector<bool> compatible_types;
  wire::Resources* team_usage = nullptr;  // the team's entry in `ClusterState`
  // Machines on which tasks of the job have failed since one last completed.
  std::set<MachineId> failed_machines;
  std::uint32_t consecutive_failures = 0;
  Time backoff_ends_at = 0;  // no task is assigned before this time

  bool is_gang() const { return spec.kind == wire::JobKind::gang; }
  bool complete() const { return done_count == spec.task_count; }
  bool unfinished() const { return !cancelled && !complete(); }
  TaskIndex waiting_tasks() const {
    return static_cast<TaskIndex>(requeued.size()) + (spec.task_count - next_unattempted);
  }
  std::size_t assignments_in_zone(const std::string& zone) const {
    const auto found = assignments_by_zone.find(zone);
    return found == assignments_by_zone.end() ? 0 : found->second;
  }
  // A better estimate than the owner's, but ordering the queue by it would delay the rest of long jobs.
  double mean_run_s() const { return completed_runs > 0 ? total_run_s / completed_runs : 0; }
  bool compatible_with(std::size_t type_number) const {
    return type_number < compatible_types.size() && compatible_types[type_number];
  }
  // Lets the job use all machines again if its tasks have failed on so many that the job is at fault rather
  // than the machines.
  void allow_failed_machines_if_at_fault();
  // Returns whether the task's assignment is durable, so that its start command may be sent.
  bool assignment_durable(TaskIndex index) const;
  // Returns whether the task's completion is durable, so that its worker may discard the result.
  bool result_durable(TaskIndex index) const;
};

// Refers to an assigned task. Valid while the job has the assignment.
struct AssignedTask {
  Job* job = nullptr;
  TaskIndex index = 0;

  bool operator==(const AssignedTask&) const = default;
  TaskAssignment& assignment() const { return job->assignments.at(index); }
};

}  // namespace dockdyke::core
