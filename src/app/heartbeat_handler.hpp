// Handles workers' heartbeats on the leader (PROTOCOL, "POST /v1/report").
#pragma once

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

  // Queues the heartbeat and responds once it is applied: 200 with commands, or 503 where this leader must
  // not respond or the response would come too late.
  net::Task<net::HttpResponse> handle(wire::Heartbeat heartbeat);
  // Applies the queued heartbeats; called by the main loop. Ends the term when one shows a higher token.
  void apply_queued(core::Time now);
  HeartbeatSilence silence() const;

 private:
  struct QueuedHeartbeat {
    wire::Heartbeat heartbeat;
    net::OneShot<core::HeartbeatOutcome> outcome;
  };

  TermContext& context_;
  core::LeaderStateMachine& state_machine_;
  const ViewFreshness& freshness_;
  ResponseHolds& holds_;
  std::vector<QueuedHeartbeat> queue_;
  net::TimePoint elected_at_;
  std::optional<net::TimePoint> last_accepted_at_;
};

}  // namespace dockdyke::app
