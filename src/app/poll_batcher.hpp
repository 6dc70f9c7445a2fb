// Batches job polls of users and peers and reads all statuses of a batch together.
//
// Only one batch is in flight at a time: if reads are slow, batches grow instead of increasing in number, so
// polls do not use up the request limit of the state service.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "net/loop.hpp"
#include "net/task.hpp"
#include "peer/peer_messages.hpp"
#include "wire/ids.hpp"

namespace dockdyke::app {

// Functions that read job statuses. Both return them in the order of the ids.
struct JobStatusSources {
  // Polls the leader; returns std::nullopt if it does not respond in time or this controller leads.
  std::function<net::Task<std::optional<std::vector<peer::PolledJobStatus>>>(std::vector<JobId>)> poll_leader;
  // Reads the statuses from the state service.
  std::function<net::Task<std::vector<peer::PolledJobStatus>>(std::vector<JobId>)> read_job_statuses;
};

// Collects polls in a queue of at most constants::kPollQueueLimit and processes them in batches. One batch is
// in flight at a time: while the state service is slow, the next batch grows instead of a queue of small
// ones, which would use up the leader's requests in a large fleet.
class PollBatcher {
 public:
  PollBatcher(net::Loop& loop, JobStatusSources sources);

  // Returns the job's status from a read that began after this call, or HTTP status 503 if the read does not
  // finish within the timeout or the queue is full.
  net::Task<peer::PolledJobStatus> poll(JobId id, net::Duration timeout);
  // Like `poll` for several jobs; returns the statuses in the order of `ids`.
  net::Task<std::vector<peer::PolledJobStatus>> poll_all(std::vector<JobId> ids, net::Duration timeout);

 private:
  using PendingStatus = net::OneShot<peer::PolledJobStatus>;
  struct PendingPoll {
    JobId id;
    PendingStatus status;
  };

  // Adds a poll to the queue and starts `run_batches` if it is not running. Returns std::nullopt if the queue
  // is full.
  std::optional<PendingStatus> enqueue(const JobId& id);
  // Processes one batch after another until the queue is empty.
  net::Task<void> run_batches();
  // Polls the leader, then reads the jobs for which it returned no status from the state service.
  net::Task<std::vector<peer::PolledJobStatus>> read_batch(std::vector<JobId> ids);

  net::Loop& loop_;
  JobStatusSources sources_;
  std::vector<PendingPoll> queue_;
  bool running_ = false;
};

}  // namespace dockdyke::app
