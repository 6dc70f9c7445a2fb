#include "store/election.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "constants.hpp"

namespace dockdyke::store {

namespace {

wire::Json leader_value(const std::string& host, LeaseId lease) {
  return wire::Json{{"host", host}, {"lease", lease.value}};
}

}  // namespace

Election::Election(net::Loop& loop, StateClient& state, std::string host, Listener listener)
    : loop_(loop), state_(state), host_(std::move(host)), listener_(std::move(listener)), wake_(loop) {}

net::Task<void> Election::run() {
  for (;;) {
    if (held_responses_) {
      co_await renew_leadership();
    } else {
      co_await follow_leader();
    }
  }
}

void Election::step_down() {
  if (!held_responses_) return;
  held_responses_.reset();
  wake_.ring();
  listener_.on_lost();
}

void Election::resign() {
  if (!held_responses_) return;
  abstain_until_ = loop_.now() + net::seconds(constants::kLeadershipTransferAbstention);
  spawn(state_.revoke(held_responses_->lease));
  step_down();
}

net::Task<void> Election::follow_leader() {
  Result<wire::KeyValue> current =
      co_await state_.get(kLeaderKey, loop_.now() + net::seconds(constants::kStateCallTimeout));
  if (current.outcome == Outcome::missing) {
    listener_.on_leader(std::nullopt);
    co_await campaign(Revision(0));
    co_return;
  }
  if (!current) {
    co_await loop_.sleep(net::seconds(constants::kElectionRetryInterval));
    co_return;
  }
  const auto host = current.value.value.value("host", std::string());
  if (host == host_) {
    // The key is from before a restart of this process, or from a transaction whose answer got lost. Nobody
    // else acts under it, so there is no lease to wait for.
    co_await campaign(current.value.version);
    co_return;
  }
  listener_.on_leader(host);
  Revision seen = current.value.version;
  for (;;) {
    Result<wire::KeyEvents> events =
        co_await state_.watch(kLeaderKey, seen, constants::kFollowerWatchTimeout);
    if (events.outcome == Outcome::ok && events.value.events.empty()) {
      seen = events.value.revision;
      continue;
    }
    if (!events) co_await loop_.sleep(net::seconds(constants::kElectionRetryInterval));
    co_return;  // changed or unclear: read the key again
  }
}

net::Task<void> Election::campaign(Revision version) {
  if (loop_.now() < abstain_until_) {
    // Handed on: another is to have it, also while our own key is not gone yet.
    co_await loop_.sleep(net::seconds(constants::kElectionRetryInterval));
    co_return;
  }
  const auto asked_at = loop_.now();
  Result<LeaseId> lease = co_await state_.grant(constants::kLeaderLeaseTtlMs);
  if (!lease) {
    co_await loop_.sleep(net::seconds(constants::kElectionRetryInterval));
    co_return;
  }
  wire::Transaction claim;
  claim.preconditions.push_back({kLeaderKey, version});
  claim.puts.push_back({kLeaderKey, leader_value(host_, lease.value), lease.value});
  Result<Committed> committed = co_await state_.commit(
      claim, RequestPriority::high, loop_.now() + net::seconds(constants::kStateCallTimeout));
  if (committed) {
    become_leader({FencingToken(committed.value.revision.value), lease.value}, asked_at);
    co_return;
  }
  if (committed.outcome == Outcome::unknown) {
    // The claim may have been applied. If the key names this very lease, it was.
    Result<wire::KeyValue> current =
        co_await state_.get(kLeaderKey, loop_.now() + net::seconds(constants::kStateCallTimeout));
    if (current && current.value.value == leader_value(host_, lease.value)) {
      become_leader({FencingToken(current.value.version.value), lease.value}, asked_at);
      co_return;
    }
  }
  if (committed.outcome != Outcome::conflict)
    co_await loop_.sleep(net::seconds(constants::kElectionRetryInterval));
}

void Election::become_leader(Leadership leadership, net::TimePoint asked_at) {
  held_responses_ = leadership;
  spdlog::info("event=elected token={}", leadership.token.value);
  listener_.on_elected(leadership, asked_at);
}

net::Task<void> Election::renew_leadership() {
  const auto asked_at = loop_.now();
  const Outcome outcome = co_await state_.renew(held_responses_->lease);
  if (!held_responses_) co_return;
  if (outcome == Outcome::ok) {
    listener_.on_renewed(asked_at);
  } else if (outcome == Outcome::missing) {
    spdlog::info("event=lease_ended token={}", held_responses_->token.value);
    step_down();
    co_return;
  }
  // An outage is no reason to step down: every lease has its full time again after it.
  co_await wake_.wait_for(net::seconds(constants::kLeaseRenewalInterval));
}

}  // namespace dockdyke::store
