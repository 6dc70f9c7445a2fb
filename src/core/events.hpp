// Inputs of the leader's state machine other than heartbeats.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/job_records.hpp"
#include "core/task_records.hpp"
#include "wire/messages.hpp"

namespace dockdyke::core {

// ---- Stored records, loaded in this order: jobs, segments, parts of gang records; then LoadCompleted ----

struct JobLoaded {
  JobRecord record;
  Revision version;
  bool terminating = false;  // cancelled, with tasks that may still be running
};
// Segments are delivered in the order of their keys.
struct SegmentLoaded {
  std::string key;
  SegmentRecord segment;
};
struct GangPartLoaded {
  std::string key;
  GangPart part;
};
struct ScaleOutLoaded {
  wire::ScaleOutRequest request;
};
struct ScaleInLoaded {
  std::string key;
  std::vector<MachineId> machines;
};
// All jobs with an active or terminating record of this or an earlier revision have been delivered.
struct LoadCompleted {
  Revision revision;
};

// ---- Jobs ----

struct JobSubmitted {
  JobRecord record;
  Revision version;
};
// The job's active record was deleted: the job was cancelled, or its terminal record was stored.
struct JobRecordDeleted {
  JobId id;
};

// ---- Results of writes ----

struct WriteApplied {
  std::uint64_t number = 0;
};
// The transaction was not applied, since the preconditions on these keys failed.
struct WriteConflicted {
  std::uint64_t number = 0;
  std::vector<std::string> failed_keys;
};
// The state service rejected the transaction as invalid, most likely because of its size.
struct WriteRejected {
  std::uint64_t number = 0;
};
// The state service has lowered its write rate limit.
struct WriteRateLowered {
  double writes_per_second = 0;
};

// ---- Responses of the cloud ----

struct MachinesListed {
  std::vector<wire::ListedMachine> machines;
};
// `machines` has at most the requested number of machines.
struct ScaleOutGranted {
  ScaleOutId id;
  std::vector<MachineId> machines;
};
struct ScaleOutRefused {
  ScaleOutId id;
};
struct MachinesDeleted {
  std::string key;
  std::vector<MachineId> machines;
};
struct MachineTypesChanged {
  std::vector<wire::MachineType> types;
};

// ---- Time ----

// Sent every `kHousekeepingIntervalSeconds`.
struct Tick {};

using Event = std::variant<JobLoaded, SegmentLoaded, GangPartLoaded, ScaleOutLoaded, ScaleInLoaded,
                           LoadCompleted, JobSubmitted, JobRecordDeleted, WriteApplied, WriteConflicted,
                           WriteRejected, WriteRateLowered, MachinesListed, ScaleOutGranted, ScaleOutRefused,
                           MachinesDeleted, MachineTypesChanged, Tick>;

}  // namespace dockdyke::core
