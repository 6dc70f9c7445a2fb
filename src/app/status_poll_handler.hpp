// Answers polls of jobs, from users and from peers (PROTOCOL, "GET /work/{id}").
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

// All polls of this controller go through one batcher.
class StatusPollHandler {
 public:
  StatusPollHandler(net::Loop& loop, TerminalJobCache& terminal_jobs, LeaderForwarder& forwarder,
                    JobStatusReader& reader);

  // A user's poll.
  net::Task<net::HttpResponse> poll(JobId id);
  // The present state of each job, in the order of `ids`, for a peer.
  net::Task<std::vector<peer::PolledJobStatus>> poll_for_peer(std::vector<JobId> ids);

 private:
  TerminalJobCache& terminal_jobs_;
  PollBatcher batcher_;
};

}  // namespace dockdyke::app
