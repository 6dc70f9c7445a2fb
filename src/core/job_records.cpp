#include "core/job_records.hpp"

#include "core/state_keys.hpp"

namespace dockdyke::core {

using wire::Json;
using wire::ParseError;

namespace {

constexpr const char* kSpec = "spec";
constexpr const char* kSubmitted = "at";
constexpr const char* kCancelled = "cancelled";
constexpr const char* kState = "stage";
constexpr const char* kDone = "done";

std::size_t encoded_bytes(const JobRecord& record) {
  return to_json(record).dump(-1, ' ', false, Json::error_handler_t::replace).size();
}

// Tasks of a cancelled job are never assigned again, so only the fields needed to account for the resources
// of its running tasks are kept.
void drop_scheduling_fields(JobRecord& record) {
  constexpr const char* kPlaceholder = "-";
  record.spec.machine_types.reset();
  record.spec.zone.reset();
  record.spec.deadline_s.reset();
  record.spec.job_class = kPlaceholder;
  record.spec.image = kPlaceholder;
}

}  // namespace

Json to_json(const JobRecord& record) {
  Json out{{kSpec, wire::to_json(record.spec)}, {kSubmitted, record.submitted_ms}};
  if (record.cancelled_ms) out[kCancelled] = *record.cancelled_ms;
  return out;
}

JobRecord parse_job_record(const Json& value) {
  const Json* spec = wire::find_field(value, kSpec);
  if (!spec) throw ParseError("job record has no spec");
  JobRecord record;
  record.spec = wire::parse_job(*spec);
  record.submitted_ms = static_cast<std::int64_t>(wire::require_count(value, kSubmitted));
  if (wire::find_field(value, kCancelled))
    record.cancelled_ms = static_cast<std::int64_t>(wire::require_count(value, kCancelled));
  return record;
}

Json to_json(const TerminalRecord& record) {
  return Json{{kState, wire::to_string(record.state)}, {kDone, record.done}};
}

TerminalRecord parse_terminal_record(const Json& value) {
  auto state = wire::job_state_from_string(wire::require_text(value, kState));
  if (!state) throw ParseError("invalid job state in terminal record");
  return {*state, wire::require_count(value, kDone)};
}

bool fits_value(JobRecord record, std::size_t max_value_bytes) {
  if (!record.cancelled_ms) record.cancelled_ms = record.submitted_ms;
  return encoded_bytes(record) <= max_value_bytes;
}

wire::Transaction cancellation_transaction(JobRecord record, Revision version, std::uint64_t done,
                                           std::int64_t cancelled_ms, std::size_t max_value_bytes) {
  const auto& id = record.spec.id;
  record.cancelled_ms = cancelled_ms;
  if (!fits_value(record, max_value_bytes)) drop_scheduling_fields(record);
  wire::Transaction transaction;
  transaction.preconditions.push_back({key::active_job(id), version});
  transaction.puts.push_back(
      {key::terminal_job(id), to_json(TerminalRecord{wire::JobState::cancelled, done}), {}});
  transaction.puts.push_back({key::terminating_job(id), to_json(record), {}});
  transaction.deletions.push_back(key::active_job(id));
  return transaction;
}

}  // namespace dockdyke::core
