#include "core/checkpoint_timing.hpp"

#include "constants.hpp"

namespace dockdyke::core {

double last_chance_to_save_s(const ClusterConfig& config, const wire::JobSpec& spec) {
  constexpr double kLongestInterval = 1.25;  // heartbeats come every interval, give or take a quarter
  return spec.checkpoint_duration_s + constants::kTerminationNoticeMarginSeconds +
         kLongestInterval * config.heartbeat_interval_s;
}

}  // namespace dockdyke::core
