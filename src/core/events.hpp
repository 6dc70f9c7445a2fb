// The inputs of the leader's state machine, besides heartbeats.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/job_records.hpp"
#include "core/task_records.hpp"
#include "wire/messages.hpp"

namespace dockdyke::core {

// ---- What a new leader reads, in this order: jobs, segments, parts of gang records; then LoadCompleted ----

struct JobLoaded {
  JobRecord record;
  Revision version;
  bool terminating = false;  // cancelled, with tasks that may still be on machines
};
// Segments come in the order of their keys.
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
struct LoadCompleted {};

// ---- What users and other controllers do ----

struct JobSubmitted {
  JobRecord record;
  Revision version;
};
// The job's active record is gone: the job was cancelled, or its terminal record has been stored.
struct JobRecordRemoved {
  JobId id;
};

// ---- What became of writes ----

struct WriteApplied {
  std::uint64_t number = 0;
};
// Nothing was changed, since the preconditions on these keys did not hold.
struct WriteConflicted {
  std::uint64_t number = 0;
  std::vector<std::string> failed_keys;
};
// The state service called the transaction invalid, most likely for its size. Nothing was changed.
struct WriteRejected {
  std::uint64_t number = 0;
};
// The state service accepts fewer writes per second than it did.
struct WriteRateLowered {
  double per_second = 0;
};

// ---- What the cloud says ----

struct MachinesListed {
  std::vector<wire::ListedMachine> machines;
};
// As many machines as there were, up to the number asked for.
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

// Comes every `kHousekeepingIntervalSeconds`.
struct Tick {};

using Event = std::variant<JobLoaded, SegmentLoaded, GangPartLoaded, ScaleOutLoaded, ScaleInLoaded,
                           LoadCompleted, JobSubmitted, JobRecordRemoved, WriteApplied, WriteConflicted,
                           WriteRejected, WriteRateLowered, MachinesListed, ScaleOutGranted, ScaleOutRefused,
                           MachinesDeleted, MachineTypesChanged, Tick>;

}  // namespace dockdyke::core
