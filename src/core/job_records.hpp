// Stored records of jobs. Shared by the leader and by controllers that serve a user's request on the state
// service themselves.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "wire/messages.hpp"

namespace dockdyke::core {

// The record of an active job, written once, when it is submitted. Times are milliseconds since 1970.
struct JobRecord {
  wire::JobSpec spec;
  std::int64_t submitted_ms = 0;
  // Only in the copy that stays until the tasks of a cancelled job are proved gone.
  std::optional<std::int64_t> cancelled_ms = {};
};

// The record of a job that is done or cancelled.
struct TerminalRecord {
  wire::JobState state = wire::JobState::done;
  std::uint64_t done = 0;  // tasks
};

// The parsers throw `wire::Malformed`.
wire::Json to_json(const JobRecord& record);
JobRecord parse_job_record(const wire::Json& value);
wire::Json to_json(const TerminalRecord& record);
TerminalRecord parse_terminal_record(const wire::Json& value);

// Whether the record, and its copy after a cancellation, fit into a value of the state service.
bool fits_value(JobRecord record, std::size_t max_value_bytes);

// The transaction that cancels a job: the active record becomes the terminal one, and a copy stays until its
// tasks, which the task log may name, are proved gone. The copy always fits into a value: what is only needed
// to assign tasks is left out of a record that was written under a higher limit.
wire::Transaction cancellation(JobRecord record, Revision version, std::uint64_t done,
                               std::int64_t time_of_day_ms, std::size_t max_value_bytes);

}  // namespace dockdyke::core
