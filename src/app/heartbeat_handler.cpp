#include "app/heartbeat_handler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "app/responses.hpp"
#include "constants.hpp"
#include "net/http_status.hpp"

namespace dockdyke::app {

using core::HeartbeatOutcome;
using net::HttpResponse;

HeartbeatHandler::HeartbeatHandler(TermContext& context, core::LeaderStateMachine& state_machine,
                                   const ViewFreshness& freshness, HeldResponses& held_responses)
    : context_(context),
      state_machine_(state_machine),
      freshness_(freshness),
      held_responses_(held_responses),
      elected_at_(context.loop().now()) {}

net::Task<HttpResponse> HeartbeatHandler::handle(wire::Heartbeat heartbeat) {
  auto& loop = context_.loop();
  if (!freshness_.may_respond_to_workers()) co_return respond_unavailable(response_counts_.stale_view);
  if (queue_.size() >= constants::kHeartbeatQueueLimit)
    co_return respond_unavailable(response_counts_.queue_full);
  if (!state_machine_.loaded()) last_received_at_ = loop.now();
  const net::OneShot<HeartbeatOutcome> outcome_signal(loop);
  const auto deadline = loop.now() + net::seconds(apply_timeout_s());
  queue_.push_back({heartbeat, outcome_signal, deadline});
  context_.events().wake();
  const std::optional<HeartbeatOutcome> outcome = co_await outcome_signal.wait_until(deadline);
  if (!state_machine_.loaded()) co_return respond_unavailable(response_counts_.not_loaded);
  if (!context_.alive() || !outcome) co_return respond_unavailable(response_counts_.not_applied);
  if (outcome != HeartbeatOutcome::accepted) co_return respond_unavailable(response_counts_.stale_heartbeat);
  co_await held_responses_.wait_for_release(heartbeat.machine);
  // A worker that has sent a newer heartbeat no longer waits for this response, so commands in it would be
  // lost.
  if (!context_.alive() || !state_machine_.awaits_response(heartbeat))
    co_return respond_unavailable(response_counts_.stale_heartbeat);
  const auto now = context_.now();
  const bool allow_starts = freshness_.may_start_tasks();
  const auto commands = state_machine_.commands_for(heartbeat.machine, allow_starts, now);
  state_machine_.response_sent(heartbeat.machine, now);
  ++response_counts_.ok;
  if (heartbeat.token != context_.token()) ++response_counts_.unacknowledged;
  if (!allow_starts) ++response_counts_.starts_withheld;
  co_return msgpack_response(net::http_status::kOk, wire::heartbeat_response(context_.token(), commands));
}

HttpResponse HeartbeatHandler::respond_unavailable(std::size_t& count) {
  ++count;
  return service_unavailable();
}

void HeartbeatHandler::log_response_counts() {
  const ResponseCounts counts = std::exchange(response_counts_, {});
  spdlog::info(
      "event=heartbeat_responses token={} answered={} unacknowledged={} starts_withheld={} stale_view={} "
      "queue_full={} stale_heartbeat={} not_loaded={} not_applied={}",
      context_.token().value, counts.ok, counts.unacknowledged, counts.starts_withheld, counts.stale_view,
      counts.queue_full, counts.stale_heartbeat, counts.not_loaded, counts.not_applied);
}

double HeartbeatHandler::apply_timeout_s() const {
  return state_machine_.loaded() ? constants::kHeartbeatApplyTimeoutSeconds
                                 : constants::kHeartbeatLoadTimeoutSeconds;
}

void HeartbeatHandler::apply_queued(core::Time now) {
  // Before the records are loaded, the leader does not know which tasks are cancelled, and a response would
  // renew the lease of a worker that runs them.
  if (!state_machine_.loaded()) return;
  for (const auto& queued : std::exchange(queue_, {})) {
    if (queued.deadline <= context_.loop().now()) continue;  // `handle` has responded with 503
    const auto outcome = state_machine_.apply_heartbeat(queued.heartbeat, now);
    queued.outcome.set(outcome);
    if (outcome == HeartbeatOutcome::accepted) last_received_at_ = context_.loop().now();
    if (outcome == HeartbeatOutcome::superseded) {
      context_.report_superseded();
      return;
    }
  }
}

HeartbeatGap HeartbeatHandler::heartbeat_gap() const {
  const auto since = last_received_at_.value_or(elected_at_);
  HeartbeatGap gap;
  gap.any_heartbeat_received = last_received_at_.has_value();
  gap.time_since_heartbeat_s = std::chrono::duration<double>(context_.loop().now() - since).count();
  gap.anomaly_threshold_s = constants::kMinHeartbeatGapSeconds;
  if (gap.time_since_heartbeat_s < gap.anomaly_threshold_s) return gap;  // saves counting the machines
  gap.machine_count = state_machine_.up_machine_count();
  const double interval_s = context_.config().heartbeat_interval_s;
  const double full_round_s = constants::kHeartbeatRoundFactor * interval_s + held_responses_.idle_hold_s();
  const double missed_s = constants::kMissedHeartbeatsThreshold * interval_s /
                          std::max(1.0, static_cast<double>(gap.machine_count));
  gap.anomaly_threshold_s = std::max(gap.anomaly_threshold_s, std::min(full_round_s, missed_s));
  return gap;
}

}  // namespace dockdyke::app
