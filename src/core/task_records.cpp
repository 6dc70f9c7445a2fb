#include "core/task_records.hpp"

#include <charconv>
#include <limits>
#include <string>
#include <utility>

#include "core/state_keys.hpp"

namespace dockdyke::core {

using wire::Json;
using wire::Malformed;

// ---- Runs of tasks ----------------------------------------------------------------------------------------
//
// "3", "3-7" for neighbours with the same attempt, and "3-7/2" where that is not the usual one; separated by
// commas.

namespace {

// Fields of a job's entry in a segment; the names are short because segments are full.
constexpr const char* kDone = "d";
constexpr const char* kUnassigned = "f";
constexpr const char* kAssigned = "p";
constexpr const char* kGangParts = "parts";

using Tasks = std::vector<const TaskRecord*>;
using TasksByMachine = std::map<std::string, Tasks>;

void append_run(std::string& out, TaskIndex first, TaskIndex last, Attempt attempt, Attempt usual) {
  if (!out.empty()) out += ',';
  out += std::to_string(first);
  if (last != first) out.append("-").append(std::to_string(last));
  if (attempt != usual) out.append("/").append(std::to_string(attempt));
}

// The last of the neighbours that share a run with the task at `first`.
std::size_t end_of_run(const Tasks& tasks, std::size_t first, bool same_attempt) {
  std::size_t last = first;
  while (last + 1 < tasks.size() && tasks[last + 1]->index == tasks[last]->index + 1 &&
         (!same_attempt || tasks[last + 1]->attempt == tasks[first]->attempt))
    ++last;
  return last;
}

std::string runs_of_same_attempt(const Tasks& tasks, Attempt usual) {
  std::string out;
  for (std::size_t first = 0; first < tasks.size();) {
    const std::size_t last = end_of_run(tasks, first, true);
    append_run(out, tasks[first]->index, tasks[last]->index, tasks[first]->attempt, usual);
    first = last + 1;
  }
  return out;
}

// A completed task is never started again, so its attempt is of no interest: all count as the first.
std::string runs_of_done(const Tasks& tasks) {
  std::string out;
  for (std::size_t first = 0; first < tasks.size();) {
    const std::size_t last = end_of_run(tasks, first, false);
    append_run(out, tasks[first]->index, tasks[last]->index, 1, 1);
    first = last + 1;
  }
  return out;
}

Json runs_by_machine(const TasksByMachine& assigned, Attempt usual) {
  Json machines = Json::object();
  for (const auto& [machine, tasks] : assigned) machines[machine] = runs_of_same_attempt(tasks, usual);
  return machines;
}

template <class Number>
Number take_number(std::string_view& text) {
  Number value{};
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{}) throw Malformed("invalid run of tasks");
  text.remove_prefix(static_cast<std::size_t>(end - text.data()));
  return value;
}

bool take_char(std::string_view& text, char c) {
  if (text.empty() || text.front() != c) return false;
  text.remove_prefix(1);
  return true;
}

// Appends the tasks of the runs; what the runs don't tell is as in `like`.
void parse_runs(const Json& value, const TaskRecord& like, std::vector<TaskRecord>& out) {
  if (!value.is_string()) throw Malformed("invalid runs of tasks");
  std::string_view text = value.get_ref<const std::string&>();
  while (!text.empty()) {
    TaskRecord task = like;
    const auto first = take_number<TaskIndex>(text);
    const auto last = take_char(text, '-') ? take_number<TaskIndex>(text) : first;
    if (take_char(text, '/')) task.attempt = take_number<Attempt>(text);
    if (last < first || last == std::numeric_limits<TaskIndex>::max())
      throw Malformed("invalid run of tasks");
    for (task.index = first; task.index <= last; ++task.index) out.push_back(task);
    if (!text.empty() && !take_char(text, ',')) throw Malformed("invalid run of tasks");
  }
}

void parse_assigned(const Json& assigned, Attempt usual, std::vector<TaskRecord>& out) {
  if (!assigned.is_object()) throw Malformed("invalid machines of tasks");
  for (const auto& [machine, runs] : assigned.items())
    parse_runs(runs, {0, usual, MachineId(machine), false}, out);
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
  if (!done.empty()) out[kDone] = runs_of_done(done);
  if (!unassigned.empty()) out[kUnassigned] = runs_of_same_attempt(unassigned, 1);
  if (!assigned.empty()) out[kAssigned] = runs_by_machine(assigned, 1);
  return out;
}

Json to_json(const SegmentRecord& segment) {
  Json out = Json::object();
  for (const auto& [id, tasks] : segment) out[id.value] = to_json(tasks);
  return out;
}

SegmentRecord parse_segment(const Json& value) {
  if (!value.is_object()) throw Malformed("invalid segment of the task log");
  SegmentRecord out;
  for (const auto& [id, entry] : value.items()) {
    auto& tasks = out[JobId(id)];
    if (const Json* done = wire::find(entry, kDone)) parse_runs(*done, {0, 1, {}, true}, tasks);
    if (const Json* unassigned = wire::find(entry, kUnassigned))
      parse_runs(*unassigned, {0, 1, {}, false}, tasks);
    if (const Json* assigned = wire::find(entry, kAssigned)) parse_assigned(*assigned, 1, tasks);
  }
  return out;
}

// ---- Gang attempts ----------------------------------------------------------------------------------------

Json to_json(const GangPart& part) {
  TasksByMachine assigned;
  for (const auto& task : part.tasks) assigned[task.machine.value].push_back(&task);
  return Json{{kGangParts, part.parts}, {kAssigned, runs_by_machine(assigned, part.attempt)}};
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
  const Json* assigned = wire::find(value, kAssigned);
  if (!assigned || !key.empty() || part.part >= part.parts) throw Malformed("invalid record of a gang");
  parse_assigned(*assigned, part.attempt, part.tasks);
  return part;
}

std::vector<GangPart> split_gang(const JobId& id, Attempt attempt, const std::vector<TaskRecord>& tasks,
                                 std::size_t max_value_bytes) {
  constexpr std::size_t kAroundPart = 40;  // names of the fields, and the number of parts
  constexpr std::size_t kAroundRun = 20;   // quotes, separators and two task numbers
  std::vector<GangPart> parts;
  std::size_t bytes = max_value_bytes;
  for (const auto& task : tasks) {
    const std::size_t run_bytes = task.machine.value.size() + kAroundRun;
    const bool same_run = !parts.empty() && !parts.back().tasks.empty() &&
                          parts.back().tasks.back().machine == task.machine &&
                          parts.back().tasks.back().index + 1 == task.index;
    if (!same_run && bytes + run_bytes > max_value_bytes) {
      parts.push_back({id, attempt, static_cast<std::uint32_t>(parts.size()), 0, {}});
      bytes = kAroundPart;
    }
    if (!same_run) bytes += run_bytes;
    parts.back().tasks.push_back(task);
  }
  for (auto& part : parts) part.parts = static_cast<std::uint32_t>(parts.size());
  return parts;
}

}  // namespace dockdyke::core
