// Handles workers' heartbeats on the leader (PROTOCOL, "POST /v1/report").
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "app/heartbeat_silence.hpp"
#include "app/response_holds.hpp"
#include "app/term_context.hpp"
#include "app/view_freshness.hpp"
#include "core/leader_state_machine.hpp"
#include "net/http_server.hpp"
#include "net/loop.hpp"
#include "net/task.hpp"
#include "wire/messages.hpp"

namespace dockdyke::app {

// At most constants::kHeartbeatQueueLimit heartbeats are queued; one more gets 503.
class HeartbeatHandler {
 public:
  HeartbeatHandler(TermContext& context, core::LeaderStateMachine& state_machine,
                   const ViewFreshness& freshness, ResponseHolds& holds);

  // Queues the heartbeat and responds once it is applied, which is not before the stored records are loaded:
  // 200 with commands, or 503 where this leader must not respond or the response would come too late.
  net::Task<net::HttpResponse> handle(wire::Heartbeat heartbeat);
  // Applies the queued heartbeats; called by the main loop. Ends the term when one shows a higher token.
  void apply_queued(core::Time now);
  HeartbeatSilence silence() const;
  // Logs how heartbeats were answered since the last call.
  void log_responses();

 private:
  // Responses since the last log line. Those with status 200 renew the worker's lease; the others are 503.
  struct ResponseCounts {
    std::size_t answered = 0;         // with status 200
    std::size_t unacknowledged = 0;   // of these: to workers that had not shown this leader's token
    std::size_t starts_withheld = 0;  // of these: without starts, since this leader's view may be too old
    std::size_t stale_view = 0;       // refused: this leader's view is too old, or it is isolated
    std::size_t queue_full = 0;       // refused
    std::size_t stale_heartbeat = 0;  // refused: older than another one, or no longer awaited
    std::size_t not_loaded = 0;       // refused: this leader had not read the records in time
    std::size_t not_applied = 0;      // refused: the term ended, or the main loop did not come to it in time
  };

  // Seconds a heartbeat may wait until it is applied.
  double apply_timeout_s() const;
  // 503; counts it.
  static net::HttpResponse refuse(std::size_t& count);

  struct QueuedHeartbeat {
    wire::Heartbeat heartbeat;
    net::OneShot<core::HeartbeatOutcome> outcome;
    net::TimePoint deadline;  // refused from then on
  };

  TermContext& context_;
  core::LeaderStateMachine& state_machine_;
  const ViewFreshness& freshness_;
  ResponseHolds& holds_;
  std::vector<QueuedHeartbeat> queue_;
  net::TimePoint elected_at_;
  // When the last heartbeat came that was accepted, or could not be yet since the records were not loaded.
  std::optional<net::TimePoint> last_received_at_;
  ResponseCounts responses_;
};

}  // namespace dockdyke::app
