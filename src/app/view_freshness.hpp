// How old a leader's view of the state machine may be, and what it may still do with it (PROTOCOL, "Outages
// and cuts").
#pragma once

#include <optional>

#include "core/config.hpp"
#include "net/loop.hpp"

namespace dockdyke::app {

// The view is as old as the older of the last confirmed lease renewal and the last completed watch, each
// counted from when its request was sent.
class ViewFreshness {
 public:
  // `elected_by`: when the request was sent that made this controller the leader.
  ViewFreshness(const net::Loop& loop, const core::ClusterConfig& config, net::TimePoint elected_by);

  void lease_renewed(net::TimePoint sent_at);
  void watch_completed(net::TimePoint sent_at);
  // Whether neither the state service nor any peer responds.
  void set_isolated(bool isolated);

  // Seconds since the last moment of which everything is known.
  double staleness_s() const;
  // Seconds since the last confirmed renewal of the lease, and since the last completed watch, was asked for.
  double lease_age_s() const;
  double watch_age_s() const;
  // Seconds a watch may wait at the state service.
  double watch_timeout_s() const;
  // A leader cut off from the state service must not keep tasks alive for long that others may have cancelled
  // meanwhile.
  bool may_answer_workers() const;
  bool may_start_tasks() const;

 private:
  // The staleness from which on workers are no longer answered.
  double max_staleness_s() const;
  bool isolated_too_long() const;

  const net::Loop& loop_;
  const core::ClusterConfig& config_;
  net::TimePoint renewed_at_;
  net::TimePoint watched_at_;
  std::optional<net::TimePoint> isolated_since_;
};

}  // namespace dockdyke::app
