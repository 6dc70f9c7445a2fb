// Leader election: the leader is the controller named by one key of the state service, which is attached to a
// lease (PROTOCOL, "POST /holds" and "POST /txn"). The key's version is the leader's fencing token: it grows
// with every change of leader, and workers drop commands under a lower one (PROTOCOL, "Tokens").
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "net/loop.hpp"
#include "net/task.hpp"
#include "store/leadership_end.hpp"
#include "store/state_client.hpp"

namespace dockdyke::store {

inline constexpr const char* kLeaderKey = "leader";

// What a leader holds for as long as it leads.
struct Leadership {
  FencingToken token;
  LeaseId lease;
};

// Takes part in the election for one controller. The state client, the loop and all that the listener refers
// to must outlive the coroutine of run(), which does not end.
class Election {
 public:
  // Called from within run() and step_down(); must not destroy the election.
  struct Listener {
    // Another controller leads, or nobody does.
    std::function<void(std::optional<std::string> host)> on_leader;
    // This controller leads from now on. The lease was requested at the given moment.
    std::function<void(Leadership, net::TimePoint requested_at)> on_elected;
    // The lease was renewed by a call sent at the given moment.
    std::function<void(net::TimePoint requested_at)> on_renewed;
    // This controller no longer leads.
    std::function<void(LeadershipEnd)> on_lost;
  };

  // `host` is the name under which this controller stands in the leader key.
  Election(net::Loop& loop, StateClient& state, std::string host, Listener listener);

  // Follows, campaigns and leads in turn, for as long as the program runs. Started once.
  net::Task<void> run();
  // Ends the leadership at once: something else showed that a higher token is in force. Without effect for a
  // follower.
  void step_down(LeadershipEnd reason);
  // Ends the leadership and its lease so that another controller is elected, and does not campaign for
  // kCampaignPauseAfterTransferSeconds seconds. Without effect for a follower.
  void resign(LeadershipEnd reason);
  bool leading() const { return leadership_.has_value(); }

 private:
  net::Task<void> follow_leader();
  // Watches the leader key until it changes or the watch fails.
  net::Task<void> watch_leader_key(Revision seen);
  net::Task<void> renew_leadership();
  // Tries to replace the leader key at `version` (0: no such key) by one that names this controller.
  net::Task<void> campaign(Revision version);
  // Puts the leader key under the lease. Outcome::ok: elected, with the token.
  net::Task<Result<FencingToken>> claim_leader_key(Revision version, LeaseId lease);
  void become_leader(Leadership leadership, net::TimePoint requested_at);

  net::TimePoint call_deadline() const;
  net::Loop::Sleep retry_delay() const;

  net::Loop& loop_;
  StateClient& state_;
  std::string host_;
  Listener listener_;
  std::optional<Leadership> leadership_;  // nothing: a follower
  net::WakeUp leadership_ended_;          // ends the wait for the next renewal
  net::TimePoint abstain_until_;          // no campaign before; set by resign()
};

}  // namespace dockdyke::store
