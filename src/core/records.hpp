// What the state service holds, and under which keys. Shared by the leader and by controllers that run a
// user's request on the store themselves.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wire/messages.hpp"

namespace dockdyke::core {

namespace key {
inline const std::string kOpenPrefix = "open/";
inline const std::string kOverPrefix = "over/";
inline const std::string kLingerPrefix = "linger/";
inline const std::string kRentPrefix = "rent/";
inline const std::string kReturnPrefix = "return/";
inline const std::string kMachineTypes = "types";
std::string open(const JobId& id);
std::string over(const JobId& id);
// A cancelled job some of whose tasks may still be on machines.
std::string linger(const JobId& id);
std::string part_prefix(const JobId& id);
std::string part(const JobId& id, std::uint32_t number);
}  // namespace key

// One task as recorded: the last attempt given out, where it may be, and whether it has completed.
struct TaskRecord {
  Attempt attempt = 0;
  MachineId machine;  // empty: on no machine
  bool done = false;
  bool placed() const { return !machine.value.empty(); }
  bool operator==(const TaskRecord&) const = default;
};

// The record of an unfinished job. Tasks beyond the first `per_part` are kept in parts of their own, each
// written when the first of its tasks is placed.
struct JobRecord {
  wire::JobSpec spec;
  std::int64_t submitted_ms = 0;  // time of day
  std::uint32_t per_part = 1;
  wire::JobStatus status;
  std::vector<TaskRecord> first_part;

  std::uint32_t parts() const { return (spec.tasks + per_part - 1) / per_part; }
};

// The record of a job that is over.
struct FinalRecord {
  wire::Stage stage = wire::Stage::done;
  std::uint64_t done = 0;
};

// How many tasks go into one value of the given size beside the specification.
std::uint32_t tasks_per_part(const wire::JobSpec& spec, std::size_t value_bytes);

wire::Json to_json(const JobRecord& record);
JobRecord parse_job_record(const wire::Json& value);
wire::Json to_json(const std::vector<TaskRecord>& part);
std::vector<TaskRecord> parse_part(const wire::Json& value);
wire::Json to_json(const FinalRecord& record);
FinalRecord parse_final_record(const wire::Json& value);

// Builds the transaction that cancels a job: the open record becomes the final one, and tasks that may be on
// machines stay on record until they are proved gone.
wire::Transaction cancellation(const JobRecord& record, Revision version);

}  // namespace dockdyke::core
