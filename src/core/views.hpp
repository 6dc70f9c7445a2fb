// What the leader's state machine tells its owner, for responses, users and the log.
#pragma once

#include <cstddef>

#include "wire/messages.hpp"

namespace dockdyke::core {

// What became of a heartbeat.
enum class HeartbeatOutcome {
  accepted,
  stale,       // older than one that was accepted, or of a machine that was deleted
  superseded,  // the worker has seen a higher fencing token: another controller leads
};

// Why the response to a heartbeat should wait a little.
enum class ResponseHold {
  none,
  awaiting_write,  // a write on its way will allow further commands
  awaiting_work,  // the machine has capacity and nothing to be told; work that comes meanwhile starts at once
};

// What users are told of a job that is not over.
struct JobProgress {
  Revision version;  // of the job's stored record
  wire::JobStatus status;
};

// Counts of the last run of the autoscaler.
struct FleetSummary {
  std::size_t machines = 0;
  std::size_t booting = 0;
  std::size_t overwhelmed = 0;
  std::size_t underwhelmed = 0;
  std::size_t free = 0;
  std::size_t waiting_tasks = 0;
};

// Task assignments by how far they have come.
struct AssignmentCounts {
  std::size_t never_dispatched = 0;
  std::size_t fetching = 0;
  std::size_t running = 0;
};

// What happened to a cancelled job that had tasks on machines.
struct CancellationReport {
  enum class Kind {
    known,      // this leader knows of the cancellation and of tasks that may still run
    stop_sent,  // a response to `machine` carries a stop command
    at_risk,    // little time is left, and tasks may still run
    ended,      // no task is on a machine any more
  };
  Kind kind = Kind::known;
  JobId job;
  double time_left_s = 0;         // until its tasks must be gone
  std::size_t tasks = 0;          // that may still be on machines
  std::size_t machines = 0;       // on which they may be
  std::size_t stops_sent = 0;     // by this leader; with `stop_sent`, in this response
  std::size_t tasks_deleted = 0;  // that went with their machines
  // Of the machines, the one whose last heartbeat is the oldest; with `stop_sent` the one that is answered.
  MachineId machine;
  double unheard_s = 0;  // since its last heartbeat, or since this leader first knew of it
  bool token_acknowledged = false;
  bool deletion_requested = false;
};

// Cancelled jobs with tasks that may still be on machines.
struct CancellationSummary {
  std::size_t jobs = 0;
  std::size_t tasks = 0;
  double least_time_left_s = 0;
};

// How the machines of one offering are used.
struct OfferingUsage {
  std::size_t machines = 0;
  std::size_t booting = 0;
  std::size_t empty = 0;
  double cpus = 0;
  double cpus_used = 0;
};

}  // namespace dockdyke::core
