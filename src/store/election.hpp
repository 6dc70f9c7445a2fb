// One leader at a time: a key in the state service under a lease. The key's version is the leader's token.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "net/loop.hpp"
#include "net/task.hpp"
#include "store/state_client.hpp"

namespace dockdyke::store {

inline constexpr const char* kLeaderKey = "leader";

struct Leadership {
  FencingToken token;
  LeaseId lease;
};

class Election {
 public:
  struct Listener {
    // Another controller leads, or nobody does.
    std::function<void(std::optional<std::string> host)> on_leader;
    // This controller leads from now on. The lease was asked for at the given moment.
    std::function<void(Leadership, net::TimePoint asked_at)> on_elected;
    // The lease was renewed by a call sent at the given moment.
    std::function<void(net::TimePoint)> on_renewed;
    // This controller no longer leads.
    std::function<void()> on_lost;
  };

  Election(net::Loop& loop, StateClient& state, std::string host, Listener listener);

  net::Task<void> run();
  // Called when something else showed that the token has been overtaken.
  void step_down();
  // Gives the lead up for another controller to take, and leaves it alone for a while.
  void resign();
  bool leading() const { return held_responses_.has_value(); }

 private:
  net::Task<void> follow_leader();
  net::Task<void> renew_leadership();
  // Replaces the key at `version` (0: no key) by ours.
  net::Task<void> campaign(Revision version);
  void become_leader(Leadership leadership, net::TimePoint asked_at);

  net::Loop& loop_;
  StateClient& state_;
  std::string host_;
  Listener listener_;
  std::optional<Leadership> held_responses_;
  net::WakeUp wake_;
  net::TimePoint abstain_until_;  // after handing on
};

}  // namespace dockdyke::store
