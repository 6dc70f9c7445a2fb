// Tracks the staleness of a leader's local view and decides whether it may respond to workers and start
// tasks.
#pragma once

#include <optional>

#include "core/config.hpp"
#include "net/loop.hpp"

namespace dockdyke::app {

// The staleness is the longer of the times since the last confirmed lease renewal and the last completed
// watch were requested.
class ViewFreshness {
 public:
  // `requested_at` is when the leader's lease was requested.
  ViewFreshness(const net::Loop& loop, const core::ClusterConfig& config, net::TimePoint requested_at);

  // Records that a call sent at `requested_at` renewed the lease.
  void lease_renewed(net::TimePoint requested_at);
  // Records that a watch sent at `requested_at` has completed.
  void watch_completed(net::TimePoint requested_at);
  // Sets whether neither the state service nor any peer responds.
  void set_isolated(bool isolated);

  // Returns the time since the last moment up to which the local view is known to be complete.
  double staleness_s() const;
  // Returns the time since the last confirmed lease renewal, or the last completed watch, was requested.
  double lease_age_s() const;
  double watch_age_s() const;
  // Returns how long the state service may hold a watch request without a change.
  double watch_timeout_s() const;
  // Returns whether heartbeats may be accepted. A leader that is partitioned from the state service must stop
  // renewing workers' leases in time, since other controllers may have cancelled their tasks.
  bool may_respond_to_workers() const;
  // Returns whether heartbeat responses may contain start commands.
  bool may_start_tasks() const;

 private:
  // Returns the staleness at which heartbeats are refused.
  double max_staleness_s() const;
  bool isolated_too_long() const;

  const net::Loop& loop_;
  const core::ClusterConfig& config_;
  net::TimePoint lease_requested_at_;
  net::TimePoint watch_requested_at_;
  std::optional<net::TimePoint> isolated_at_;
};

}  // namespace dockdyke::app
