// Reads the current states of many jobs with few calls to the state service.
#pragma once

#include <cstddef>
#include <vector>

#include "app/job_reader.hpp"
#include "app/leadership_state.hpp"
#include "app/terminal_job_cache.hpp"
#include "core/config.hpp"
#include "net/loop.hpp"
#include "net/task.hpp"
#include "peer/peer_messages.hpp"
#include "store/state_client.hpp"

namespace dockdyke::app {

// On the leader, a transaction that only has preconditions checks that many active jobs' records still have
// the versions known to the leader. All other jobs are read individually.
class JobStatusReader {
 public:
  JobStatusReader(net::Loop& loop, store::StateClient& state_client, const core::ClusterConfig& config,
                  const LeadershipState& leadership, const TerminalJobCache& terminal_jobs,
                  JobReader& job_reader);

  // Returns the status of each job in the order of `ids`, read after this call began. The HTTP status is 200,
  // 404 for an unknown job, or 503 if the state could not be read in time.
  net::Task<std::vector<peer::PolledJobStatus>> read(std::vector<JobId> ids);

 private:
  // Progress of one call of `read`.
  struct Batch {
    std::vector<JobId> ids;
    std::vector<peer::PolledJobStatus> statuses;  // in the order of `ids`
    net::TimePoint deadline;
    std::size_t next_position = 0;  // first position in `ids` not yet examined by `next_comparison`
    std::vector<std::size_t> individual_positions;  // positions of jobs to be read one by one
  };
  // Jobs of a batch whose record versions are checked by the preconditions of one transaction.
  struct Comparison {
    wire::Transaction transaction;
    std::vector<std::size_t> positions;
    std::vector<wire::JobStatus> statuses;  // from the leader's state, in the order of `positions`
  };
  // Counts the concurrent lookups that have not finished.
  struct PendingLookups {
    std::size_t count;
    net::OneShot<bool> all_done;
  };

  // Fills in the statuses of jobs in the terminal job cache; the others keep status 503.
  void fill_from_cache(Batch& batch) const;
  // Adds jobs of the batch to a transaction until it has the maximum number of preconditions or no jobs are
  // left. Jobs that are not active in the leader's state are marked for individual lookups.
  Comparison next_comparison(Batch& batch) const;
  // Sets the statuses of active jobs whose records are unchanged; marks changed jobs for individual lookups.
  net::Task<void> compare_active_jobs(Batch& batch);
  // Looks up the marked jobs concurrently.
  net::Task<void> read_individually(Batch& batch);
  net::Task<void> read_one(Batch& batch, std::size_t position, PendingLookups& pending);

  net::Loop& loop_;
  store::StateClient& state_client_;
  const core::ClusterConfig& config_;
  const LeadershipState& leadership_;
  const TerminalJobCache& terminal_jobs_;
  JobReader& job_reader_;
};

}  // namespace dockdyke::app
