// Reads the current state of a single job.
#pragma once

#include <optional>

#include "app/leadership_state.hpp"
#include "app/terminal_job_cache.hpp"
#include "core/stored_records.hpp"
#include "net/loop.hpp"
#include "net/task.hpp"
#include "store/state_client.hpp"

namespace dockdyke::app {

// Result of reading a job.
struct JobLookup {
  // `ok`: the job exists. `missing`: it was never accepted. Any other value: its state is unknown.
  store::Outcome outcome = store::Outcome::unknown;
  wire::JobStatus status;
  // Stored record of an active job and the version of that record; std::nullopt for a terminal job.
  std::optional<core::JobRecord> active_record;
  Revision active_version;
};

// Returns whether the state is final: done or cancelled.
bool is_terminal(wire::JobState state);

// Looks in the cache of terminal jobs first, then in the state service. Adds the terminal states it reads to
// the cache.
class JobReader {
 public:
  JobReader(store::StateClient& state_client, const LeadershipState& leadership,
            TerminalJobCache& terminal_jobs);

  net::Task<JobLookup> read(JobId id, net::TimePoint deadline);

 private:
  // Reads the terminal record from the state service.
  net::Task<JobLookup> read_terminal(JobId id, net::TimePoint deadline);

  store::StateClient& state_client_;
  const LeadershipState& leadership_;
  TerminalJobCache& terminal_jobs_;
};

}  // namespace dockdyke::app
