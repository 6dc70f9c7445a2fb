#include "app/job_reader.hpp"

#include <spdlog/spdlog.h>

#include <utility>

namespace dockdyke::app {

using store::Outcome;
using wire::JobState;

namespace {

void log_malformed_record(const JobId& id, const wire::ParseError& error) {
  spdlog::error("event=malformed_record job={} error=\"{}\"", id.value, error.what());
}

}  // namespace

bool is_terminal(JobState state) {
  return state == JobState::done || state == JobState::cancelled;
}

JobReader::JobReader(store::StateClient& state_client, const LeadershipState& leadership,
                     TerminalJobCache& terminal_jobs)
    : state_client_(state_client), leadership_(leadership), terminal_jobs_(terminal_jobs) {}

net::Task<JobLookup> JobReader::read(JobId id, net::TimePoint deadline) {
  JobLookup lookup;
  if (const auto* cached = terminal_jobs_.find(id)) {
    lookup.outcome = Outcome::ok;
    lookup.status = *cached;
    co_return lookup;
  }
  store::Result<wire::KeyValue> active = co_await state_client_.get(core::key::active_job(id), deadline);
  if (active.outcome == Outcome::missing) {
    // One transaction replaces the active record with the terminal one, so an accepted job without an active
    // record has a terminal record.
    lookup = co_await read_terminal(std::move(id), deadline);
    co_return lookup;
  }
  if (!active) co_return lookup;
  try {
    lookup.active_record = core::parse_job_record(active.value.value);
    lookup.active_version = active.value.version;
    if (const auto progress = leadership_.progress(id)) lookup.status = progress->status;
    lookup.outcome = Outcome::ok;
  } catch (const wire::ParseError& error) {
    log_malformed_record(id, error);
  }
  co_return lookup;
}

net::Task<JobLookup> JobReader::read_terminal(JobId id, net::TimePoint deadline) {
  JobLookup lookup;
  store::Result<wire::KeyValue> terminal = co_await state_client_.get(core::key::terminal_job(id), deadline);
  lookup.outcome = terminal.outcome;
  if (!terminal) co_return lookup;
  try {
    const auto record = core::parse_terminal_record(terminal.value.value);
    lookup.status = {record.state, record.done, 0};
    terminal_jobs_.insert(id, lookup.status);
  } catch (const wire::ParseError& error) {
    log_malformed_record(id, error);
    lookup.outcome = Outcome::unknown;
  }
  co_return lookup;
}

}  // namespace dockdyke::app
