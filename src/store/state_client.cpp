#include "store/state_client.hpp"

#include <algorithm>
#include <optional>

#include "net/http_status.hpp"

namespace dockdyke::store {

namespace {

namespace http_status = net::http_status;

constexpr double kMillisecondsPerSecond = 1000;

// Maps an HTTP status of the state service to an Outcome.
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

Outcome outcome_of(const ServiceResponse& response) {
  if (!response.call.status) return response.never_sent ? Outcome::refused : Outcome::unknown;
  if (!response.body) return Outcome::unknown;
  return outcome_of_status(*response.call.status);
}

bool is_rate_limited(const ServiceResponse& response) {
  return response.call.status == http_status::kTooManyRequests;
}

template <class T, class Parse>
Result<T> parse_state_response(ServiceResponse response, Parse parse) {
  const Outcome outcome = outcome_of(response);
  return parse_response<T>(outcome, std::move(response), parse);
}

CommitResult parse_commit_result(const wire::Json& body) {
  return CommitResult{wire::parse_revision(body), {}};
}

// Leaves the failed preconditions empty if the body does not list them. Callers read their keys again
// anyway.
Result<CommitResult> conflict_result(ServiceResponse response) {
  Result<CommitResult> result = net::failure<CommitResult>(Outcome::conflict, std::move(response.call));
  try {
    result.value.failed_preconditions = wire::parse_failed_preconditions(*response.body);
  } catch (const wire::ParseError&) {
    result.value.failed_preconditions.clear();
  }
  return result;
}

}  // namespace

StateClient::StateClient(net::Loop& loop, net::Transport& transport, net::Address service, RateLimits limits)
    : loop_(loop),
      transport_(transport),
      service_(service),
      rate_limiters_(loop, limits),
      reachability_(loop, constants::kStateUnreachableAfterSeconds) {}

void StateClient::record_reachability(const ServiceResponse& response) {
  // A 429 fails the call, but shows that the service works.
  const Outcome outcome = response.call.status ? outcome_of_status(*response.call.status) : Outcome::unknown;
  if (is_rate_limited(response) || (outcome != Outcome::refused && outcome != Outcome::unknown)) {
    reachability_.record_success();
  } else {
    reachability_.record_failure();
  }
}

net::Task<ServiceResponse> StateClient::call(ServiceRequest request, net::Duration timeout) {
  ServiceResponse response = co_await call_service(transport_, service_, std::move(request), timeout);
  record_reachability(response);
  co_return response;
}

net::Task<Result<wire::KeyValue>> StateClient::get(std::string key, net::TimePoint deadline) {
  ServiceRequest request{"GET", wire::path::key(key), {}};
  const bool acquired = co_await rate_limiters_.requests().acquire(1, RequestPriority::normal, deadline);
  if (!acquired) co_return not_sent_result<wire::KeyValue>(Outcome::refused, std::move(request));
  const auto timeout = std::min(net::seconds(constants::kStateCallTimeoutSeconds), deadline - loop_.now());
  ServiceResponse response = co_await call(std::move(request), timeout);
  co_return parse_state_response<wire::KeyValue>(std::move(response), wire::parse_key_value);
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
  const bool acquired = co_await rate_limiters_.requests().acquire(1, RequestPriority::high, deadline);
  if (!acquired) co_return not_sent_result<wire::KeyPage>(Outcome::refused, std::move(request));
  ServiceResponse response =
      co_await call(std::move(request), net::seconds(constants::kStateCallTimeoutSeconds));
  co_return parse_state_response<wire::KeyPage>(std::move(response), wire::parse_key_page);
}

net::Task<Result<CommitResult>> StateClient::commit(wire::Transaction transaction, RequestPriority priority,
                                                    net::TimePoint deadline) {
  ServiceRequest request{"POST", std::string(wire::path::kTransaction), {}};
  const auto changes = static_cast<double>(transaction.puts.size() + transaction.deletions.size());
  // A transaction that only compares needs no write token. Otherwise status requests would time out behind a
  // backlog of writes.
  bool acquired = true;
  if (changes > 0) acquired = co_await rate_limiters_.writes().acquire(changes, priority, deadline);
  if (acquired) acquired = co_await rate_limiters_.requests().acquire(1, priority, deadline);
  if (!acquired) co_return not_sent_result<CommitResult>(Outcome::refused, std::move(request));
  request.body = wire::encode(wire::to_json(transaction));
  ServiceResponse response =
      co_await call(std::move(request), net::seconds(constants::kStateCallTimeoutSeconds));
  if (is_rate_limited(response) && changes > 0) rate_limiters_.record_write_refusal();
  if (outcome_of(response) == Outcome::conflict) co_return conflict_result(std::move(response));
  co_return parse_state_response<CommitResult>(std::move(response), parse_commit_result);
}

net::Task<Result<wire::KeyEvents>> StateClient::watch(std::string prefix, Revision after, double timeout_s) {
  const auto timeout_ms = static_cast<std::uint64_t>(timeout_s * kMillisecondsPerSecond);
  ServiceRequest request{"GET", wire::path::watch(prefix, after, timeout_ms), {}};
  const auto deadline = loop_.now() + net::seconds(constants::kRateLimitWaitTimeoutSeconds);
  const bool acquired = co_await rate_limiters_.requests().acquire(1, RequestPriority::high, deadline);
  if (!acquired) co_return not_sent_result<wire::KeyEvents>(Outcome::refused, std::move(request));
  // The service may delay the response by `timeout_s`, in addition to the usual duration of a call.
  ServiceResponse response =
      co_await call(std::move(request), net::seconds(timeout_s + constants::kStateCallTimeoutSeconds));
  co_return parse_state_response<wire::KeyEvents>(std::move(response), wire::parse_key_events);
}

net::Task<Result<LeaseId>> StateClient::grant_lease(std::uint64_t ttl_ms) {
  rate_limiters_.requests().acquire_immediately(1);
  ServiceRequest request{"POST", std::string(wire::path::kLeases), wire::encode(wire::lease_request(ttl_ms))};
  ServiceResponse response =
      co_await call(std::move(request), net::seconds(constants::kStateCallTimeoutSeconds));
  co_return parse_state_response<LeaseId>(std::move(response), wire::parse_lease_id);
}

net::Task<Outcome> StateClient::renew_lease(LeaseId lease) {
  rate_limiters_.requests().acquire_immediately(1);
  ServiceRequest request{"POST", wire::path::lease_renewal(lease), {}};
  ServiceResponse response =
      co_await call(std::move(request), net::seconds(constants::kLeaseRenewalTimeoutSeconds));
  co_return outcome_of(response);
}

net::Task<void> StateClient::revoke_lease(LeaseId lease) {
  rate_limiters_.requests().acquire_immediately(1);
  ServiceRequest request{"DELETE", wire::path::lease(lease), {}};
  co_await call(std::move(request), net::seconds(constants::kLeaseRenewalTimeoutSeconds));
}

}  // namespace dockdyke::store
