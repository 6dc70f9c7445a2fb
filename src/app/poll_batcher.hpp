// Gathers polls of jobs, from users and peers, and answers all that have come together by one reading.
//
// One batch is in flight at a time. While the state service is slow or requests are short, the next batch
// grows instead of a queue of small ones: at 4,000 machines five controllers, each with batches of its own,
// had used up the leader's requests and nearly every poll failed.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "net/loop.hpp"
#include "net/task.hpp"
#include "peer/peer_messages.hpp"
#include "wire/ids.hpp"

namespace dockdyke::app {

// Where statuses come from. Both functions return them in the order of the ids.
struct JobStatusSources {
  // The leader; nothing when there is no response in time, or this controller leads.
  std::function<net::Task<std::optional<std::vector<peer::PolledJobStatus>>>(std::vector<JobId>)> poll_leader;
  // The state service.
  std::function<net::Task<std::vector<peer::PolledJobStatus>>(std::vector<JobId>)> read_job_statuses;
};

// The number of queued polls is bounded by constants::kPollQueueLimit.
class PollBatcher {
 public:
  PollBatcher(net::Loop& loop, JobStatusSources sources);

  // The job's state by a reading that began after this call; status 503 where it can't be told within the
  // timeout or too many polls are queued.
  net::Task<peer::PolledJobStatus> poll(JobId id, net::Duration timeout);
  // The same for several jobs, in their order.
  net::Task<std::vector<peer::PolledJobStatus>> poll_all(std::vector<JobId> ids, net::Duration timeout);

 private:
  using PendingStatus = net::OneShot<peer::PolledJobStatus>;
  struct PendingPoll {
    JobId id;
    PendingStatus status;
  };

  // Nothing where the queue is full.
  std::optional<PendingStatus> enqueue(const JobId& id);
  // Answers batch after batch until no poll is queued.
  net::Task<void> run_batches();
  // The leader's statuses, and those of the state service for jobs of which the leader can't tell.
  net::Task<std::vector<peer::PolledJobStatus>> read_batch(std::vector<JobId> ids);

  net::Loop& loop_;
  JobStatusSources sources_;
  std::vector<PendingPoll> queue_;
  bool running_ = false;
};

}  // namespace dockdyke::app
