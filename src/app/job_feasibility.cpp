#include "app/job_feasibility.hpp"

#include <set>
#include <string>

#include "core/task_fit.hpp"

namespace dockdyke::app {

JobFeasibility::JobFeasibility(const core::ClusterConfig& config, const MachineTypeCatalog& catalog)
    : config_(config), catalog_(catalog) {}

bool JobFeasibility::quota_suffices(const wire::JobSpec& spec) const {
  const core::Team* team = config_.find_team(spec.team);
  if (!team) return false;
  // Tasks of an array may run one at a time; tasks of other job kinds run at the same time.
  const auto required = spec.task_resources * (spec.kind == wire::JobKind::array ? 1.0 : spec.task_count);
  const auto& quota = team->quota;  // 0: unlimited
  if (quota.cpus > 0 && required.cpus > quota.cpus) return false;
  return quota.gpus <= 0 || required.gpus <= quota.gpus;
}

std::size_t JobFeasibility::count_feasible_zones(const wire::JobSpec& spec) const {
  std::set<std::string> zones;
  for (const auto& type : catalog_.types()) {
    if (!core::can_run_on(spec, type)) continue;
    for (const auto& zone : type.zones)
      if (!spec.zone || *spec.zone == zone) zones.insert(zone);
  }
  return zones.size();
}

bool JobFeasibility::can_ever_run(const wire::JobSpec& spec) const {
  if (!quota_suffices(spec)) return false;
  const auto zones = count_feasible_zones(spec);
  // At most half of the tasks of a spread gang, rounded up, may run in the same zone.
  const bool needs_two_zones = spec.kind == wire::JobKind::gang && spec.spread && spec.task_count > 1;
  return needs_two_zones ? zones > 1 && !spec.same_zone : zones > 0;
}

void JobFeasibility::remove_unoffered_types(wire::JobSpec& spec) const {
  if (!spec.machine_types) return;
  std::erase_if(*spec.machine_types, [&](const std::string& name) { return !catalog_.offers(name); });
}

}  // namespace dockdyke::app
