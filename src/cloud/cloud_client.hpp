// The client of the cloud API: typed calls that keep to the leader's fraction of the cloud's rate limit.
#pragma once

#include <vector>

#include "net/http_client.hpp"
#include "net/loop.hpp"
#include "net/result.hpp"
#include "net/task.hpp"
#include "store/rate_limiter.hpp"
#include "store/service_call.hpp"
#include "wire/messages.hpp"

namespace dockdyke::cloud {

using Outcome = net::Outcome;

template <class T>
using Result = net::Result<T>;

// Calls end with Outcome::ok, no_capacity, rejected or unknown. Outcome::unknown covers every failure after
// which the caller should retry: an outage, the cloud's rate limit, a missing or malformed response, or no
// token of the rate limiter within kBackgroundCallTimeoutSeconds. The client itself does not retry. It must
// outlive its calls.
class CloudClient {
 public:
  // `requests_per_second` is the cloud's limit for all controllers together; the client uses
  // kCloudRateFraction of it.
  CloudClient(net::Loop& loop, net::Transport& transport, net::Address service, double requests_per_second);

  // Returns the machine types with their current prices.
  net::Task<Result<std::vector<wire::MachineType>>> list_machine_types();

  // Reads all pages of the machine list. The value is empty if any page could not be read.
  net::Task<Result<std::vector<wire::ListedMachine>>> list_machines();

  // Requests up to `request.count` machines and returns their ids, or Outcome::no_capacity if none is
  // available. Idempotent: repeating a request id does not start more machines.
  net::Task<Result<std::vector<MachineId>>> scale_out(wire::ScaleOutRequest request);

  // Deletes machines. Outcome::ok means that the machines and all tasks on them have ended. Unknown ids are
  // ignored.
  net::Task<Outcome> delete_machines(std::vector<MachineId> machines);

 private:
  // Acquires a token of the rate limiter and sends the request. Returns a response without status if no
  // token was available before the deadline.
  net::Task<store::ServiceResponse> call(store::ServiceRequest request, store::RequestPriority priority);

  net::Loop& loop_;
  net::Transport& transport_;
  net::Address service_;
  store::RateLimiter rate_limiter_;
};

}  // namespace dockdyke::cloud
