#include "core/checkpoint_timing.hpp"

#include "constants.hpp"

namespace dockdyke::core {

double checkpoint_lead_time_s(const ClusterConfig& config, const wire::JobSpec& spec) {
  constexpr double kMaxIntervalFactor = 1.25;  // heartbeat intervals vary by plus or minus a quarter
  return spec.checkpoint_duration_s + constants::kTerminationNoticeMarginSeconds +
         kMaxIntervalFactor * config.heartbeat_interval_s;
}

}  // namespace dockdyke::core
