#include "core/scarce_types.hpp"

#include <algorithm>
#include <map>
#include <string>

#include "constants.hpp"

namespace dockdyke::core {

ScarceTypes::ScarceTypes(const ClusterState& state, JobQueue& queue, const OfferingSelector& selector)
    : state_(state), queue_(queue), selector_(selector) {}

void ScarceTypes::update(Time now) {
  const std::set<std::size_t> no_avoided_types;
  const ZoneCapacity unrestricted_zones;
  const std::map<std::string, std::size_t> no_machines_by_zone;
  scarce_.clear();
  for (const auto& queued : queue_.ordered(now)) {
    const Job& job = *queued.job;
    if (now < job.backoff_ends_at || now - job.queued_at < constants::kScaleOutDelaySeconds) continue;
    const auto& types = job.compatible_types;
    if (std::count(types.begin(), types.end(), true) != 1) continue;
    const auto type = static_cast<std::size_t>(std::find(types.begin(), types.end(), true) - types.begin());
    if (scarce_.contains(type)) continue;
    // The type is not scarce while more machines of it can be requested.
    const OfferingRequest request{job,
                                  1,
                                  selector_.needs_on_demand(queued, now),
                                  no_avoided_types,
                                  unrestricted_zones,
                                  no_machines_by_zone};
    if (!selector_.select(request, now)) scarce_.insert(type);
  }
}

std::set<std::size_t> ScarceTypes::types_to_avoid(const QueuedJob& queued, Time now) const {
  if (scarce_.empty()) return {};
  const Job& job = *queued.job;
  std::set<std::size_t> avoided;
  double boot_s = 0;  // the shortest boot time of the types that are not scarce
  const auto& types = state_.types();
  for (std::size_t i = 0; i < types.size(); ++i) {
    if (!job.compatible_with(i)) continue;
    if (scarce_.contains(i)) {
      avoided.insert(i);
    } else {
      boot_s = boot_s == 0 ? types[i].boot_s : std::min(boot_s, types[i].boot_s);
    }
  }
  const double slack_s = queued.slo_deadline - now - job.expected_run_s;
  if (boot_s == 0 || !queued.slo_achievable || slack_s < boot_s) return {};
  return avoided;
}

}  // namespace dockdyke::core
