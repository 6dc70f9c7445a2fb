#include "core/placement_cost.hpp"

#include <algorithm>

#include "constants.hpp"

namespace dockdyke::core {

PlacementCost::PlacementCost(const ClusterState& state, const SchedulingConstraints& constraints)
    : state_(state), constraints_(constraints) {}

double PlacementCost::image_fetch_s(const Job& job, const Machine& machine) const {
  return job.spec.image_gb /
         std::max(constants::kMinImageFetchGbPerSecond, state_.type_of(machine)->image_fetch_gb_per_s);
}

std::optional<double> PlacementCost::compute(const Job& job, const Machine& machine,
                                             double largest_cpus) const {
  const auto& spec = job.spec;
  const auto free = constraints_.free_capacity(machine);
  if (!free.fits(spec.task_resources)) return std::nullopt;
  if (!constraints_.allowed_on(job, machine)) return std::nullopt;
  if (job.failed_machines.contains(machine.id)) return std::nullopt;
  double cost = (free.resources.cpus - spec.task_resources.cpus) / largest_cpus *
                constants::kLeftoverCapacityCostSeconds;
  if (machine.assignments.empty()) cost += constants::kEmptyMachineCostSeconds;
  if (!machine.spot && spec.spot_allowed) cost += constants::kOnDemandCostSeconds;
  if (!machine.failed_jobs.empty()) cost += constants::kFailedMachineCostSeconds;
  if (!machine.has_image(spec.image)) {
    const double fetch_s = image_fetch_s(job, machine);
    cost +=
        machine.has_task_with_image(spec.image) ? fetch_s * constants::kSharedImageFetchFraction : fetch_s;
  }
  return cost;
}

}  // namespace dockdyke::core
