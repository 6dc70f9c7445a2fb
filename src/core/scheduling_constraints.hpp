// Hard constraints: which machines may take work, and where a job's tasks may run.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "core/cluster_state.hpp"
#include "core/job.hpp"
#include "core/machine.hpp"
#include "core/time.hpp"
#include "wire/messages.hpp"

namespace dockdyke::core {

// How many further tasks of a job may start in each zone. Nothing: any number in any zone.
using ZoneCapacity = std::optional<std::map<std::string, std::size_t>>;

// A read-only view of the cluster's state.
class SchedulingConstraints {
 public:
  explicit SchedulingConstraints(const ClusterState& state) : state_(state) {}

  // No heartbeat has come for so long that the worker may be unreachable.
  bool silent(const Machine& machine, Time now) const;
  // The machine is booting for so long that it may not come up at all.
  bool boots_late(const Machine& machine, Time now) const;
  // The machine is up, known to obey this leader, and not to be emptied or set aside.
  bool accepts_work(const Machine& machine, Time now) const;
  // What no assignment uses. Nothing fits where the machine's type is unknown.
  wire::Resources free_capacity(const Machine& machine) const;
  // Whether the job allows this type, zone and kind, and a task of it fits on an empty machine of the type.
  bool allowed_on(const Job& job, std::size_t type, const std::string& zone, bool spot) const;
  bool allowed_on(const Job& job, const Machine& machine) const {
    return allowed_on(job, machine.type_number, machine.zone, machine.spot);
  }
  // By `same_zone` and `spread` of the job, given where its other tasks are now.
  ZoneCapacity zone_capacity(const Job& job) const;
  // How many further tasks of the job its team's quota allows now.
  std::size_t quota_headroom(const Job& job) const;
  // Seconds within which every machine has sent a heartbeat.
  double heartbeat_round_s() const;

 private:
  const ClusterState& state_;
};

// Whether a further task may start in the zone.
bool has_zone_capacity(const ZoneCapacity& zones, const std::string& zone);

}  // namespace dockdyke::core
