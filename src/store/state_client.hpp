// Calls to the state service within this controller's share of its limits.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/http_client.hpp"
#include "net/loop.hpp"
#include "net/task.hpp"
#include "store/rate_limiter.hpp"
#include "wire/messages.hpp"

namespace dockdyke::store {

enum class Outcome {
  ok,
  missing,   // no such key or lease
  conflict,  // a guard did not hold; nothing was changed
  expired,   // the revision asked for is too old to watch from
  rejected,  // the service called the request wrong; nothing was changed
  refused,   // not carried out: outage, limit, or no budget left here
  unknown,   // no answer: carried out, or not, or yet to be
};

template <class T>
struct Result {
  Outcome outcome = Outcome::unknown;
  T value{};
  explicit operator bool() const { return outcome == Outcome::ok; }
};

struct Committed {
  Revision revision;
  std::vector<std::string> failed_preconditions;
};

struct Limits {
  double requests_per_second = 100;
  double writes_per_second = 20;
  // The limit that the service has announced and may put in force at any moment; 0: none.
  double writes_per_second_later = 0;
};

class StateClient {
 public:
  StateClient(net::Loop& loop, net::Transport& transport, net::Address service, Limits limits);

  // The shares of the limits this controller may use in its present role.
  void set_shares(double requests, double writes);

  // Keeps to the announced lower limit of writes from now on. Called by the client itself when the service
  // shows that it is in force, and for what another controller has seen. It is never raised again: a try
  // would have the writes of all controllers refused.
  void lower_write_limit();
  bool write_limit_lowered() const { return write_limit_lowered_; }
  double write_limit() const { return limits_.writes_per_second; }
  // Called once, when the service has shown the lower limit to this client.
  void on_write_limit_seen(std::function<void()> listener) { on_write_limit_seen_ = std::move(listener); }

  net::Task<Result<wire::KeyValue>> get(std::string key, net::TimePoint deadline);
  // Reads every key with the prefix, page after page. The revision is that of the first page.
  net::Task<Result<wire::KeyPage>> list(std::string prefix);
  net::Task<Result<Committed>> commit(wire::Transaction transaction, RequestPriority urgency,
                                      net::TimePoint deadline);
  net::Task<Result<wire::KeyEvents>> watch(std::string prefix, Revision after, double wait_s);

  net::Task<Result<LeaseId>> grant(std::uint64_t ttl_ms);
  net::Task<Outcome> renew(LeaseId lease);

  // Ends a lease at once; not repeated, since it also ends by itself.
  net::Task<void> revoke(LeaseId lease);

  // True when calls have been failing for a while and none has succeeded since.
  bool unreachable() const;
  // True while calls stand in line for budget: the stage before should take no more.
  bool saturated() const;
  // Seconds for which writes stand in line.
  double write_backlog_s() const { return writes_.backlog_s(); }

 private:
  struct Reply {
    Outcome outcome = Outcome::unknown;
    bool over_limit = false;  // refused for the rate
    wire::Json body;
  };
  void note_write_refusal();
  net::Task<Reply> call(std::string method, std::string target, std::string body, net::Duration timeout);
  void note(bool answered);
  net::TimePoint in(double seconds) const { return loop_.now() + net::seconds(seconds); }

  net::Loop& loop_;
  net::Transport& transport_;
  net::Address service_;
  Limits limits_;
  RateLimiter requests_;
  RateLimiter writes_;
  std::optional<net::TimePoint> failing_since_;
  double write_share_ = 1;
  bool write_limit_lowered_ = false;
  std::deque<net::TimePoint> write_refusals_;  // for the rate, lately
  std::function<void()> on_write_limit_seen_;
};

}  // namespace dockdyke::store
