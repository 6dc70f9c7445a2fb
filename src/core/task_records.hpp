// Stored records of tasks: segments of the task log and the records of gang attempts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "wire/messages.hpp"

namespace dockdyke::core {

// One task as recorded: the last attempt, where it may be, and whether it has completed.
struct TaskRecord {
  TaskIndex index = 0;
  Attempt attempt = 0;
  MachineId machine;  // empty: on no machine
  bool done = false;
  bool operator==(const TaskRecord&) const = default;
};

// What a segment of the task log holds.
using SegmentRecord = std::map<JobId, std::vector<TaskRecord>>;

// One part of the record of a gang's attempt: the machines of some of its tasks. The records have a prefix of
// their own, which earlier versions neither read nor delete.
struct GangPart {
  JobId job;
  Attempt attempt = 0;
  std::uint32_t part = 0;   // from 0
  std::uint32_t parts = 1;  // of the whole attempt
  std::vector<TaskRecord> tasks;
};

// The parsers throw `wire::Malformed`.

// Tasks of one job as they stand in a segment: runs of neighbours are written as ranges.
wire::Json to_json(const std::vector<TaskRecord>& tasks);
wire::Json to_json(const SegmentRecord& segment);
SegmentRecord parse_segment(const wire::Json& value);
wire::Json to_json(const GangPart& part);
// Job, attempt and the number of the part are in the key.
GangPart parse_gang_part(std::string_view key, const wire::Json& value);

// Splits an attempt's tasks so that no part's value is larger than `max_value_bytes`.
std::vector<GangPart> split_gang(const JobId& id, Attempt attempt, const std::vector<TaskRecord>& tasks,
                                 std::size_t max_value_bytes);

}  // namespace dockdyke::core
