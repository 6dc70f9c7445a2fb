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
  std::optional<RankedOffering> best;
  for (std::size_t number = 0; number < state_.types().size(); ++number) {
    if (!request.job.compatible_with(number) || request.avoided_types.contains(number)) continue;
    for (const auto& zone : state_.types()[number].zones) {
      if (!has_zone_capacity(request.zones, zone)) continue;
      for (const bool spot : {true, false}) {
        auto ranked = rank(request, number, zone, spot, now);
        if (ranked && (!best || ranked->rank() < best->rank())) best = std::move(ranked);
      }
    }
  }
  return best ? std::optional(std::move(best->offering)) : std::nullopt;
}

std::optional<OfferingSelector::RankedOffering> OfferingSelector::rank(const OfferingRequest& request,
                                                                       std::size_t type_number,
                                                                       const std::string& zone, bool spot,
                                                                       Time now) const {
  if (!spot && !request.allow_on_demand) return std::nullopt;
  if (!constraints_.allowed_on(request.job, type_number, zone, spot)) return std::nullopt;
  const auto& type = state_.types()[type_number];
  RankedOffering out;
  out.offering = {type.name, zone, spot};
  if (scale_out_.in_backoff(out.offering, now)) return std::nullopt;
  const auto fit = tasks_fitting(request.job.spec.task_resources, type.size);
  const double machines = std::ceil(static_cast<double>(request.tasks) / static_cast<double>(fit));
  out.price = (spot ? type.spot_price : type.price) * machines;
  const auto in_zone = request.machines_by_zone.find(zone);
  if (in_zone != request.machines_by_zone.end()) out.machines_in_zone = in_zone->second;
  return out;
}

bool OfferingSelector::needs_on_demand(const QueuedJob& queued, Time now) const {
  const Job& job = *queued.job;
  if (!job.spec.spot_allowed) return true;
  // However far away its objective is, no job waits for ever for a cheaper machine.
  if (now - job.queued_since >= constants::kSpotWaitTimeout) return true;
  const double slack_s = queued.slo_deadline - now - job.expected_run_s - shortest_boot_s(state_, job);
  return queued.slo_achievable && slack_s < constants::kOnDemandSlack;
}

}  // namespace dockdyke::core
