// Handles job polls of users and peers (PROTOCOL, "GET /work/{id}").
#pragma once

#include <vector>

#include "app/job_status_reader.hpp"
#include "app/leader_forwarder.hpp"
#include "app/poll_batcher.hpp"
#include "app/terminal_job_cache.hpp"
#include "net/http_server.hpp"
#include "net/loop.hpp"
#include "net/task.hpp"
#include "peer/peer_messages.hpp"

namespace dockdyke::app {

// Serves user polls of cached terminal jobs at once; all other polls go through a single batcher.
class StatusPollHandler {
 public:
  StatusPollHandler(net::Loop& loop, TerminalJobCache& terminal_jobs, LeaderForwarder& forwarder,
                    JobStatusReader& job_status_reader);

  // Responds to a user's poll.
  net::Task<net::HttpResponse> poll(JobId id);
  // Returns the current status of each job in the order of `ids`, for a poll of a peer.
  net::Task<std::vector<peer::PolledJobStatus>> poll_for_peer(std::vector<JobId> ids);

 private:
  TerminalJobCache& terminal_jobs_;
  PollBatcher batcher_;
};

}  // namespace dockdyke::app
