#include "app/rate_share_manager.hpp"

#include <spdlog/spdlog.h>

#include "constants.hpp"

namespace dockdyke::app {

RateShareManager::RateShareManager(store::StateClient& state, const LeadershipState& leadership,
                                   const PeerNotifier& peer_notifier, std::size_t peer_count)
    : state_(state), leadership_(leadership), peer_notifier_(peer_notifier), peer_count_(peer_count) {
  state_.on_lower_write_limit_detected([this] { on_write_limit_lowered(); });
}

void RateShareManager::apply_shares() {
  if (peer_count_ == 0) {
    state_.set_rate_fractions(1, 1);
  } else if (leadership_.leading()) {
    state_.set_rate_fractions(constants::kLeaderRateFraction, constants::kLeaderRateFraction);
  } else {
    const auto followers = static_cast<double>(peer_count_);
    state_.set_rate_fractions(constants::kFollowerRequestRateFraction / followers,
                              constants::kFollowerWriteRateFraction / followers);
  }
}

void RateShareManager::update_term_write_rate() {
  if (leadership_.leading() && state_.write_limit_lowered())
    leadership_.term()->push(core::WriteRateLowered{state_.write_limit()});
}

void RateShareManager::lower_write_limit() {
  state_.lower_write_limit();
  update_term_write_rate();
}

void RateShareManager::on_write_limit_lowered() {
  spdlog::info("event=write_limit_lowered writes_per_second={}", state_.write_limit());
  update_term_write_rate();
  peer_notifier_.notify_write_limit_lowered();
}

}  // namespace dockdyke::app
