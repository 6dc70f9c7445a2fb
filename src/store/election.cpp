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

void Election::step_down(LeadershipEnd reason) {
  if (!leadership_) return;
  leadership_.reset();
  leadership_ended_.notify();
  listener_.on_lost(reason);
}

void Election::resign(LeadershipEnd reason) {
  if (!leadership_) return;
  abstain_until_ = loop_.now() + net::seconds(constants::kCampaignPauseAfterTransferSeconds);
  spawn(state_.revoke(leadership_->lease));
  step_down(reason);
}

net::Task<void> Election::follow_leader() {
  Result<wire::KeyValue> current = co_await state_.get(kLeaderKey, call_deadline());
  if (current.outcome == Outcome::missing) {
    listener_.on_leader(std::nullopt);
    co_await campaign(Revision(0));
    co_return;
  }
  if (!current) {
    co_await retry_delay();
    co_return;
  }
  const auto leader = current.value.value.value(kHostField, std::string());
  if (leader == host_) {
    // The key is from before a restart of this process, or from a transaction whose response got lost. Nobody
    // else acts under its token, so there is no lease to wait for.
    co_await campaign(current.value.version);
    co_return;
  }
  listener_.on_leader(leader);
  co_await watch_leader_key(current.value.version);
}

net::Task<void> Election::watch_leader_key(Revision seen) {
  for (;;) {
    Result<wire::KeyEvents> changes =
        co_await state_.watch(kLeaderKey, seen, constants::kFollowerWatchTimeoutSeconds);
    if (!changes) co_await retry_delay();
    // Changed or unclear: the caller reads the key again.
    if (!changes || !changes.value.events.empty()) co_return;
    seen = changes.value.revision;
  }
}

net::Task<void> Election::campaign(Revision version) {
  if (loop_.now() < abstain_until_) {
    // After a resignation another controller is to be elected, also while our own key is not gone yet.
    co_await retry_delay();
    co_return;
  }
  const auto requested_at = loop_.now();
  Result<LeaseId> lease = co_await state_.grant(constants::kLeaderLeaseTtlMs);
  if (!lease) {
    co_await retry_delay();
    co_return;
  }
  // Neither leadership_ nor abstain_until_ has changed meanwhile: only a leader steps down or resigns, and
  // this coroutine alone makes this controller one.
  Result<FencingToken> token = co_await claim_leader_key(version, lease.value);
  if (token) {
    become_leader({token.value, lease.value}, requested_at);
  } else if (token.outcome != Outcome::conflict) {
    co_await retry_delay();
  }
}

net::Task<Result<FencingToken>> Election::claim_leader_key(Revision version, LeaseId lease) {
  wire::Transaction claim;
  claim.preconditions.push_back({kLeaderKey, version});
  claim.puts.push_back({kLeaderKey, leader_value(host_, lease), lease});
  Result<Committed> committed =
      co_await state_.commit(std::move(claim), RequestPriority::high, call_deadline());
  Result<FencingToken> token{committed.outcome, {}, std::move(committed.error)};
  if (committed) token.value = FencingToken(committed.value.revision.value);
  if (committed.outcome != Outcome::unknown) co_return token;
  // The transaction may have been applied. If the key names this very lease, it was.
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
  const Outcome outcome = co_await state_.renew(leadership_->lease);
  // step_down() may have been called meanwhile. It can't be another leadership than before the call, since a
  // campaign runs in this coroutine alone.
  if (!leadership_) co_return;
  if (outcome == Outcome::ok) {
    listener_.on_renewed(requested_at);
  } else if (outcome == Outcome::missing) {
    spdlog::info("event=leader_lease_expired token={}", leadership_->token.value);
    step_down(LeadershipEnd::lease_expired);
    co_return;
  }
  // An outage is no reason to step down: every lease has its full time again after it (PROTOCOL, "Outages and
  // cuts").
  co_await leadership_ended_.wait_for(net::seconds(constants::kLeaseRenewalIntervalSeconds));
}

}  // namespace dockdyke::store
