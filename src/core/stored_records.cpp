#include "core/stored_records.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <limits>
#include <string_view>
#include <utility>

namespace dockdyke::core {

using wire::Json;
using wire::Malformed;

namespace key {
std::string active_job(const JobId& id) {
  return kActivePrefix + id.value;
}
std::string terminal_job(const JobId& id) {
  return kTerminalPrefix + id.value;
}
std::string terminating_job(const JobId& id) {
  return kTerminatingPrefix + id.value;
}
std::string segment(FencingToken token, std::uint64_t number) {
  // All digits of 64 bits, so that the order of the text is the order of the numbers.
  char text[48];
  std::snprintf(text, sizeof text, "%020llu-%020llu", static_cast<unsigned long long>(token.value),
                static_cast<unsigned long long>(number));
  return kSegmentPrefix + text;
}
std::string gang_part(const JobId& id, Attempt attempt, std::uint32_t part) {
  return kGangPrefix + id.value + "/" + std::to_string(attempt) + "/" + std::to_string(part);
}
}  // namespace key

namespace {

// Fields of a job's entry in a page; the names are short because pages are full.
constexpr const char* kDone = "d";
constexpr const char* kFree = "f";
constexpr const char* kPlaced = "p";

// "3", "3-7" for neighbours with the same attempt, and "3-7/2" where that is not the first.
void append_run(std::string& out, TaskIndex first, TaskIndex last, Attempt attempt, Attempt usual) {
  if (!out.empty()) out += ',';
  out += std::to_string(first);
  if (last != first) out.append("-").append(std::to_string(last));
  if (attempt != usual) out.append("/").append(std::to_string(attempt));
}

std::string runs_of(const std::vector<const TaskRecord*>& tasks, Attempt usual) {
  std::string out;
  for (std::size_t i = 0; i < tasks.size();) {
    std::size_t j = i;
    while (j + 1 < tasks.size() && tasks[j + 1]->index == tasks[j]->index + 1 &&
           tasks[j + 1]->attempt == tasks[i]->attempt)
      ++j;
    append_run(out, tasks[i]->index, tasks[j]->index, tasks[i]->attempt, usual);
    i = j + 1;
  }
  return out;
}

template <class Number>
Number take_number(std::string_view& text) {
  Number value{};
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{}) throw Malformed("invalid tasks in page");
  text.remove_prefix(static_cast<std::size_t>(end - text.data()));
  return value;
}

bool take_char(std::string_view& text, char c) {
  if (text.empty() || text.front() != c) return false;
  text.remove_prefix(1);
  return true;
}

void parse_runs(const Json& value, const TaskRecord& like, std::vector<TaskRecord>& out) {
  if (!value.is_string()) throw Malformed("invalid tasks in page");
  std::string_view text = value.get_ref<const std::string&>();
  while (!text.empty()) {
    TaskRecord task = like;
    const auto first = take_number<TaskIndex>(text);
    const auto last = take_char(text, '-') ? take_number<TaskIndex>(text) : first;
    if (take_char(text, '/')) task.attempt = take_number<Attempt>(text);
    if (last < first || last == std::numeric_limits<TaskIndex>::max())
      throw Malformed("invalid tasks in page");
    for (task.index = first; task.index <= last; ++task.index) out.push_back(task);
    if (!text.empty() && !take_char(text, ',')) throw Malformed("invalid tasks in page");
  }
}

using TasksByMachine = std::map<std::string, std::vector<const TaskRecord*>>;

Json runs_by_machine(const TasksByMachine& placed, Attempt usual) {
  Json machines = Json::object();
  for (const auto& [machine, tasks] : placed) machines[machine] = runs_of(tasks, usual);
  return machines;
}

void parse_placed(const Json& placed, Attempt usual, std::vector<TaskRecord>& out) {
  if (!placed.is_object()) throw Malformed("invalid places of tasks");
  for (const auto& [machine, runs] : placed.items())
    parse_runs(runs, {0, usual, MachineId(machine), false}, out);
}

}  // namespace

Json to_json(const std::vector<TaskRecord>& tasks) {
  std::vector<const TaskRecord*> done;
  std::vector<const TaskRecord*> free;
  TasksByMachine placed;
  for (const auto& task : tasks) {
    if (task.done) {
      done.push_back(&task);
    } else if (task.machine.value.empty()) {
      free.push_back(&task);
    } else {
      placed[task.machine.value].push_back(&task);
    }
  }
  Json out = Json::object();
  // A completed task is never started again, so its attempt is of no interest: all count as the first.
  if (!done.empty()) {
    std::string text;
    for (std::size_t i = 0; i < done.size();) {
      std::size_t j = i;
      while (j + 1 < done.size() && done[j + 1]->index == done[j]->index + 1) ++j;
      append_run(text, done[i]->index, done[j]->index, 1, 1);
      i = j + 1;
    }
    out[kDone] = std::move(text);
  }
  if (!free.empty()) out[kFree] = runs_of(free, 1);
  if (!placed.empty()) out[kPlaced] = runs_by_machine(placed, 1);
  return out;
}

Json to_json(const SegmentRecord& page) {
  Json out = Json::object();
  for (const auto& [id, tasks] : page) out[id.value] = to_json(tasks);
  return out;
}

SegmentRecord parse_segment(const Json& value) {
  if (!value.is_object()) throw Malformed("invalid page");
  SegmentRecord out;
  for (const auto& [id, entry] : value.items()) {
    auto& tasks = out[JobId(id)];
    if (const Json* done = wire::find(entry, kDone)) parse_runs(*done, {0, 1, {}, true}, tasks);
    if (const Json* free = wire::find(entry, kFree)) parse_runs(*free, {0, 1, {}, false}, tasks);
    if (const Json* placed = wire::find(entry, kPlaced)) parse_placed(*placed, 1, tasks);
  }
  return out;
}

namespace {

constexpr const char* kGangParts = "parts";

}  // namespace

Json to_json(const GangPart& part) {
  TasksByMachine placed;
  for (const auto& task : part.tasks) placed[task.machine.value].push_back(&task);
  return Json{{kGangParts, part.parts}, {kPlaced, runs_by_machine(placed, part.attempt)}};
}

GangPart parse_gang_part(std::string_view key, const Json& value) {
  if (!key.starts_with(key::kGangPrefix)) throw Malformed("invalid key of a gang's record");
  key.remove_prefix(key::kGangPrefix.size());
  const auto slash = key.find('/');
  if (slash == std::string_view::npos) throw Malformed("invalid key of a gang's record");
  GangPart part;
  part.job = JobId(std::string(key.substr(0, slash)));
  key.remove_prefix(slash + 1);
  part.attempt = take_number<Attempt>(key);
  if (!take_char(key, '/')) throw Malformed("invalid key of a gang's record");
  part.part = take_number<std::uint32_t>(key);
  part.parts = static_cast<std::uint32_t>(wire::require_count(value, kGangParts));
  const Json* placed = wire::find(value, kPlaced);
  if (!placed || !key.empty() || part.part >= part.parts) throw Malformed("invalid record of a gang");
  parse_placed(*placed, part.attempt, part.tasks);
  return part;
}

std::vector<GangPart> split_gang(const JobId& id, Attempt attempt, const std::vector<TaskRecord>& tasks,
                                 std::size_t max_value_bytes) {
  constexpr std::size_t kAroundPart = 40;  // names of the fields, and the number of parts
  constexpr std::size_t kAroundRun = 20;   // quotes, separators and two task numbers
  std::vector<GangPart> parts;
  std::size_t bytes = max_value_bytes;
  for (const auto& task : tasks) {
    const std::size_t size = task.machine.value.size() + kAroundRun;
    const bool same_run = !parts.empty() && !parts.back().tasks.empty() &&
                          parts.back().tasks.back().machine == task.machine &&
                          parts.back().tasks.back().index + 1 == task.index;
    if (!same_run && bytes + size > max_value_bytes) {
      parts.push_back({id, attempt, static_cast<std::uint32_t>(parts.size()), 0, {}});
      bytes = kAroundPart;
    }
    if (!same_run) bytes += size;
    parts.back().tasks.push_back(task);
  }
  for (auto& part : parts) part.parts = static_cast<std::uint32_t>(parts.size());
  return parts;
}

Json to_json(const JobRecord& record) {
  Json out{{"spec", wire::to_json(record.spec)}, {"at", record.submitted_ms}};
  if (record.cancelled_ms) out["cancelled"] = *record.cancelled_ms;
  return out;
}

JobRecord parse_job_record(const Json& value) {
  const Json* spec = wire::find(value, "spec");
  if (!spec) throw Malformed("invalid job record");
  JobRecord record;
  record.spec = wire::parse_job(*spec);
  record.submitted_ms = static_cast<std::int64_t>(wire::require_count(value, "at"));
  if (wire::find(value, "cancelled"))
    record.cancelled_ms = static_cast<std::int64_t>(wire::require_count(value, "cancelled"));
  return record;
}

Json to_json(const TerminalRecord& record) {
  return Json{{"stage", wire::spelled(record.state)}, {"done", record.done}};
}

TerminalRecord parse_terminal_record(const Json& value) {
  auto state = wire::job_state_from(wire::require_text(value, "stage"));
  if (!state) throw Malformed("invalid stage in record");
  return {*state, wire::require_count(value, "done")};
}

namespace {

std::size_t bytes_of(const JobRecord& record) {
  return to_json(record).dump(-1, ' ', false, Json::error_handler_t::replace).size();
}

// A job that is cancelled is never placed again: only what its remaining tasks take of team and zones counts.
void drop_what_places_it(JobRecord& record) {
  constexpr const char* kNone = "-";
  record.spec.machine_types.reset();
  record.spec.zone.reset();
  record.spec.deadline_s.reset();
  record.spec.job_class = kNone;
  record.spec.image = kNone;
}

}  // namespace

bool fits_value(JobRecord record, std::size_t max_value_bytes) {
  if (!record.cancelled_ms) record.cancelled_ms = record.submitted_ms;
  return bytes_of(record) <= max_value_bytes;
}

wire::Transaction cancellation(JobRecord record, Revision version, std::uint64_t done,
                               std::int64_t time_of_day_ms, std::size_t max_value_bytes) {
  const auto& id = record.spec.id;
  record.cancelled_ms = time_of_day_ms;
  if (!fits_value(record, max_value_bytes)) drop_what_places_it(record);
  wire::Transaction txn;
  txn.preconditions.push_back({key::active_job(id), version});
  txn.puts.push_back({key::terminal_job(id), to_json(TerminalRecord{wire::JobState::cancelled, done}), {}});
  txn.puts.push_back({key::terminating_job(id), to_json(record), {}});
  txn.deletions.push_back(key::active_job(id));
  return txn;
}

}  // namespace dockdyke::core
