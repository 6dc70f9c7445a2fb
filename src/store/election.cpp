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
    if (held_) {
      co_await lead();
    } else {
      co_await follow();
    }
  }
}

void Election::step_down() {
  if (!held_) return;
  held_.reset();
  wake_.ring();
  listener_.on_lost();
}

void Election::hand_on() {
  if (!held_) return;
  rests_until_ = loop_.now() + net::seconds(limits::kHandOnRest);
  spawn(state_.revoke(held_->lease));
  step_down();
}

net::Task<void> Election::follow() {
  Result<wire::KeyValue> current =
      co_await state_.get(kLeaderKey, loop_.now() + net::seconds(limits::kStateTimeout));
  if (current.outcome == Outcome::missing) {
    listener_.on_leader(std::nullopt);
    co_await stand(Revision(0));
    co_return;
  }
  if (!current) {
    co_await loop_.sleep(net::seconds(limits::kElectionRetry));
    co_return;
  }
  const auto host = current.value.value.value("host", std::string());
  if (host == host_) {
    // The key is from before a restart of this process, or from a transaction whose answer got lost. Nobody
    // else acts under it, so there is no lease to wait for.
    co_await stand(current.value.version);
    co_return;
  }
  listener_.on_leader(host);
  Revision seen = current.value.version;
  for (;;) {
    Result<wire::KeyEvents> events = co_await state_.watch(kLeaderKey, seen, limits::kFollowerWatchHold);
    if (events.outcome == Outcome::ok && events.value.events.empty()) {
      seen = events.value.revision;
      continue;
    }
    if (!events) co_await loop_.sleep(net::seconds(limits::kElectionRetry));
    co_return;  // changed or unclear: read the key again
  }
}

net::Task<void> Election::stand(Revision version) {
  if (loop_.now() < rests_until_) {
    // Handed on: another is to have it, also while our own key is not gone yet.
    co_await loop_.sleep(net::seconds(limits::kElectionRetry));
    co_return;
  }
  const auto asked_at = loop_.now();
  Result<LeaseId> lease = co_await state_.grant(limits::kLeaderLeaseMs);
  if (!lease) {
    co_await loop_.sleep(net::seconds(limits::kElectionRetry));
    co_return;
  }
  wire::Transaction claim;
  claim.preconditions.push_back({kLeaderKey, version});
  claim.puts.push_back({kLeaderKey, leader_value(host_, lease.value), lease.value});
  Result<Committed> committed =
      co_await state_.commit(claim, Urgency::high, loop_.now() + net::seconds(limits::kStateTimeout));
  if (committed) {
    take_office({FencingToken(committed.value.revision.value), lease.value}, asked_at);
    co_return;
  }
  if (committed.outcome == Outcome::unknown) {
    // The claim may have been applied. If the key names this very lease, it was.
    Result<wire::KeyValue> current =
        co_await state_.get(kLeaderKey, loop_.now() + net::seconds(limits::kStateTimeout));
    if (current && current.value.value == leader_value(host_, lease.value)) {
      take_office({FencingToken(current.value.version.value), lease.value}, asked_at);
      co_return;
    }
  }
  if (committed.outcome != Outcome::conflict) co_await loop_.sleep(net::seconds(limits::kElectionRetry));
}

void Election::take_office(Leadership leadership, net::TimePoint asked_at) {
  held_ = leadership;
  spdlog::info("event=elected token={}", leadership.token.value);
  listener_.on_elected(leadership, asked_at);
}

net::Task<void> Election::lead() {
  const auto asked_at = loop_.now();
  const Outcome outcome = co_await state_.renew(held_->lease);
  if (!held_) co_return;
  if (outcome == Outcome::ok) {
    listener_.on_renewed(asked_at);
  } else if (outcome == Outcome::missing) {
    spdlog::info("event=lease_ended token={}", held_->token.value);
    step_down();
    co_return;
  }
  // An outage is no reason to step down: every lease has its full time again after it.
  co_await wake_.wait_for(net::seconds(limits::kRenewEvery));
}

}  // namespace dockdyke::store
