// What the state service holds, and under which keys. Shared by the leader and by controllers that run a
// user's request on the store themselves.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/messages.hpp"

namespace dockdyke::core {

namespace key {
inline const std::string kActivePrefix = "open/";
inline const std::string kTerminalPrefix = "over/";
inline const std::string kTerminatingPrefix = "linger/";
inline const std::string kSegmentPrefix = "page/";
inline const std::string kScaleOutPrefix = "rent/";
inline const std::string kScaleInPrefix = "return/";
inline const std::string kGangPrefix = "gang/";
inline const std::string kMachineTypes = "types";
std::string active_job(const JobId& id);
std::string terminal_job(const JobId& id);
// A cancelled job some of whose tasks may still be on machines.
std::string terminating_job(const JobId& id);
// Pages are read in the order of their keys, which is the order in which they were written: tokens of later
// leaders are higher.
std::string segment(FencingToken token, std::uint64_t number);
// One part of the record of a gang's attempt.
std::string gang_part(const JobId& id, Attempt attempt, std::uint32_t part);
}  // namespace key

// The record of an unfinished job, written once, when it is submitted.
struct JobRecord {
  wire::JobSpec spec;
  std::int64_t submitted_ms = 0;  // time of day
  // When it was cancelled; only in the copy that stays until its tasks are proved gone.
  std::optional<std::int64_t> cancelled_ms = {};
};

// The record of a job that is over.
struct TerminalRecord {
  wire::JobState state = wire::JobState::done;
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
using SegmentRecord = std::map<JobId, std::vector<TaskRecord>>;

// One part of the record of a gang's attempt: the machines of some of its tasks. An attempt may be started
// only when all its parts are stored, so a leader that finds fewer knows that nothing runs under that number.
// The records have a prefix of their own, which earlier versions neither read nor remove.
struct GangPart {
  JobId job;
  Attempt attempt = 0;
  std::uint32_t part = 0;   // from 0
  std::uint32_t parts = 1;  // of the whole attempt
  std::vector<TaskRecord> tasks;
};

wire::Json to_json(const JobRecord& record);
JobRecord parse_job_record(const wire::Json& value);
wire::Json to_json(const TerminalRecord& record);
TerminalRecord parse_terminal_record(const wire::Json& value);
// Tasks of one job as they stand in a page: runs of neighbours are written as ranges.
wire::Json to_json(const std::vector<TaskRecord>& tasks);
wire::Json to_json(const SegmentRecord& page);
SegmentRecord parse_segment(const wire::Json& value);
wire::Json to_json(const GangPart& part);
GangPart parse_gang_part(std::string_view key, const wire::Json& value);
// Splits an attempt's tasks so that no part's value is larger than `value_bytes`.
std::vector<GangPart> split_gang(const JobId& id, Attempt attempt, const std::vector<TaskRecord>& tasks,
                                 std::size_t max_value_bytes);

// Builds the transaction that cancels a job: the open record becomes the final one, and a copy stays until
// its tasks, which pages may name, are proved gone. The copy never needs a larger value than `value_bytes`,
// also where the record was written under a higher limit.
wire::Transaction cancellation(JobRecord record, Revision version, std::uint64_t done,
                               std::int64_t time_of_day_ms, std::size_t max_value_bytes);
// Whether the record, and its copy after a cancellation, fit into a value.
bool fits_value(JobRecord record, std::size_t max_value_bytes);

}  // namespace dockdyke::core
