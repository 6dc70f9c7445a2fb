#include "store/election.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "constants.hpp"

namespace dockdyke::store {

namespace {

constexpr const char* kHostField = "host";
constexpr const char* kLeaseField = "lease";

wire::Json leader_value(const std::string& host, LeaseId lease) {
  return wire::Json{{kHostField, host}, {kLeaseField, lease.value}};
}

}  // namespace

Election::Election(net::Loop& loop, StateClient& state, std::string host, Listener listener)
    : loop_(loop),
      state_(state),
      host_(std::move(host)),
      listener_(std::move(listener)),
      leadership_ended_(loop) {}

net::TimePoint Election::call_deadline() const {
  return loop_.now() + net::seconds(constants::kStateCallTimeoutSeconds);
}

net::Loop::Sleep Election::retry_delay() const {
  return loop_.sleep(net::seconds(constants::kElectionRetryIntervalSeconds));
}

net::Task<void> Election::run() {
  for (;;) {
    if (leadership_) {
      co_await renew_leadership();
    } else {
      co_await follow_leader();
    }
  }
}

void Election::step_down(LeadershipEndReason reason) {
  if (!leadership_) return;
  leadership_.reset();
  leadership_ended_.notify();
  listener_.on_leadership_lost(reason);
}

void Election::resign(LeadershipEndReason reason) {
  if (!leadership_) return;
  campaign_allowed_at_ = loop_.now() + net::seconds(constants::kCampaignPauseAfterTransferSeconds);
  spawn(state_.revoke_lease(leadership_->lease));
  step_down(reason);
}

net::Task<void> Election::follow_leader() {
  Result<wire::KeyValue> current = co_await state_.get(kLeaderKey, call_deadline());
  if (current.outcome == Outcome::missing) {
    listener_.on_leader_observed(std::nullopt);
    co_await campaign(Revision(0));
    co_return;
  }
  if (!current) {
    co_await retry_delay();
    co_return;
  }
  const auto leader = current.value.value.value(kHostField, std::string());
  if (leader == host_) {
    // This controller wrote the key before a restart, or the response to its transaction was lost. No other
    // controller uses the key's token, so there is no need to wait until the lease expires.
    co_await campaign(current.value.version);
    co_return;
  }
  listener_.on_leader_observed(leader);
  co_await watch_leader_key(current.value.version);
}

net::Task<void> Election::watch_leader_key(Revision after) {
  for (;;) {
    Result<wire::KeyEvents> changes =
        co_await state_.watch(kLeaderKey, after, constants::kFollowerWatchTimeoutSeconds);
    if (!changes) co_await retry_delay();
    // The key has changed or the watch failed; the caller reads the key again.
    if (!changes || !changes.value.events.empty()) co_return;
    after = changes.value.revision;
  }
}

net::Task<void> Election::campaign(Revision version) {
  if (loop_.now() < campaign_allowed_at_) {
    // After a resignation another controller should be elected, even if this controller's key still exists.
    co_await retry_delay();
    co_return;
  }
  const auto requested_at = loop_.now();
  Result<LeaseId> lease = co_await state_.grant_lease(constants::kLeaderLeaseTtlMs);
  if (!lease) {
    co_await retry_delay();
    co_return;
  }
  // leadership_ and campaign_allowed_at_ have not changed during the call: only a leader steps down or
  // resigns, and only this coroutine makes this controller leader.
  Result<FencingToken> token = co_await acquire_leader_key(version, lease.value);
  if (token) {
    become_leader({token.value, lease.value}, requested_at);
  } else if (token.outcome != Outcome::conflict) {
    co_await retry_delay();
  }
}

net::Task<Result<FencingToken>> Election::acquire_leader_key(Revision version, LeaseId lease) {
  wire::Transaction transaction;
  transaction.preconditions.push_back({kLeaderKey, version});
  transaction.puts.push_back({kLeaderKey, leader_value(host_, lease), lease});
  Result<CommitResult> committed =
      co_await state_.commit(std::move(transaction), RequestPriority::high, call_deadline());
  Result<FencingToken> token{committed.outcome, {}, std::move(committed.error)};
  if (committed) token.value = FencingToken(committed.value.revision.value);
  if (committed.outcome != Outcome::unknown) co_return token;
  // The transaction may have been applied. If it was, the key contains this lease.
  Result<wire::KeyValue> current = co_await state_.get(kLeaderKey, call_deadline());
  if (current && current.value.value == leader_value(host_, lease))
    token = {Outcome::ok, FencingToken(current.value.version.value), std::nullopt};
  co_return token;
}

void Election::become_leader(Leadership leadership, net::TimePoint requested_at) {
  leadership_ = leadership;
  spdlog::info("event=leader_elected token={}", leadership.token.value);
  listener_.on_elected(leadership, requested_at);
}

net::Task<void> Election::renew_leadership() {
  const auto requested_at = loop_.now();
  const Outcome outcome = co_await state_.renew_lease(leadership_->lease);
  // step_down() may have been called during the renewal. No new leadership can have begun, because only this
  // coroutine campaigns.
  if (!leadership_) co_return;
  if (outcome == Outcome::ok) {
    listener_.on_renewed(requested_at);
  } else if (outcome == Outcome::missing) {
    spdlog::info("event=leader_lease_expired token={}", leadership_->token.value);
    step_down(LeadershipEndReason::lease_expired);
    co_return;
  }
  // Other failures do not end the leadership: after an outage of the state service every lease has its full
  // time to live again.
  co_await leadership_ended_.wait_for(net::seconds(constants::kLeaseRenewalIntervalSeconds));
}

}  // namespace dockdyke::store
