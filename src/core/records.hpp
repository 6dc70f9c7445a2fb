// What the state service holds, and under which keys. Shared by the leader and by controllers that run a
// user's request on the store themselves.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wire/messages.hpp"

namespace dockdyke::core {

namespace key {
inline const std::string kOpenPrefix = "open/";
inline const std::string kOverPrefix = "over/";
inline const std::string kLingerPrefix = "linger/";
inline const std::string kPagePrefix = "page/";
inline const std::string kRentPrefix = "rent/";
inline const std::string kReturnPrefix = "return/";
inline const std::string kMachineTypes = "types";
std::string open(const JobId& id);
std::string over(const JobId& id);
// A cancelled job some of whose tasks may still be on machines.
std::string linger(const JobId& id);
// Pages are read in the order of their keys, which is the order in which they were written: tokens of later
// leaders are higher.
std::string page(Token token, std::uint64_t number);
}  // namespace key

// The record of an unfinished job, written once, when it is submitted.
struct JobRecord {
  wire::JobSpec spec;
  std::int64_t submitted_ms = 0;  // time of day
  // When it was cancelled; only in the copy that stays until its tasks are proved gone.
  std::optional<std::int64_t> cancelled_ms = {};
};

// The record of a job that is over.
struct FinalRecord {
  wire::Stage stage = wire::Stage::done;
  std::uint64_t done = 0;
};

// One task as recorded: the last attempt given out, where it may be, and whether it has completed.
struct TaskRecord {
  TaskIndex index = 0;
  Attempt attempt = 0;
  MachineId machine;  // empty: on no machine
  bool done = false;
  bool operator==(const TaskRecord&) const = default;
};

// What happened to tasks of many jobs, in one value: a job's own record never changes, so that the number of
// writes follows time and not tasks. The newest page that names a task tells its state.
using PageRecord = std::map<JobId, std::vector<TaskRecord>>;

wire::Json to_json(const JobRecord& record);
JobRecord parse_job_record(const wire::Json& value);
wire::Json to_json(const FinalRecord& record);
FinalRecord parse_final_record(const wire::Json& value);
// Tasks of one job as they stand in a page: runs of neighbours are written as ranges.
wire::Json to_json(const std::vector<TaskRecord>& tasks);
wire::Json to_json(const PageRecord& page);
PageRecord parse_page(const wire::Json& value);

// Builds the transaction that cancels a job: the open record becomes the final one, and a copy stays until
// its tasks, which pages may name, are proved gone.
wire::Transaction cancellation(JobRecord record, Revision version, std::uint64_t done,
                               std::int64_t time_of_day_ms);

}  // namespace dockdyke::core
