#include "core/zone_constraints.hpp"

#include <algorithm>
#include <limits>

namespace dockdyke::core {

std::size_t max_tasks_per_zone(const wire::JobSpec& spec) {
  return (std::size_t{spec.task_count} + 1) / 2;
}

namespace {

std::size_t capacity_in(const Job& job, const std::string& zone) {
  const std::size_t in_zone = job.assignments_in_zone(zone);
  // After a failover, assignments may be in several zones, since those of tasks that have ended are adopted
  // too. Then no zone is open until only one is left.
  const bool any_in_other_zone = in_zone < job.assignments.size();
  if (job.spec.same_zone && any_in_other_zone) return 0;
  if (!job.spec.spread) return std::numeric_limits<std::size_t>::max();
  // A task on a machine whose zone is not known yet counts in every zone.
  const std::size_t counted = in_zone + job.assignments_in_zone("");
  const std::size_t limit = max_tasks_per_zone(job.spec);
  return limit > counted ? limit - counted : 0;
}

}  // namespace

ZoneCapacity zone_capacity(const Job& job, const std::set<std::string>& zones) {
  if (!job.spec.same_zone && !job.spec.spread) return std::nullopt;
  std::map<std::string, std::size_t> capacity;
  for (const auto& zone : zones) capacity.emplace(zone, capacity_in(job, zone));
  return capacity;
}

bool has_zone_capacity(const ZoneCapacity& zones, const std::string& zone) {
  if (!zones) return true;
  const auto found = zones->find(zone);
  return found != zones->end() && found->second > 0;
}

void restrict_to_zone(ZoneCapacity& zones, const std::string& zone) {
  for (auto& [name, capacity] : *zones)
    if (name != zone) capacity = 0;
}

bool satisfies_zone_constraints(const Job& job) {
  const auto& zones = job.assignments_by_zone;
  if (job.spec.same_zone && zones.size() > 1) return false;
  const std::size_t limit = max_tasks_per_zone(job.spec);
  return !job.spec.spread ||
         std::all_of(zones.begin(), zones.end(), [&](const auto& each) { return each.second <= limit; });
}

std::string gang_zone_group(const wire::JobSpec& spec, const std::string& zone) {
  return spec.same_zone ? zone : std::string();
}

}  // namespace dockdyke::core
