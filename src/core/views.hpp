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

// How the machines of one offering are used.
struct OfferingUsage {
  std::size_t machines = 0;
  std::size_t booting = 0;
  std::size_t empty = 0;
  double cpus = 0;
  double cpus_used = 0;
};

}  // namespace dockdyke::core
