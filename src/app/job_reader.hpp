// Reads one job's present state: from the cache of terminal jobs, else from the state service.
#pragma once

#include <optional>

#include "app/leadership_state.hpp"
#include "app/terminal_job_cache.hpp"
#include "core/stored_records.hpp"
#include "net/loop.hpp"
#include "net/task.hpp"
#include "store/state_client.hpp"

namespace dockdyke::app {

// What is known of a job.
struct JobLookup {
  // `ok`: the job exists. `missing`: it was never accepted. Anything else: it can't be told now.
  store::Outcome outcome = store::Outcome::unknown;
  wire::JobStatus status;
  // Of an active job: its stored record and the version of that record.
  std::optional<core::JobRecord> active_record;
  Revision active_version;
};

// Whether a job in this state never changes again.
bool is_terminal(wire::JobState state);

// Terminal states that it reads are cached.
class JobReader {
 public:
  JobReader(store::StateClient& state, const LeadershipState& leadership, TerminalJobCache& terminal_jobs);

  net::Task<JobLookup> read(JobId id, net::TimePoint deadline);

 private:
  net::Task<JobLookup> read_terminal(JobId id, net::TimePoint deadline);

  store::StateClient& state_;
  const LeadershipState& leadership_;
  TerminalJobCache& terminal_jobs_;
};

}  // namespace dockdyke::app
