#include "app/view_freshness.hpp"

#include <algorithm>
#include <chrono>

#include "constants.hpp"

namespace dockdyke::app {

ViewFreshness::ViewFreshness(const net::Loop& loop, const core::ClusterConfig& config,
                             net::TimePoint requested_at)
    : loop_(loop), config_(config), lease_requested_at_(requested_at), watch_requested_at_(requested_at) {}

void ViewFreshness::lease_renewed(net::TimePoint requested_at) {
  lease_requested_at_ = std::max(lease_requested_at_, requested_at);
}

void ViewFreshness::watch_completed(net::TimePoint requested_at) {
  watch_requested_at_ = requested_at;
}

void ViewFreshness::set_isolated(bool isolated) {
  if (!isolated) {
    isolated_at_.reset();
  } else if (!isolated_at_) {
    isolated_at_ = loop_.now();
  }
}

double ViewFreshness::lease_age_s() const {
  return std::chrono::duration<double>(loop_.now() - lease_requested_at_).count();
}

double ViewFreshness::watch_age_s() const {
  return std::chrono::duration<double>(loop_.now() - watch_requested_at_).count();
}

double ViewFreshness::staleness_s() const {
  return std::max(lease_age_s(), watch_age_s());
}

double ViewFreshness::max_staleness_s() const {
  const double slack_s = std::max(0.0, config_.cancellation_timeout_s - config_.worker_lease_s);
  return slack_s -
         std::min(constants::kMaxCancellationMarginSeconds, constants::kCancellationMarginFraction * slack_s);
}

double ViewFreshness::watch_timeout_s() const {
  return std::min(constants::kLeaderWatchTimeoutSeconds,
                  max_staleness_s() / constants::kMinWatchesPerMaxStaleness);
}

bool ViewFreshness::isolated_too_long() const {
  if (!isolated_at_) return false;
  const double max_service_s = std::min(constants::kMaxIsolatedServiceTimeSeconds,
                                        constants::kIsolatedServiceTimeFraction * max_staleness_s());
  return loop_.now() - *isolated_at_ >= net::seconds(max_service_s);
}

bool ViewFreshness::may_respond_to_workers() const {
  return !isolated_too_long() && staleness_s() < max_staleness_s();
}

bool ViewFreshness::may_start_tasks() const {
  return staleness_s() < constants::kMaxStartStalenessFactor * watch_timeout_s();
}

}  // namespace dockdyke::app
