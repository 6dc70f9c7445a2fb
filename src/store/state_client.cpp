#include "store/state_client.hpp"

#include <utility>

#include "constants.hpp"

namespace dockdyke::store {

namespace {

Outcome outcome_of(int status) {
  switch (status) {
    case 200:
      return Outcome::ok;
    case 404:
      return Outcome::missing;
    case 409:
      return Outcome::conflict;
    case 410:
      return Outcome::expired;
    case 400:
      return Outcome::rejected;
    case 429:
    case 503:
      return Outcome::refused;
    default:
      return Outcome::unknown;
  }
}

// Turns a reply into a value; a body that does not parse leaves the outcome open.
template <class T, class Parse>
Result<T> parsed(Outcome outcome, const wire::Json& body, Parse parse) {
  Result<T> result{outcome, {}};
  if (outcome != Outcome::ok) return result;
  try {
    result.value = parse(body);
  } catch (const wire::Malformed&) {
    result.outcome = Outcome::unknown;
  }
  return result;
}

}  // namespace

StateClient::StateClient(net::Loop& loop, net::Transport& transport, net::Address service, Limits limits)
    : loop_(loop),
      transport_(transport),
      service_(service),
      limits_(limits),
      requests_(loop, limits.requests_per_second),
      writes_(loop, limits.writes_per_second) {}

void StateClient::set_shares(double requests, double writes) {
  requests_.set_rate(limits_.requests_per_second * requests);
  write_share_ = writes;
  writes_.set_rate(limits_.writes_per_second * writes);
}

void StateClient::lower_write_limit() {
  const double later = limits_.writes_per_second_later;
  if (write_limit_lowered_ || later <= 0 || later >= limits_.writes_per_second) return;
  write_limit_lowered_ = true;
  limits_.writes_per_second = later;
  writes_.set_rate(later * write_share_);
}

void StateClient::note_write_refusal() {
  if (write_limit_lowered_) return;
  write_refusals_.push_back(loop_.now());
  while (loop_.now() - write_refusals_.front() > net::seconds(constants::kRateLimitRefusalWindow))
    write_refusals_.pop_front();
  if (write_refusals_.size() < constants::kRateLimitRefusalThreshold) return;
  lower_write_limit();
  if (write_limit_lowered_ && on_write_limit_seen_) on_write_limit_seen_();
}

bool StateClient::saturated() const {
  return requests_.waiting() + writes_.waiting() >= constants::kRateLimiterQueueLimit;
}

void StateClient::note(bool answered) {
  if (answered) {
    failing_since_.reset();
  } else if (!failing_since_) {
    failing_since_ = loop_.now();
  }
}

bool StateClient::unreachable() const {
  return failing_since_ && loop_.now() - *failing_since_ > net::seconds(constants::kStateUnreachableAfter);
}

net::Task<StateClient::Reply> StateClient::call(std::string method, std::string target, std::string body,
                                                net::Duration timeout) {
  net::CallResult result =
      co_await transport_.call(service_, std::move(method), std::move(target), std::move(body), timeout);
  Reply reply;
  if (!result.response) {
    note(false);
    if (result.never_sent) reply.outcome = Outcome::refused;
    co_return reply;
  }
  reply.outcome = outcome_of(result.response->status);
  constexpr int kOverLimit = 429;  // a sign of life, if no help
  reply.over_limit = result.response->status == kOverLimit;
  note(reply.over_limit || (reply.outcome != Outcome::refused && reply.outcome != Outcome::unknown));
  if (!result.response->body.empty()) {
    auto body_value = wire::decode(result.response->body);
    if (body_value) {
      reply.body = *std::move(body_value);
    } else {
      reply.outcome = Outcome::unknown;
    }
  }
  co_return reply;
}

net::Task<Result<wire::KeyValue>> StateClient::get(std::string key, net::TimePoint deadline) {
  const bool granted = co_await requests_.take(1, RequestPriority::normal, deadline);
  if (!granted) co_return Result<wire::KeyValue>{Outcome::refused, {}};
  const auto timeout = std::min(net::seconds(constants::kStateCallTimeout), deadline - loop_.now());
  Reply reply = co_await call("GET", wire::path::key(key), {}, timeout);
  co_return parsed<wire::KeyValue>(reply.outcome, reply.body, wire::parse_key_value);
}

net::Task<Result<wire::KeyPage>> StateClient::list(std::string prefix) {
  Result<wire::KeyPage> all{Outcome::ok, {}};
  std::string after;
  bool more = true;
  while (more) {
    const bool granted =
        co_await requests_.take(1, RequestPriority::high, in(constants::kBackgroundCallTimeout));
    if (!granted) co_return Result<wire::KeyPage>{Outcome::refused, {}};
    Reply reply = co_await call("GET", wire::path::key_page(prefix, after, constants::kListPageSize), {},
                                net::seconds(constants::kStateCallTimeout));
    auto page = parsed<wire::KeyPage>(reply.outcome, reply.body, wire::parse_key_page);
    if (!page) co_return page;
    if (after.empty()) all.value.revision = page.value.revision;
    more = page.value.more && !page.value.items.empty();
    for (auto& item : page.value.items) all.value.items.push_back(std::move(item));
    if (more) after = all.value.items.back().key;
  }
  co_return all;
}

net::Task<Result<Committed>> StateClient::commit(wire::Transaction transaction, RequestPriority urgency,
                                                 net::TimePoint deadline) {
  const auto changes = static_cast<double>(transaction.puts.size() + transaction.deletions.size());
  // One that only compares changes nothing: in line with the writes, questions about jobs went unanswered for
  // as long as there was more to write than the service takes.
  bool granted = true;
  if (changes > 0) granted = co_await writes_.take(changes, urgency, deadline);
  if (granted) granted = co_await requests_.take(1, urgency, deadline);
  if (!granted) co_return Result<Committed>{Outcome::refused, {}};
  const std::string body = wire::encode(wire::to_json(transaction));
  Reply reply = co_await call("POST", std::string(wire::path::kTransaction), body,
                              net::seconds(constants::kStateCallTimeout));
  if (reply.over_limit && changes > 0) note_write_refusal();
  if (reply.outcome == Outcome::conflict) {
    Result<Committed> result{Outcome::conflict, {}};
    try {
      result.value.failed_preconditions = wire::parse_failed_preconditions(reply.body);
    } catch (const wire::Malformed&) {
      result.value.failed_preconditions.clear();  // the caller reads its keys again either way
    }
    co_return result;
  }
  co_return parsed<Committed>(reply.outcome, reply.body, [](const wire::Json& b) {
    return Committed{wire::parse_revision(b), {}};
  });
}

net::Task<Result<wire::KeyEvents>> StateClient::watch(std::string prefix, Revision after, double wait_s) {
  const bool granted =
      co_await requests_.take(1, RequestPriority::high, in(constants::kRateLimitWaitTimeout));
  if (!granted) co_return Result<wire::KeyEvents>{Outcome::refused, {}};
  const auto wait_ms = static_cast<std::uint64_t>(wait_s * 1000);
  Reply reply = co_await call("GET", wire::path::watch(prefix, after, wait_ms), {},
                              net::seconds(wait_s + constants::kStateCallTimeout));
  co_return parsed<wire::KeyEvents>(reply.outcome, reply.body, wire::parse_key_events);
}

net::Task<Result<LeaseId>> StateClient::grant(std::uint64_t ttl_ms) {
  requests_.charge(1);
  const std::string body = wire::encode(wire::lease_request(ttl_ms));
  Reply reply = co_await call("POST", std::string(wire::path::kLeases), body,
                              net::seconds(constants::kStateCallTimeout));
  co_return parsed<LeaseId>(reply.outcome, reply.body, wire::parse_lease);
}

net::Task<Outcome> StateClient::renew(LeaseId lease) {
  requests_.charge(1);
  Reply reply = co_await call("POST", wire::path::lease_renewal(lease), {},
                              net::seconds(constants::kLeaseRenewalTimeout));
  co_return reply.outcome;
}

net::Task<void> StateClient::revoke(LeaseId lease) {
  requests_.charge(1);
  co_await call("DELETE", wire::path::lease(lease), {}, net::seconds(constants::kLeaseRenewalTimeout));
}

}  // namespace dockdyke::store
