// The client of the state service: typed calls that keep to this controller's fraction of the service's rate
// limits.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "constants.hpp"
#include "net/http_client.hpp"
#include "net/loop.hpp"
#include "net/result.hpp"
#include "net/task.hpp"
#include "store/rate_limiter.hpp"
#include "store/reachability.hpp"
#include "store/service_call.hpp"
#include "store/state_rate_limiters.hpp"
#include "wire/messages.hpp"

namespace dockdyke::store {

using Outcome = net::Outcome;

template <class T>
using Result = net::Result<T>;

// The result of a transaction.
struct CommitResult {
  Revision revision;  // of the changes, if the outcome is Outcome::ok
  // Keys whose preconditions failed, if the outcome is Outcome::conflict. Empty if the service did not list
  // them.
  std::vector<std::string> failed_preconditions;
};

// Calls return Outcome::refused if no token of the rate limiter was available in time, and Outcome::unknown
// if there was no valid response. After Outcome::unknown the request may have been executed or may still be
// executed. The client does not retry. It must outlive its calls.
class StateClient {
 public:
  StateClient(net::Loop& loop, net::Transport& transport, net::Address service, RateLimits limits);

  // Sets the fractions (0 to 1) of the limits that this controller may use in its current role.
  void set_rate_fractions(double request_fraction, double write_fraction) {
    rate_limiters_.set_rate_fractions(request_fraction, write_fraction);
  }

  // Applies the announced lower write limit permanently. The client also does so without this call when
  // refused writes show that the limit is in force; call this when another controller has detected it.
  void lower_write_limit() { rate_limiters_.lower_write_limit(); }
  bool write_limit_lowered() const { return rate_limiters_.write_limit_lowered(); }
  // Returns the writes per second that are allowed to all controllers together.
  double write_limit() const { return rate_limiters_.write_limit(); }
  // Sets the listener that is called once, when refused writes of this client show that the lower limit is
  // in force.
  void on_lower_write_limit_detected(std::function<void()> listener) {
    rate_limiters_.on_lower_write_limit_detected(std::move(listener));
  }

  // Reads one key. Returns Outcome::missing if it does not exist.
  net::Task<Result<wire::KeyValue>> get(std::string key, net::TimePoint deadline);

  // Reads all pages of the keys with the prefix. Returns the revision of the first page, so that a watch
  // from it also delivers the changes made while later pages were read.
  net::Task<Result<wire::KeyPage>> list(std::string prefix);

  // Commits a compare-and-swap transaction. `deadline` limits the wait for the rate limiter; the call itself
  // has a timeout of kStateCallTimeoutSeconds. With Outcome::conflict the value lists the failed
  // preconditions.
  net::Task<Result<CommitResult>> commit(wire::Transaction transaction, RequestPriority priority,
                                         net::TimePoint deadline);

  // Waits up to `timeout_s` seconds for changes after the revision. Returns Outcome::ok without events if
  // there were none, and Outcome::expired if the service no longer keeps the changes since that revision.
  net::Task<Result<wire::KeyEvents>> watch(std::string prefix, Revision after, double timeout_s);

  // Requests a new lease with the time to live in milliseconds.
  net::Task<Result<LeaseId>> grant_lease(std::uint64_t ttl_ms);

  // Renews a lease. Returns Outcome::missing if it has expired.
  net::Task<Outcome> renew_lease(LeaseId lease);

  // Ends a lease at once. A failure is ignored, because an unrenewed lease expires.
  net::Task<void> revoke_lease(LeaseId lease);

  // Returns whether calls have failed for more than kStateUnreachableAfterSeconds seconds without a success.
  bool unreachable() const { return reachability_.unreachable(); }

  // Returns whether so many calls are queued in the rate limiters that callers should accept no more work.
  bool saturated() const { return rate_limiters_.queue_length() >= constants::kRateLimiterQueueLimit; }

  // Returns the seconds until all currently queued writes can have been sent.
  double write_backlog_s() const { return rate_limiters_.writes().backlog_s(); }

 private:
  // Sends a request for which tokens have been acquired, and records whether the service is reachable.
  net::Task<ServiceResponse> call(ServiceRequest request, net::Duration timeout);
  net::Task<Result<wire::KeyPage>> list_page(std::string prefix, std::string after);
  void record_reachability(const ServiceResponse& response);

  net::Loop& loop_;
  net::Transport& transport_;
  net::Address service_;
  StateRateLimiters rate_limiters_;
  Reachability reachability_;
};

}  // namespace dockdyke::store
