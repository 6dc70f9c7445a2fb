#include "store/state_client.hpp"

#include <algorithm>
#include <optional>

#include "net/http_status.hpp"

namespace dockdyke::store {

namespace {

namespace http_status = net::http_status;

constexpr double kMillisecondsPerSecond = 1000;

// PROTOCOL, "Controller nodes -> state service", with the statuses of "Limits and errors".
Outcome outcome_of_status(int status) {
  switch (status) {
    case http_status::kOk:
      return Outcome::ok;
    case http_status::kNotFound:
      return Outcome::missing;
    case http_status::kConflict:
      return Outcome::conflict;
    case http_status::kGone:
      return Outcome::expired;
    case http_status::kBadRequest:
      return Outcome::rejected;
    case http_status::kTooManyRequests:
    case http_status::kServiceUnavailable:
      return Outcome::refused;
    default:
      return Outcome::unknown;
  }
}

Outcome outcome_of(const ServiceReply& reply) {
  if (!reply.call.status) return reply.never_sent ? Outcome::refused : Outcome::unknown;
  if (!reply.body) return Outcome::unknown;
  return outcome_of_status(*reply.call.status);
}

bool over_rate_limit(const ServiceReply& reply) {
  return reply.call.status == http_status::kTooManyRequests;
}

template <class T, class Parse>
Result<T> parse_reply_of_state_service(ServiceReply reply, Parse parse) {
  const Outcome outcome = outcome_of(reply);
  return parse_reply<T>(outcome, std::move(reply), parse);
}

Committed parse_committed(const wire::Json& body) {
  return Committed{wire::parse_revision(body), {}};
}

// A body that does not name the failed preconditions is no reason to fail: the caller reads its keys again in
// any case.
Result<Committed> conflict(ServiceReply reply) {
  Result<Committed> result = net::failure<Committed>(Outcome::conflict, std::move(reply.call));
  try {
    result.value.failed_preconditions = wire::parse_failed_preconditions(*reply.body);
  } catch (const wire::ParseError&) {
    result.value.failed_preconditions.clear();
  }
  return result;
}

}  // namespace

StateClient::StateClient(net::Loop& loop, net::Transport& transport, net::Address service, Limits limits)
    : loop_(loop),
      transport_(transport),
      service_(service),
      limits_(loop, limits),
      reachability_(loop, constants::kStateUnreachableAfterSeconds) {}

void StateClient::record_answer(const ServiceReply& reply) {
  // A refusal for the rate does not help the caller, but only a service that works gives it.
  const Outcome outcome = reply.call.status ? outcome_of_status(*reply.call.status) : Outcome::unknown;
  if (over_rate_limit(reply) || (outcome != Outcome::refused && outcome != Outcome::unknown)) {
    reachability_.record_answer();
  } else {
    reachability_.record_failure();
  }
}

net::Task<ServiceReply> StateClient::call(ServiceRequest request, net::Duration timeout) {
  ServiceReply reply = co_await call_service(transport_, service_, std::move(request), timeout);
  record_answer(reply);
  co_return reply;
}

net::Task<Result<wire::KeyValue>> StateClient::get(std::string key, net::TimePoint deadline) {
  ServiceRequest request{"GET", wire::path::key(key), {}};
  const bool acquired = co_await limits_.requests().acquire(1, RequestPriority::normal, deadline);
  if (!acquired) co_return not_sent<wire::KeyValue>(Outcome::refused, std::move(request));
  const auto timeout = std::min(net::seconds(constants::kStateCallTimeoutSeconds), deadline - loop_.now());
  ServiceReply reply = co_await call(std::move(request), timeout);
  co_return parse_reply_of_state_service<wire::KeyValue>(std::move(reply), wire::parse_key_value);
}

net::Task<Result<wire::KeyPage>> StateClient::list(std::string prefix) {
  Result<wire::KeyPage> all{Outcome::ok, {}, std::nullopt};
  std::string after;
  bool more = true;
  while (more) {
    Result<wire::KeyPage> page = co_await list_page(prefix, after);
    if (!page) co_return page;
    if (after.empty()) all.value.revision = page.value.revision;
    more = page.value.more && !page.value.items.empty();
    for (auto& item : page.value.items) all.value.items.push_back(std::move(item));
    if (more) after = all.value.items.back().key;
  }
  co_return all;
}

net::Task<Result<wire::KeyPage>> StateClient::list_page(std::string prefix, std::string after) {
  ServiceRequest request{"GET", wire::path::key_page(prefix, after, constants::kListPageSize), {}};
  const auto deadline = loop_.now() + net::seconds(constants::kBackgroundCallTimeoutSeconds);
  const bool acquired = co_await limits_.requests().acquire(1, RequestPriority::high, deadline);
  if (!acquired) co_return not_sent<wire::KeyPage>(Outcome::refused, std::move(request));
  ServiceReply reply = co_await call(std::move(request), net::seconds(constants::kStateCallTimeoutSeconds));
  co_return parse_reply_of_state_service<wire::KeyPage>(std::move(reply), wire::parse_key_page);
}

net::Task<Result<Committed>> StateClient::commit(wire::Transaction transaction, RequestPriority priority,
                                                 net::TimePoint deadline) {
  ServiceRequest request{"POST", std::string(wire::path::kTransaction), {}};
  const auto changes = static_cast<double>(transaction.puts.size() + transaction.deletions.size());
  // A transaction that only compares writes nothing, so it needs no write token: when it queued with the
  // writes, polls went unanswered for as long as there was more to write than the service takes.
  bool acquired = true;
  if (changes > 0) acquired = co_await limits_.writes().acquire(changes, priority, deadline);
  if (acquired) acquired = co_await limits_.requests().acquire(1, priority, deadline);
  if (!acquired) co_return not_sent<Committed>(Outcome::refused, std::move(request));
  request.body = wire::encode(wire::to_json(transaction));
  ServiceReply reply = co_await call(std::move(request), net::seconds(constants::kStateCallTimeoutSeconds));
  if (over_rate_limit(reply) && changes > 0) limits_.record_write_refusal();
  if (outcome_of(reply) == Outcome::conflict) co_return conflict(std::move(reply));
  co_return parse_reply_of_state_service<Committed>(std::move(reply), parse_committed);
}

net::Task<Result<wire::KeyEvents>> StateClient::watch(std::string prefix, Revision after, double timeout_s) {
  const auto timeout_ms = static_cast<std::uint64_t>(timeout_s * kMillisecondsPerSecond);
  ServiceRequest request{"GET", wire::path::watch(prefix, after, timeout_ms), {}};
  const auto deadline = loop_.now() + net::seconds(constants::kRateLimitWaitTimeoutSeconds);
  const bool acquired = co_await limits_.requests().acquire(1, RequestPriority::high, deadline);
  if (!acquired) co_return not_sent<wire::KeyEvents>(Outcome::refused, std::move(request));
  // The service holds the response back for `timeout_s`; the usual time for a call comes on top.
  ServiceReply reply =
      co_await call(std::move(request), net::seconds(timeout_s + constants::kStateCallTimeoutSeconds));
  co_return parse_reply_of_state_service<wire::KeyEvents>(std::move(reply), wire::parse_key_events);
}

net::Task<Result<LeaseId>> StateClient::grant(std::uint64_t ttl_ms) {
  limits_.requests().acquire_immediately(1);
  ServiceRequest request{"POST", std::string(wire::path::kLeases), wire::encode(wire::lease_request(ttl_ms))};
  ServiceReply reply = co_await call(std::move(request), net::seconds(constants::kStateCallTimeoutSeconds));
  co_return parse_reply_of_state_service<LeaseId>(std::move(reply), wire::parse_lease_id);
}

net::Task<Outcome> StateClient::renew(LeaseId lease) {
  limits_.requests().acquire_immediately(1);
  ServiceRequest request{"POST", wire::path::lease_renewal(lease), {}};
  ServiceReply reply =
      co_await call(std::move(request), net::seconds(constants::kLeaseRenewalTimeoutSeconds));
  co_return outcome_of(reply);
}

net::Task<void> StateClient::revoke(LeaseId lease) {
  limits_.requests().acquire_immediately(1);
  ServiceRequest request{"DELETE", wire::path::lease(lease), {}};
  co_await call(std::move(request), net::seconds(constants::kLeaseRenewalTimeoutSeconds));
}

}  // namespace dockdyke::store
