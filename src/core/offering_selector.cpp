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
  std::optional<OfferingCandidate> best;
  for (std::size_t number = 0; number < state_.types().size(); ++number) {
    if (!request.job.compatible_with(number) || request.avoided_types.contains(number)) continue;
    for (const auto& zone : state_.types()[number].zones) {
      if (!has_zone_capacity(request.zones, zone)) continue;
      for (const bool spot : {true, false}) {
        auto candidate = make_candidate(request, number, zone, spot, now);
        if (candidate && (!best || candidate->sort_key() < best->sort_key())) best = std::move(candidate);
      }
    }
  }
  return best ? std::optional(std::move(best->offering)) : std::nullopt;
}

std::optional<OfferingSelector::OfferingCandidate> OfferingSelector::make_candidate(
    const OfferingRequest& request, std::size_t type_number, const std::string& zone, bool spot,
    Time now) const {
  if (!spot && !request.allow_on_demand) return std::nullopt;
  if (!constraints_.allowed_on(request.job, type_number, zone, spot)) return std::nullopt;
  const auto& type = state_.types()[type_number];
  OfferingCandidate candidate;
  candidate.offering = {type.name, zone, spot};
  if (scale_out_.in_backoff(candidate.offering, now)) return std::nullopt;
  const auto fit = empty_machine_capacity(type).tasks_fitting(request.job.spec.task_resources);
  const double machines = std::ceil(static_cast<double>(request.tasks) / static_cast<double>(fit));
  candidate.price = (spot ? type.spot_price : type.price) * machines;
  const auto in_zone = request.machines_by_zone.find(zone);
  if (in_zone != request.machines_by_zone.end()) candidate.machines_in_zone = in_zone->second;
  return candidate;
}

bool OfferingSelector::needs_on_demand(const QueuedJob& queued, Time now) const {
  const Job& job = *queued.job;
  if (!job.spec.spot_allowed) return true;
  // Limits the wait for a spot machine when the objective is far away.
  if (now - job.queued_at >= constants::kSpotWaitTimeoutSeconds) return true;
  const double slack_s = queued.slo_deadline - now - job.expected_run_s - shortest_boot_s(state_, job);
  return queued.slo_achievable && slack_s < constants::kOnDemandSlackSeconds;
}

}  // namespace dockdyke::core
