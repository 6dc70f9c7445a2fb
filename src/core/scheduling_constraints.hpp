// Hard constraints on placement: which machines accept work, and where a job's tasks may run.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "core/cluster_state.hpp"
#include "core/job.hpp"
#include "core/machine.hpp"
#include "core/task_fit.hpp"
#include "core/time.hpp"
#include "core/zone_constraints.hpp"
#include "wire/messages.hpp"

namespace dockdyke::core {

// Why a machine gets no start commands.
enum class StartObstacle {
  none,
  token_not_acknowledged,  // passes once the worker's heartbeats echo the token
  draining,
  terminating,
  deletion_requested,
  unresponsive,
  responses_lost,
};

// Returns the value's name for the log.
std::string_view to_string(StartObstacle obstacle);

// Returns whether the machine may get no start commands for so long that its undispatched tasks must go to
// other machines.
bool is_lasting(StartObstacle obstacle);

// Evaluates the constraints on a read-only cluster state.
class SchedulingConstraints {
 public:
  explicit SchedulingConstraints(const ClusterState& state) : state_(state) {}

  // Returns whether the time since the machine's last heartbeat exceeds the threshold.
  bool unresponsive(const Machine& machine, Time now) const;
  // Returns whether the machine has been booting for so long that it may never come up.
  bool boot_overdue(const Machine& machine, Time now) const;
  // Returns whether tasks may be assigned to the machine: it is up, gets start commands, and is not excluded
  // after faults.
  bool accepts_work(const Machine& machine, Time now) const;
  // Returns why the machine gets no start commands, for the tasks that it already holds.
  StartObstacle start_obstacle(const Machine& machine, Time now) const;
  // Returns the machine's capacity without that of its assignments; zero if its type is unknown. Exited tasks
  // that its worker still lists take no resources.
  FreeCapacity free_capacity(const Machine& machine) const;
  // Returns whether the job allows the type, the zone and the kind (spot or on-demand), and one of its tasks
  // fits on an empty machine of the type.
  bool allowed_on(const Job& job, std::size_t type, const std::string& zone, bool spot) const;
  bool allowed_on(const Job& job, const Machine& machine) const {
    return allowed_on(job, machine.type_number, machine.zone, machine.spot);
  }
  // Applies the job's `same_zone` and `spread` constraints to the zones of its assigned tasks.
  ZoneCapacity zone_capacity(const Job& job) const { return core::zone_capacity(job, state_.zones()); }
  // Returns how many further tasks of the job its team's quota allows now.
  std::size_t quota_headroom(const Job& job) const;
  // Returns the time (s) within which every responsive machine sends a heartbeat.
  double heartbeat_round_s() const;

 private:
  const ClusterState& state_;
};

}  // namespace dockdyke::core
