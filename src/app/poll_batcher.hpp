// Gathers questions about jobs, users' and other controllers', and answers all that have come together at
// once.
//
// One batch is under way at a time. While the state service is slow or its requests are short, the next batch
// grows instead of a line of small ones: at 4,000 machines five controllers, each with batches of its own,
// had used up the leader's requests and nearly every question failed.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "net/loop.hpp"
#include "net/task.hpp"
#include "peer/peer.hpp"
#include "wire/ids.hpp"

namespace dockdyke::app {

class PollBatcher {
 public:
  struct Sources {
    // The leader's word on these jobs; nothing when there is none to be had, or this controller leads.
    std::function<net::Task<std::optional<std::vector<peer::PolledJobStatus>>>(std::vector<JobId>)>
        poll_leader;
    // The state service's word.
    std::function<net::Task<std::vector<peer::PolledJobStatus>>(std::vector<JobId>)> read_job_statuses;
  };

  PollBatcher(net::Loop& loop, Sources sources);

  // The job's state as of a reading made after this call; status 503 where that can't be told in time.
  net::Task<peer::PolledJobStatus> ask(JobId id, net::Duration patience);
  // The same for several jobs, in their order.
  net::Task<std::vector<peer::PolledJobStatus>> ask_all(std::vector<JobId> ids, net::Duration patience);

 private:
  using Answer = net::OneShot<peer::PolledJobStatus>;
  struct Question {
    JobId id;
    Answer answer;
  };

  // Nothing where the line is full.
  std::optional<Answer> enqueue(const JobId& id);
  static peer::PolledJobStatus unknown() { return {503, {}}; }
  // Answers batch after batch until no question is left.
  net::Task<void> answer_batches();
  net::Task<std::vector<peer::PolledJobStatus>> answer_batch(std::vector<JobId> ids);

  net::Loop& loop_;
  Sources sources_;
  std::vector<Question> questions_;
  bool answering_ = false;
};

}  // namespace dockdyke::app
