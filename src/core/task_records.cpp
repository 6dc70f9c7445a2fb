#include "core/task_records.hpp"

#include <charconv>
#include <limits>
#include <string>
#include <utility>

#include "core/state_keys.hpp"

namespace dockdyke::core {

using wire::Json;
using wire::ParseError;

// ---- Task ranges ------------------------------------------------------------------------------------------
//
// Format: comma-separated ranges. "3" is a single task, "3-7" are consecutive tasks with the same attempt,
// and "3-7/2" are tasks whose attempt is 2 instead of the default.

namespace {

// Fields of a job's entry in a segment. The names are short, since the size of a segment is limited.
constexpr const char* kDone = "d";
constexpr const char* kUnassigned = "f";
constexpr const char* kAssigned = "p";
constexpr const char* kPartCount = "parts";

using Tasks = std::vector<const TaskRecord*>;
using TasksByMachine = std::map<std::string, Tasks>;

void append_range(std::string& out, TaskIndex first, TaskIndex last, Attempt attempt,
                  Attempt default_attempt) {
  if (!out.empty()) out += ',';
  out += std::to_string(first);
  if (last != first) out.append("-").append(std::to_string(last));
  if (attempt != default_attempt) out.append("/").append(std::to_string(attempt));
}

// Returns the position of the last task in the range that begins at position `first`.
std::size_t last_in_range(const Tasks& tasks, std::size_t first, bool same_attempt) {
  std::size_t last = first;
  while (last + 1 < tasks.size() && tasks[last + 1]->index == tasks[last]->index + 1 &&
         (!same_attempt || tasks[last + 1]->attempt == tasks[first]->attempt))
    ++last;
  return last;
}

std::string format_ranges(const Tasks& tasks, Attempt default_attempt) {
  std::string out;
  for (std::size_t first = 0; first < tasks.size();) {
    const std::size_t last = last_in_range(tasks, first, true);
    append_range(out, tasks[first]->index, tasks[last]->index, tasks[first]->attempt, default_attempt);
    first = last + 1;
  }
  return out;
}

// Completed tasks are never started again, so their attempts are not stored.
std::string format_done_ranges(const Tasks& tasks) {
  std::string out;
  for (std::size_t first = 0; first < tasks.size();) {
    const std::size_t last = last_in_range(tasks, first, false);
    append_range(out, tasks[first]->index, tasks[last]->index, 1, 1);
    first = last + 1;
  }
  return out;
}

Json format_ranges_by_machine(const TasksByMachine& assigned, Attempt default_attempt) {
  Json machines = Json::object();
  for (const auto& [machine, tasks] : assigned) machines[machine] = format_ranges(tasks, default_attempt);
  return machines;
}

template <class Number>
Number consume_number(std::string_view& text) {
  Number value{};
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{}) throw ParseError("invalid task range");
  text.remove_prefix(static_cast<std::size_t>(end - text.data()));
  return value;
}

bool consume_char(std::string_view& text, char c) {
  if (text.empty() || text.front() != c) return false;
  text.remove_prefix(1);
  return true;
}

// Appends the tasks of the ranges to `out`. Fields that the ranges do not contain are copied from `defaults`.
void parse_ranges(const Json& value, const TaskRecord& defaults, std::vector<TaskRecord>& out) {
  if (!value.is_string()) throw ParseError("task ranges are not a string");
  std::string_view text = value.get_ref<const std::string&>();
  while (!text.empty()) {
    TaskRecord task = defaults;
    const auto first = consume_number<TaskIndex>(text);
    const auto last = consume_char(text, '-') ? consume_number<TaskIndex>(text) : first;
    if (consume_char(text, '/')) task.attempt = consume_number<Attempt>(text);
    if (last < first || last == std::numeric_limits<TaskIndex>::max()) throw ParseError("invalid task range");
    for (task.index = first; task.index <= last; ++task.index) out.push_back(task);
    if (!text.empty() && !consume_char(text, ',')) throw ParseError("invalid task range");
  }
}

void parse_assigned(const Json& assigned, Attempt default_attempt, std::vector<TaskRecord>& out) {
  if (!assigned.is_object()) throw ParseError("assigned tasks are not an object");
  for (const auto& [machine, ranges] : assigned.items())
    parse_ranges(ranges, {0, default_attempt, MachineId(machine), false}, out);
}

}  // namespace

// ---- Segments ---------------------------------------------------------------------------------------------

Json to_json(const std::vector<TaskRecord>& tasks) {
  Tasks done;
  Tasks unassigned;
  TasksByMachine assigned;
  for (const auto& task : tasks) {
    if (task.done) {
      done.push_back(&task);
    } else if (task.machine.value.empty()) {
      unassigned.push_back(&task);
    } else {
      assigned[task.machine.value].push_back(&task);
    }
  }
  Json out = Json::object();
  if (!done.empty()) out[kDone] = format_done_ranges(done);
  if (!unassigned.empty()) out[kUnassigned] = format_ranges(unassigned, 1);
  if (!assigned.empty()) out[kAssigned] = format_ranges_by_machine(assigned, 1);
  return out;
}

Json to_json(const SegmentRecord& segment) {
  Json out = Json::object();
  for (const auto& [id, tasks] : segment) out[id.value] = to_json(tasks);
  return out;
}

SegmentRecord parse_segment(const Json& value) {
  if (!value.is_object()) throw ParseError("task log segment is not an object");
  SegmentRecord out;
  for (const auto& [id, entry] : value.items()) {
    auto& tasks = out[JobId(id)];
    if (const Json* done = wire::find_field(entry, kDone)) parse_ranges(*done, {0, 1, {}, true}, tasks);
    if (const Json* unassigned = wire::find_field(entry, kUnassigned))
      parse_ranges(*unassigned, {0, 1, {}, false}, tasks);
    if (const Json* assigned = wire::find_field(entry, kAssigned)) parse_assigned(*assigned, 1, tasks);
  }
  return out;
}

// ---- Gang attempts ----------------------------------------------------------------------------------------

Json to_json(const GangPart& part) {
  TasksByMachine assigned;
  for (const auto& task : part.tasks) assigned[task.machine.value].push_back(&task);
  return Json{{kPartCount, part.part_count}, {kAssigned, format_ranges_by_machine(assigned, part.attempt)}};
}

GangPart parse_gang_part(std::string_view key, const Json& value) {
  if (!key.starts_with(key::kGangPrefix)) throw ParseError("invalid key of a gang record");
  key.remove_prefix(key::kGangPrefix.size());
  const auto slash = key.find('/');
  if (slash == std::string_view::npos) throw ParseError("invalid key of a gang record");
  GangPart part;
  part.job = JobId(std::string(key.substr(0, slash)));
  key.remove_prefix(slash + 1);
  part.attempt = consume_number<Attempt>(key);
  if (!consume_char(key, '/')) throw ParseError("invalid key of a gang record");
  part.part_index = consume_number<std::uint32_t>(key);
  part.part_count = static_cast<std::uint32_t>(wire::require_count(value, kPartCount));
  const Json* assigned = wire::find_field(value, kAssigned);
  if (!assigned || !key.empty() || part.part_index >= part.part_count)
    throw ParseError("invalid gang record");
  parse_assigned(*assigned, part.attempt, part.tasks);
  return part;
}

std::vector<GangPart> split_gang(const JobId& id, Attempt attempt, const std::vector<TaskRecord>& tasks,
                                 std::size_t max_value_bytes) {
  constexpr std::size_t kPartOverheadBytes = 40;   // field names and part count
  constexpr std::size_t kRangeOverheadBytes = 20;  // quotes, separators and two task indices
  std::vector<GangPart> parts;
  std::size_t bytes = max_value_bytes;
  for (const auto& task : tasks) {
    const std::size_t range_bytes = task.machine.value.size() + kRangeOverheadBytes;
    const bool same_range = !parts.empty() && !parts.back().tasks.empty() &&
                            parts.back().tasks.back().machine == task.machine &&
                            parts.back().tasks.back().index + 1 == task.index;
    if (!same_range && bytes + range_bytes > max_value_bytes) {
      parts.push_back({id, attempt, static_cast<std::uint32_t>(parts.size()), 0, {}});
      bytes = kPartOverheadBytes;
    }
    if (!same_range) bytes += range_bytes;
    parts.back().tasks.push_back(task);
  }
  for (auto& part : parts) part.part_count = static_cast<std::uint32_t>(parts.size());
  return parts;
}

}  // namespace dockdyke::core
