#include "core/offering_selector.hpp"

#include <cmath>
#include <utility>

#include "constants.hpp"
#include "core/completion_forecast.hpp"
#include "core/task_fit.hpp"

namespace dockdyke::core {

OfferingSelector::OfferingSelector(const ClusterState& state, const SchedulingConstraints& constraints,
                                   const ScaleOutRequests& scale_out)
    : state_(state), constraints_(constraints), scale_out_(scale_out) {}

std::optional<InstanceOffering> OfferingSelector::select(const OfferingRequest& request, Time now) const {
  using Rank = std::pair<double, std::size_t>;  // price, and machines in the zone
  std::optional<InstanceOffering> best;
  Rank best_rank;
  const Job& job = request.job;
  const auto& types = state_.types();
  for (std::size_t number = 0; number < types.size(); ++number) {
    const auto& type = types[number];
    if (!job.compatible_with(number) || request.avoided_types.contains(number)) continue;
    const auto fit = tasks_fitting(job.spec.task_resources, type.size);
    const double machines = std::ceil(static_cast<double>(request.tasks) / static_cast<double>(fit));
    for (const auto& zone : type.zones) {
      if (!has_zone_capacity(request.zones, zone)) continue;
      const auto in_zone = request.machines_by_zone.find(zone);
      for (const bool spot : {true, false}) {
        if (!constraints_.allowed_on(job, number, zone, spot) || (!spot && !request.allow_on_demand))
          continue;
        InstanceOffering offering{type.name, zone, spot};
        if (scale_out_.in_backoff(offering, now)) continue;
        const double price = (spot ? type.spot_price : type.price) * machines;
        const Rank rank(price, in_zone == request.machines_by_zone.end() ? 0 : in_zone->second);
        if (best && rank >= best_rank) continue;
        best = std::move(offering);
        best_rank = rank;
      }
    }
  }
  return best;
}

bool OfferingSelector::needs_on_demand(const QueuedJob& queued, Time now) const {
  const Job& job = *queued.job;
  if (!job.spec.spot_allowed) return true;
  // However far away its objective is, no job waits for ever for a cheaper machine.
  if (now - job.queued_since >= constants::kSpotWaitTimeout) return true;
  const double slack_s = queued.slo_deadline - now - job.expected_run_s - quickest_boot_s(state_, job);
  return queued.slo_reachable && slack_s < constants::kOnDemandSlack;
}

}  // namespace dockdyke::core
