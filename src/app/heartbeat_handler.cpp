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
                                   const ViewFreshness& freshness, ResponseHolds& holds)
    : context_(context),
      state_machine_(state_machine),
      freshness_(freshness),
      holds_(holds),
      elected_at_(context.loop().now()) {}

net::Task<HttpResponse> HeartbeatHandler::handle(wire::Heartbeat heartbeat) {
  auto& loop = context_.loop();
  if (!freshness_.may_answer_workers()) co_return refuse(responses_.stale_view);
  if (queue_.size() >= constants::kHeartbeatQueueLimit) co_return refuse(responses_.queue_full);
  if (!state_machine_.loaded()) last_received_at_ = loop.now();
  const net::OneShot<HeartbeatOutcome> pending(loop);
  const auto deadline = loop.now() + net::seconds(apply_timeout_s());
  queue_.push_back({heartbeat, pending, deadline});
  context_.events().wake();
  const std::optional<HeartbeatOutcome> outcome = co_await pending.wait_until(deadline);
  if (!state_machine_.loaded()) co_return refuse(responses_.not_loaded);
  if (!context_.alive() || !outcome) co_return refuse(responses_.not_applied);
  if (outcome != HeartbeatOutcome::accepted) co_return refuse(responses_.stale_heartbeat);
  co_await holds_.wait(heartbeat.machine);
  // A later heartbeat of the machine means that it no longer waits for this response: the commands would be
  // lost.
  if (!context_.alive() || !state_machine_.awaits_response(heartbeat))
    co_return refuse(responses_.stale_heartbeat);
  const auto now = context_.now();
  const bool allow_starts = freshness_.may_start_tasks();
  const auto commands = state_machine_.commands_for(heartbeat.machine, allow_starts, now);
  state_machine_.response_sent(heartbeat.machine, now);
  ++responses_.answered;
  if (heartbeat.token != context_.token()) ++responses_.unacknowledged;
  if (!allow_starts) ++responses_.starts_withheld;
  co_return msgpack_response(net::http_status::kOk, wire::heartbeat_response(context_.token(), commands));
}

HttpResponse HeartbeatHandler::refuse(std::size_t& count) {
  ++count;
  return service_unavailable();
}

void HeartbeatHandler::log_responses() {
  const ResponseCounts counts = std::exchange(responses_, {});
  spdlog::info(
      "event=heartbeat_responses token={} answered={} unacknowledged={} starts_withheld={} stale_view={} "
      "queue_full={} stale_heartbeat={} not_loaded={} not_applied={}",
      context_.token().value, counts.answered, counts.unacknowledged, counts.starts_withheld,
      counts.stale_view, counts.queue_full, counts.stale_heartbeat, counts.not_loaded, counts.not_applied);
}

double HeartbeatHandler::apply_timeout_s() const {
  return state_machine_.loaded() ? constants::kHeartbeatApplyTimeoutSeconds
                                 : constants::kHeartbeatLoadTimeoutSeconds;
}

void HeartbeatHandler::apply_queued(core::Time now) {
  // A leader that has not read the records does not know which tasks are cancelled, and an answer would renew
  // the lease of a worker that runs them.
  if (!state_machine_.loaded()) return;
  for (const auto& queued : std::exchange(queue_, {})) {
    if (queued.deadline <= context_.loop().now()) continue;  // refused meanwhile
    const auto outcome = state_machine_.apply_heartbeat(queued.heartbeat, now);
    queued.outcome.set(outcome);
    if (outcome == HeartbeatOutcome::accepted) last_received_at_ = context_.loop().now();
    if (outcome == HeartbeatOutcome::superseded) {
      context_.report_superseded();
      return;
    }
  }
}

HeartbeatSilence HeartbeatHandler::silence() const {
  const auto since = last_received_at_.value_or(elected_at_);
  HeartbeatSilence silence;
  silence.any_heartbeat_received = last_received_at_.has_value();
  silence.duration_s = std::chrono::duration<double>(context_.loop().now() - since).count();
  silence.threshold_s = constants::kMinHeartbeatGapSeconds;
  if (silence.duration_s < silence.threshold_s) return silence;  // no need to count the machines
  silence.machines = state_machine_.up_machine_count();
  const double interval_s = context_.config().heartbeat_interval_s;
  const double round_s = constants::kHeartbeatRoundFactor * interval_s + holds_.idle_hold_s();
  const double missed_s = constants::kMissedHeartbeatsThreshold * interval_s /
                          std::max(1.0, static_cast<double>(silence.machines));
  silence.threshold_s = std::max(silence.threshold_s, std::min(round_s, missed_s));
  return silence;
}

}  // namespace dockdyke::app
