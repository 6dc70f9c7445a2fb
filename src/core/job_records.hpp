// Stored records of jobs, used by the leader and by followers that serve user requests from the state
// service.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "wire/messages.hpp"

namespace dockdyke::core {

// The record of an active job, written once at submission. Times are milliseconds since the Unix epoch.
struct JobRecord {
  wire::JobSpec spec;
  std::int64_t submitted_ms = 0;
  // Set only in the copy that is kept until all tasks of a cancelled job are confirmed ended.
  std::optional<std::int64_t> cancelled_ms = {};
};

// The record of a job that is done or cancelled.
struct TerminalRecord {
  wire::JobState state = wire::JobState::done;
  std::uint64_t done = 0;  // number of completed tasks
};

// The parsers throw `wire::ParseError`.
wire::Json to_json(const JobRecord& record);
JobRecord parse_job_record(const wire::Json& value);
wire::Json to_json(const TerminalRecord& record);
TerminalRecord parse_terminal_record(const wire::Json& value);

// Returns whether the record and its copy after a cancellation fit into a value of the state service.
bool fits_value(JobRecord record, std::size_t max_value_bytes);

// Returns the transaction that cancels a job. It replaces the active record by the terminal one and adds a
// copy that is kept until all tasks are confirmed ended. If the copy would exceed `max_value_bytes`, fields
// that are only needed to assign tasks are left out.
wire::Transaction cancellation_transaction(JobRecord record, Revision version, std::uint64_t done,
                                           std::int64_t cancelled_ms, std::size_t max_value_bytes);

}  // namespace dockdyke::core
