#include "app/view_freshness.hpp"

#include <algorithm>
#include <chrono>

#include "constants.hpp"

namespace dockdyke::app {

ViewFreshness::ViewFreshness(const net::Loop& loop, const core::ClusterConfig& config,
                             net::TimePoint elected_by)
    : loop_(loop), config_(config), renewed_at_(elected_by), watched_at_(elected_by) {}

void ViewFreshness::lease_renewed(net::TimePoint sent_at) {
  renewed_at_ = std::max(renewed_at_, sent_at);
}

void ViewFreshness::watch_completed(net::TimePoint sent_at) {
  watched_at_ = sent_at;
}

void ViewFreshness::set_isolated(bool isolated) {
  if (!isolated) {
    isolated_since_.reset();
  } else if (!isolated_since_) {
    isolated_since_ = loop_.now();
  }
}

double ViewFreshness::lease_age_s() const {
  return std::chrono::duration<double>(loop_.now() - renewed_at_).count();
}

double ViewFreshness::watch_age_s() const {
  return std::chrono::duration<double>(loop_.now() - watched_at_).count();
}

double ViewFreshness::staleness_s() const {
  return std::max(lease_age_s(), watch_age_s());
}

double ViewFreshness::max_staleness_s() const {
  const double spare_s = std::max(0.0, config_.cancellation_timeout_s - config_.worker_lease_s);
  return spare_s -
         std::min(constants::kMaxCancellationMarginSeconds, constants::kCancellationMarginFraction * spare_s);
}

double ViewFreshness::watch_timeout_s() const {
  return std::min(constants::kLeaderWatchTimeoutSeconds,
                  max_staleness_s() / constants::kMinWatchesPerMaxStaleness);
}

bool ViewFreshness::isolated_too_long() const {
  if (!isolated_since_) return false;
  const double service_s = std::min(constants::kMaxIsolatedServiceTimeSeconds,
                                    constants::kIsolatedServiceTimeFraction * max_staleness_s());
  return loop_.now() - *isolated_since_ >= net::seconds(service_s);
}

bool ViewFreshness::may_answer_workers() const {
  return !isolated_too_long() && staleness_s() < max_staleness_s();
}

bool ViewFreshness::may_start_tasks() const {
  return staleness_s() < constants::kMaxStartStalenessFactor * watch_timeout_s();
}

}  // namespace dockdyke::app
