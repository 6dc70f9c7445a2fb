// Read-only results of the leader's state machine, used for responses and the log.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "core/scheduling_constraints.hpp"
#include "wire/messages.hpp"

namespace dockdyke::core {

// The result of applying a heartbeat.
enum class HeartbeatOutcome {
  accepted,
  stale,       // older than an accepted one, or from a deleted machine
  superseded,  // the worker has seen a higher fencing token: there is a newer leader
};

// Why the response to a heartbeat should be delayed.
enum class ResponseHold {
  none,
  awaiting_write,  // a write in flight will allow further commands
  awaiting_work,   // no commands and free capacity: a task assigned meanwhile can start at once
};

// State of an active job as shown to users.
struct JobProgress {
  Revision version;  // of the job's active record
  wire::JobStatus status;
};

// Machine and task counts of the last autoscaler run.
struct FleetSummary {
  std::size_t machines = 0;
  std::size_t booting = 0;
  std::size_t saturated = 0;            // CPUs or memory nearly fully used
  std::size_t scale_in_candidates = 0;  // idle for long enough to be deleted
  std::size_t free = 0;                 // idle or booting
  std::size_t waiting_tasks = 0;
};

// Numbers of observed task assignments by state.
struct AssignmentCounts {
  std::size_t fetching = 0;
  std::size_t running = 0;
};

// Assigned tasks whose start command has not been sent.
struct UndispatchedSummary {
  std::size_t tasks = 0;
  std::size_t not_durable = 0;  // of them, those whose assignment is not stored yet
  std::size_t withheld = 0;     // of them, those whose machine gets no start commands
  // Of the task that was assigned first:
  wire::TaskId task;
  MachineId machine;
  double waited_s = 0;  // since its assignment
  bool durable = false;
  StartObstacle obstacle = StartObstacle::none;
};

// Jobs with `same_zone` or `spread` whose known assignments do not satisfy that constraint. Either some of
// them are of tasks that have ended, or the zone of a machine is not known yet.
struct ZoneConflictSummary {
  std::size_t jobs = 0;
  // Of the first such job, by id:
  JobId job;
  std::map<std::string, std::size_t> assignments_by_zone;  // "" while a machine's zone is not known
  std::size_t adopted = 0;  // assigned by a previous leader and not yet observed
  std::size_t waiting = 0;  // tasks that wait for an assignment

  bool operator==(const ZoneConflictSummary&) const = default;
};

// A step in the cancellation of a job that had tasks on machines.
struct CancellationReport {
  enum class Kind {
    known,      // this leader was notified of the cancellation, and tasks may still run
    stop_sent,  // a response to `machine` carries a stop command
    at_risk,    // little time is left, and tasks may still run
    ended,      // all tasks are confirmed ended
  };
  Kind kind = Kind::known;
  JobId job;
  double time_left_s = 0;         // until its tasks must have ended
  std::size_t tasks = 0;          // tasks that may still run
  std::size_t machines = 0;       // machines on which they may run
  std::size_t stops_sent = 0;     // stop commands sent by this leader; with `stop_sent`, in this response
  std::size_t tasks_deleted = 0;  // tasks confirmed ended by the deletion of their machine
  // The machine with the oldest last heartbeat; with `stop_sent`, the one that the response goes to.
  MachineId machine;
  double time_since_heartbeat_s = 0;  // or since this leader added the machine
  bool token_acknowledged = false;
  bool deletion_requested = false;
};

// Totals of the cancelled jobs whose tasks may still run.
struct CancellationSummary {
  std::size_t jobs = 0;
  std::size_t tasks = 0;
  double least_time_left_s = 0;
};

// Utilization of the machines of one offering.
struct OfferingUsage {
  std::size_t machines = 0;
  std::size_t booting = 0;
  std::size_t empty = 0;
  double cpus = 0;
  double cpus_used = 0;
};

}  // namespace dockdyke::core
