// Calls to the cloud within the leader's share of its limit.
#pragma once

#include <vector>

#include "net/http_client.hpp"
#include "net/loop.hpp"
#include "net/task.hpp"
#include "store/rate_limiter.hpp"
#include "wire/messages.hpp"

namespace dockdyke::cloud {

enum class Outcome {
  ok,
  no_capacity,  // nothing of this type, zone and kind to be had now
  rejected,     // the cloud called the request wrong
  unknown,      // outage, limit or no answer: to be asked again
};

template <class T>
struct Result {
  Outcome outcome = Outcome::unknown;
  T value{};
  explicit operator bool() const { return outcome == Outcome::ok; }
};

class CloudClient {
 public:
  CloudClient(net::Loop& loop, net::Transport& transport, net::Address service, double requests_per_second);

  net::Task<Result<std::vector<wire::MachineType>>> machine_types();
  // The whole list, page after page.
  net::Task<Result<std::vector<wire::ListedMachine>>> machines();
  net::Task<Result<std::vector<MachineId>>> rent(wire::ScaleOutRequest rental);
  net::Task<Outcome> remove(std::vector<MachineId> names);

 private:
  struct Reply {
    int status = 0;
    wire::Json body;
  };
  net::Task<Reply> call(std::string method, std::string target, std::string body,
                        store::RequestPriority urgency);

  net::Loop& loop_;
  net::Transport& transport_;
  net::Address service_;
  store::RateLimiter budget_;
};

}  // namespace dockdyke::cloud
