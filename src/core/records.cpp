#include "core/records.hpp"

#include <algorithm>
#include <charconv>
#include <string_view>

#include "constants.hpp"

namespace dockdyke::core {

using wire::Json;
using wire::Malformed;

namespace key {
std::string open(const JobId& id) {
  return kOpenPrefix + id.value;
}
std::string over(const JobId& id) {
  return kOverPrefix + id.value;
}
std::string linger(const JobId& id) {
  return kLingerPrefix + id.value;
}
std::string part_prefix(const JobId& id) {
  return "part/" + id.value + "/";
}
std::string part(const JobId& id, std::uint32_t number) {
  return part_prefix(id) + std::to_string(number);
}
}  // namespace key

namespace {

// A task is written as "", "D" (done), "3" (last attempt) or "3@n-000231" (attempt and machine). Text, since
// a list of lists would take twice the room and the values are small.
void append_task(std::string& out, const TaskRecord& task) {
  if (task.done) {
    out += 'D';
    return;
  }
  if (task.attempt > 0) out += std::to_string(task.attempt);
  if (task.placed()) out += "@" + task.machine.value;
}

TaskRecord parse_task_record(std::string_view text) {
  TaskRecord task;
  if (text == "D") {
    task.done = true;
    return task;
  }
  if (text.empty()) return task;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), task.attempt);
  if (error != std::errc{}) throw Malformed("invalid task record");
  auto rest = text.substr(static_cast<std::size_t>(end - text.data()));
  if (!rest.empty()) {
    if (rest.front() != '@') throw Malformed("invalid task record");
    task.machine = MachineId(std::string(rest.substr(1)));
  }
  return task;
}

}  // namespace

std::uint32_t tasks_per_part(const wire::JobSpec& spec, std::size_t value_bytes) {
  const std::size_t taken = wire::to_json(spec).dump().size() + limits::kRecordOverhead;
  const std::size_t room = value_bytes > taken ? value_bytes - taken : 0;
  return static_cast<std::uint32_t>(std::max<std::size_t>(1, room / limits::kBytesPerTask));
}

Json to_json(const std::vector<TaskRecord>& part) {
  std::string text;
  for (std::size_t i = 0; i < part.size(); ++i) {
    if (i > 0) text += ',';
    append_task(text, part[i]);
  }
  text.erase(std::find_if(text.rbegin(), text.rend(), [](char c) { return c != ','; }).base(), text.end());
  return Json(std::move(text));
}

std::vector<TaskRecord> parse_part(const Json& value) {
  if (!value.is_string()) throw Malformed("invalid part");
  const auto& text = value.get_ref<const std::string&>();
  std::vector<TaskRecord> out;
  std::string_view rest = text;
  while (!rest.empty()) {
    auto comma = rest.find(',');
    out.push_back(parse_task_record(rest.substr(0, comma)));
    if (comma == std::string_view::npos) break;
    rest.remove_prefix(comma + 1);
    if (rest.empty()) out.emplace_back();
  }
  return out;
}

Json to_json(const JobRecord& record) {
  return Json{{"spec", wire::to_json(record.spec)},
              {"at", record.submitted_ms},
              {"per", record.per_part},
              {"stage", wire::spelled(record.status.stage)},
              {"done", record.status.done},
              {"running", record.status.running},
              {"tasks", to_json(record.first_part)}};
}

JobRecord parse_job_record(const Json& value) {
  JobRecord record;
  const Json* spec = wire::find(value, "spec");
  const Json* tasks = wire::find(value, "tasks");
  if (!spec || !tasks) throw Malformed("invalid job record");
  record.spec = wire::parse_job(*spec);
  record.submitted_ms = static_cast<std::int64_t>(wire::require_count(value, "at"));
  record.per_part = static_cast<std::uint32_t>(std::max<std::uint64_t>(1, wire::require_count(value, "per")));
  auto stage = wire::stage_from(wire::require_text(value, "stage"));
  if (!stage) throw Malformed("invalid stage in record");
  record.status = {*stage, wire::require_count(value, "done"), wire::require_count(value, "running")};
  record.first_part = parse_part(*tasks);
  return record;
}

Json to_json(const FinalRecord& record) {
  return Json{{"stage", wire::spelled(record.stage)}, {"done", record.done}};
}

FinalRecord parse_final_record(const Json& value) {
  auto stage = wire::stage_from(wire::require_text(value, "stage"));
  if (!stage) throw Malformed("invalid stage in record");
  return {*stage, wire::require_count(value, "done")};
}

wire::Transaction cancellation(const JobRecord& record, Revision version) {
  const auto& id = record.spec.id;
  wire::Transaction txn;
  txn.guards.push_back({key::open(id), version});
  txn.puts.push_back({key::over(id), to_json(FinalRecord{wire::Stage::cancelled, record.status.done}), {}});
  const bool placed = std::any_of(record.first_part.begin(), record.first_part.end(),
                                  [](const TaskRecord& task) { return task.placed(); });
  if (placed || record.parts() > 1) txn.puts.push_back({key::linger(id), to_json(record), {}});
  txn.removals.push_back(key::open(id));
  return txn;
}

}  // namespace dockdyke::core
