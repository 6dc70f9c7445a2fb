// The client of the cloud (PROTOCOL, "Controller nodes -> cloud"): typed calls within the leader's share of
// the cloud's rate limit.
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

// Of the outcomes, the cloud's are ok, no_capacity, rejected and unknown. Unknown stands for everything after
// which the call is to be repeated: an outage, the rate limit, no response, an unreadable one, or no token of
// the rate limiter within kBackgroundCallTimeoutSeconds. Nothing is repeated here. The client must outlive
// its calls.
class CloudClient {
 public:
  // `requests_per_second` is the cloud's limit for all controllers; the client uses kCloudRateFraction of it.
  CloudClient(net::Loop& loop, net::Transport& transport, net::Address service, double requests_per_second);

  // Reads the machine types with their current prices.
  net::Task<Result<std::vector<wire::MachineType>>> machine_types();

  // Reads the whole machine list, page after page; the value is empty unless all pages were read.
  net::Task<Result<std::vector<wire::ListedMachine>>> machines();

  // Rents up to `request.count` machines and returns their names. Outcome::no_capacity when none is
  // available. A repeated request id that was answered rents nothing more.
  net::Task<Result<std::vector<MachineId>>> scale_out(wire::ScaleOutRequest request);

  // Deletes machines. Outcome::ok: they and everything on them are gone. Unknown names are ignored.
  net::Task<Outcome> scale_in(std::vector<MachineId> machines);

 private:
  // Acquires a token of the rate limiter and sends the request. Without a token the reply has no status.
  net::Task<store::ServiceReply> call(store::ServiceRequest request, store::RequestPriority priority);

  net::Loop& loop_;
  net::Transport& transport_;
  net::Address service_;
  store::RateLimiter rate_limiter_;
};

}  // namespace dockdyke::cloud
