// Leader election: the leader is the controller that is named by the leader key of the state service, which
// is attached to a lease. The key's version is the leader's fencing token: it grows with every change of
// leader, and workers ignore commands with a lower token.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "net/loop.hpp"
#include "net/task.hpp"
#include "store/leadership_end_reason.hpp"
#include "store/state_client.hpp"

namespace dockdyke::store {

inline constexpr const char* kLeaderKey = "leader";

// The fencing token and the lease of a leader, which stay the same for as long as it leads.
struct Leadership {
  FencingToken token;
  LeaseId lease;
};

// Runs the election for one controller. The coroutine of run() does not end, so the state client, the loop
// and all objects that the listener refers to must outlive it.
class Election {
 public:
  // Callbacks, called from run(), step_down() and resign(). They must not destroy the election.
  struct Listener {
    // The leader key names another controller, or does not exist (std::nullopt).
    std::function<void(std::optional<std::string> host)> on_leader_observed;
    // This controller has been elected; its lease was requested at `requested_at`.
    std::function<void(Leadership, net::TimePoint requested_at)> on_elected;
    // The lease has been renewed by a call sent at `requested_at`.
    std::function<void(net::TimePoint requested_at)> on_renewed;
    // This controller is no longer the leader.
    std::function<void(LeadershipEndReason)> on_leadership_lost;
  };

  // `host` is the name that this controller writes to the leader key.
  Election(net::Loop& loop, StateClient& state, std::string host, Listener listener);

  // Follows the leader, campaigns and renews the leadership, for as long as the program runs. Must be
  // started only once.
  net::Task<void> run();
  // Ends the leadership at once, after the caller has found a newer fencing token. Has no effect on a
  // follower.
  void step_down(LeadershipEndReason reason);
  // Transfers leadership: ends the leadership and its lease, and does not campaign for
  // kCampaignPauseAfterTransferSeconds seconds. Has no effect on a follower.
  void resign(LeadershipEndReason reason);
  bool leading() const { return leadership_.has_value(); }

 private:
  // Reads the leader key, then campaigns or watches the key.
  net::Task<void> follow_leader();
  // Watches the leader key for changes after the revision, until it changes or the watch fails.
  net::Task<void> watch_leader_key(Revision after);
  // Renews the lease once and waits for the next renewal.
  net::Task<void> renew_leadership();
  // Requests a lease and tries to become leader. `version` is that of the existing leader key, or 0 if there
  // is none.
  net::Task<void> campaign(Revision version);
  // Writes the leader key with the lease attached, if the key is still at `version`. Returns the fencing
  // token if this controller is elected.
  net::Task<Result<FencingToken>> acquire_leader_key(Revision version, LeaseId lease);
  void become_leader(Leadership leadership, net::TimePoint requested_at);

  net::TimePoint call_deadline() const;
  net::Loop::Sleep retry_delay() const;

  net::Loop& loop_;
  StateClient& state_;
  std::string host_;
  Listener listener_;
  std::optional<Leadership> leadership_;  // std::nullopt on a follower
  net::WakeUp leadership_ended_;          // interrupts the wait for the next renewal
  net::TimePoint campaign_allowed_at_;    // set by resign()
};

}  // namespace dockdyke::store
