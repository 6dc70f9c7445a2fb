// The client of the state service (PROTOCOL, "Controller nodes -> state service"): typed calls within this
// controller's share of the service's rate limits.
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
#include "store/state_rate_limits.hpp"
#include "wire/messages.hpp"

namespace dockdyke::store {

using Outcome = net::Outcome;

template <class T>
using Result = net::Result<T>;

// What a transaction came to: the revision of its changes (Outcome::ok), or the keys whose preconditions did
// not hold (Outcome::conflict; empty when the service did not name them).
struct Committed {
  Revision revision;
  std::vector<std::string> failed_preconditions;
};

// All calls return Outcome::refused when no token of the rate limiter came in time, and Outcome::unknown when
// no usable answer came, in which case the request may yet be executed. Nothing is repeated here. The client
// must outlive its calls.
class StateClient {
 public:
  StateClient(net::Loop& loop, net::Transport& transport, net::Address service, Limits limits);

  // Sets the shares (0 to 1) of the limits that this controller may use in its present role.
  void set_shares(double requests, double writes) { limits_.set_shares(requests, writes); }

  // Keeps to the announced lower write limit from now on. The client does so by itself when the service shows
  // that it is in force; others call it for what another controller has seen. It is never raised again.
  void lower_write_limit() { limits_.lower_write_limit(); }
  bool write_limit_lowered() const { return limits_.write_limit_lowered(); }
  // Writes per second that all controllers together may make.
  double write_limit() const { return limits_.write_limit(); }
  // `listener` is called once, when the service has shown the lower limit to this client.
  void on_write_limit_seen(std::function<void()> listener) {
    limits_.on_write_limit_seen(std::move(listener));
  }

  // Reads one key; Outcome::missing when it does not exist.
  net::Task<Result<wire::KeyValue>> get(std::string key, net::TimePoint deadline);

  // Reads every key with the prefix, page after page. The revision is that of the first page, so a watch from
  // it misses nothing that a later page showed in part.
  net::Task<Result<wire::KeyPage>> list(std::string prefix);

  // Commits a compare-and-swap transaction. The deadline bounds the wait for the rate limiter; the call
  // itself has kStateCallTimeoutSeconds. Outcome::conflict names the failed preconditions in the value.
  net::Task<Result<Committed>> commit(wire::Transaction transaction, RequestPriority priority,
                                      net::TimePoint deadline);

  // Waits up to `timeout_s` seconds at the service for changes after the revision. Outcome::ok without events
  // when there were none; Outcome::expired when the service no longer keeps the changes since that revision.
  net::Task<Result<wire::KeyEvents>> watch(std::string prefix, Revision after, double timeout_s);

  // Grants a lease with a time to live in milliseconds.
  net::Task<Result<LeaseId>> grant(std::uint64_t ttl_ms);

  // Renews a lease; Outcome::missing when it has expired.
  net::Task<Outcome> renew(LeaseId lease);

  // Ends a lease at once. Not repeated on failure, since the lease also expires by itself.
  net::Task<void> revoke(LeaseId lease);

  // True when calls have been failing for kStateUnreachableAfterSeconds seconds and none has been answered
  // since.
  bool unreachable() const { return reachability_.unreachable(); }

  // True while so many calls queue in the rate limiter that callers should take on no more work.
  bool saturated() const { return limits_.queue_length() >= constants::kRateLimiterQueueLimit; }

  // Seconds until every write that queues now will have been sent.
  double write_backlog_s() const { return limits_.writes().backlog_s(); }

 private:
  // Sends a request for which tokens have been acquired, and records whether the service answered.
  net::Task<ServiceReply> call(ServiceRequest request, net::Duration timeout);
  net::Task<Result<wire::KeyPage>> list_page(std::string prefix, std::string after);
  void record_answer(const ServiceReply& reply);

  net::Loop& loop_;
  net::Transport& transport_;
  net::Address service_;
  StateRateLimits limits_;
  Reachability reachability_;
};

}  // namespace dockdyke::store
