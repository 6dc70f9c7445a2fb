// Reads the present states of many jobs with few calls of the state service.
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

// On the leader one transaction without changes compares the records of many active jobs with its state.
class JobStatusReader {
 public:
  JobStatusReader(net::Loop& loop, store::StateClient& state, const core::ClusterConfig& config,
                  const LeadershipState& leadership, const TerminalJobCache& terminal_jobs, JobReader& jobs);

  // The state of each job, in the order of `ids`, read for this call: 200, 404, or 503 where it can't be told
  // in time.
  net::Task<std::vector<peer::PolledJobStatus>> read(std::vector<JobId> ids);

 private:
  // One call of `read`.
  struct Batch {
    std::vector<JobId> ids;
    std::vector<peer::PolledJobStatus> statuses;  // in the order of `ids`
    net::TimePoint deadline;
    std::size_t next = 0;                 // the first position that is not classified yet
    std::vector<std::size_t> individual;  // positions of jobs that need a lookup of their own
  };
  // Jobs of a batch whose records are proved unchanged by the preconditions of one transaction.
  struct Comparison {
    wire::Transaction transaction;
    std::vector<std::size_t> positions;
    std::vector<wire::JobStatus> statuses;  // in the order of `positions`
  };
  // Lookups that run at the same time.
  struct PendingLookups {
    std::size_t count;
    net::OneShot<bool> all_done;
  };

  void answer_from_cache(Batch& batch) const;
  // Takes jobs from the batch until the transaction is full or the batch is at its end.
  Comparison next_comparison(Batch& batch) const;
  // Compares active jobs of the leader's state with the state service; the rest needs individual lookups.
  net::Task<void> compare_active_jobs(Batch& batch);
  net::Task<void> read_individually(Batch& batch);
  net::Task<void> read_one(Batch& batch, std::size_t position, PendingLookups& pending);

  net::Loop& loop_;
  store::StateClient& state_;
  const core::ClusterConfig& config_;
  const LeadershipState& leadership_;
  const TerminalJobCache& terminal_jobs_;
  JobReader& jobs_;
};

}  // namespace dockdyke::app
