// Handles workers' heartbeats on the leader.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "app/heartbeat_gap.hpp"
#include "app/held_responses.hpp"
#include "app/term_context.hpp"
#include "app/view_freshness.hpp"
#include "core/leader_state_machine.hpp"
#include "net/http_server.hpp"
#include "net/loop.hpp"
#include "net/task.hpp"
#include "wire/messages.hpp"

namespace dockdyke::app {

// Queues at most constants::kHeartbeatQueueLimit heartbeats and responds to further ones with 503.
class HeartbeatHandler {
 public:
  HeartbeatHandler(TermContext& context, core::LeaderStateMachine& state_machine,
                   const ViewFreshness& freshness, HeldResponses& held_responses);

  // Queues the heartbeat and responds after the main loop has applied it, which requires that the stored
  // records are loaded. Responds with 200 and commands, or with 503 if the heartbeat is stale or not applied
  // in time, or this leader's local view is too stale.
  net::Task<net::HttpResponse> handle(wire::Heartbeat heartbeat);
  // Applies the queued heartbeats; called by the main loop. Ends the term if a heartbeat has a higher token.
  void apply_queued(core::Time now);
  HeartbeatGap heartbeat_gap() const;
  // Logs and resets the response counts.
  void log_response_counts();

 private:
  // Responses since the last log line, by result. A response with status 200 renews the worker's lease.
  struct ResponseCounts {
    std::size_t ok = 0;               // status 200
    std::size_t unacknowledged = 0;   // of `ok`: the worker had not acknowledged this leader's token
    std::size_t starts_withheld = 0;  // of `ok`: no start commands, since the local view was too stale
    std::size_t stale_view = 0;       // 503: the local view was too stale, or this leader was isolated
    std::size_t queue_full = 0;       // 503
    std::size_t stale_heartbeat = 0;  // 503: a newer heartbeat of the machine was received
    std::size_t not_loaded = 0;       // 503: the stored records were not loaded in time
    std::size_t not_applied = 0;      // 503: the term ended, or the main loop did not apply it in time
  };

  // Returns how long a heartbeat may wait to be applied.
  double apply_timeout_s() const;
  // Increments the count and returns a 503 response.
  static net::HttpResponse respond_unavailable(std::size_t& count);

  struct QueuedHeartbeat {
    wire::Heartbeat heartbeat;
    net::OneShot<core::HeartbeatOutcome> outcome;
    net::TimePoint deadline;  // after which `handle` has responded with 503
  };

  TermContext& context_;
  core::LeaderStateMachine& state_machine_;
  const ViewFreshness& freshness_;
  HeldResponses& held_responses_;
  std::vector<QueuedHeartbeat> queue_;
  net::TimePoint elected_at_;
  // Time of the last accepted heartbeat; while the records are not loaded, of the last one received.
  std::optional<net::TimePoint> last_received_at_;
  ResponseCounts response_counts_;
};

}  // namespace dockdyke::app
