// Stored records of tasks: segments of the task log and records of gang attempts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "wire/messages.hpp"

namespace dockdyke::core {

// The stored state of a task: its last attempt, its machine and whether it has completed.
struct TaskRecord {
  TaskIndex index = 0;
  Attempt attempt = 0;
  MachineId machine;  // empty: not assigned
  bool done = false;
  bool operator==(const TaskRecord&) const = default;
};

// The content of a segment of the task log.
using SegmentRecord = std::map<JobId, std::vector<TaskRecord>>;

// One part of the record of a gang's attempt: the machines of some of its tasks.
struct GangPart {
  JobId job;
  Attempt attempt = 0;
  std::uint32_t part_index = 0;  // from 0
  std::uint32_t part_count = 1;  // parts of the whole record
  std::vector<TaskRecord> tasks;
};

// The parsers throw `wire::ParseError`.

// The entry of one job in a segment. Tasks with consecutive indices are written as ranges.
wire::Json to_json(const std::vector<TaskRecord>& tasks);
wire::Json to_json(const SegmentRecord& segment);
SegmentRecord parse_segment(const wire::Json& value);
wire::Json to_json(const GangPart& part);
// Job, attempt and part index are taken from the key.
GangPart parse_gang_part(std::string_view key, const wire::Json& value);

// Splits an attempt's tasks into parts whose values are no larger than `max_value_bytes`.
std::vector<GangPart> split_gang(const JobId& id, Attempt attempt, const std::vector<TaskRecord>& tasks,
                                 std::size_t max_value_bytes);

}  // namespace dockdyke::core
