// The constraints `same_zone` and `spread` on the zones of a job's tasks.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "core/job.hpp"
#include "wire/messages.hpp"

namespace dockdyke::core {

// Number of further tasks of a job that may start in each zone, or std::nullopt for no limit in any zone.
using ZoneCapacity = std::optional<std::map<std::string, std::size_t>>;

// Returns how many tasks of a spread job may be in one zone: half of them, rounded up.
std::size_t max_tasks_per_zone(const wire::JobSpec& spec);
// Applies the job's constraints to the zones of its assigned tasks. These may include tasks that have ended,
// so the result may be too low, but never too high.
ZoneCapacity zone_capacity(const Job& job, const std::set<std::string>& zones);
// Returns whether a further task may start in the zone.
bool has_zone_capacity(const ZoneCapacity& zones, const std::string& zone);
// Sets the capacity of all other zones to 0.
void restrict_to_zone(ZoneCapacity& zones, const std::string& zone);
// Returns whether the zones of the job's assigned tasks satisfy its constraints.
bool satisfies_zone_constraints(const Job& job);
// Returns a key that is equal for two zones if tasks of the same gang may run in both.
std::string gang_zone_group(const wire::JobSpec& spec, const std::string& zone);

}  // namespace dockdyke::core
