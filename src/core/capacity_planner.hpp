// How many machines of which offering the waiting jobs need besides what is free or coming.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/cluster_state.hpp"
#include "core/gang_reservations.hpp"
#include "core/job_queue.hpp"
#include "core/offering.hpp"
#include "core/offering_selector.hpp"
#include "core/scale_out_requests.hpp"
#include "core/scarce_types.hpp"
#include "core/scheduling_constraints.hpp"
#include "core/time.hpp"

namespace dockdyke::core {

class CapacityPlanner {
 public:
  using Need = std::map<InstanceOffering, std::size_t>;  // machines

  CapacityPlanner(const ClusterState& state, const SchedulingConstraints& constraints, JobQueue& queue,
                  const ScaleOutRequests& scale_out, const OfferingSelector& selector,
                  const ScarceTypes& scarce_types, const GangReservations& gang_reservations);

  // For jobs that wait, at most so many machines.
  Need need_of_waiting_jobs(std::size_t max_machines, Time now);
  // For gangs that are expected, at most so many machines.
  Need need_of_expected_gangs(std::size_t max_machines, Time now);
  // Tasks that waited when `need_of_waiting_jobs` last ran.
  std::size_t waiting_tasks() const { return waiting_tasks_; }

 private:
  // Machines that are alike in type, zone, kind and free capacity (rounded down), counted together: a fleet
  // of many hundred machines is worked through in a few dozen steps.
  struct MachineGroup {
    std::size_t type = 0;
    std::string zone;
    bool spot = false;
    wire::Resources free;
    std::size_t machines = 0;
  };
  // What is free or coming, and what has to be requested besides it, while the waiting jobs are gone through
  // in order.
  struct Plan {
    std::vector<MachineGroup> groups;
    std::map<std::string, std::size_t> machines_by_zone;
    Need need;
    std::size_t max_machines = 0;  // that may yet be requested
  };
  // What one waiting job asks of the fleet.
  struct Claim {
    const Job& job;
    std::size_t tasks = 0;  // without capacity
    ZoneCapacity zones;
    std::set<std::size_t> avoided_types;
  };

  // ---- Free capacity ----
  // Types for which work waits so long that its start objective is in danger.
  std::vector<bool> types_under_pressure(Time now);
  // What tasks that end soon will free.
  wire::Resources freeing_capacity(const Machine& machine, bool under_pressure, Time now) const;
  // With `include_freeing`, also what tasks that end soon will free.
  std::vector<MachineGroup> group_machines(bool include_freeing, Time now);
  Plan begin_plan(std::vector<MachineGroup> groups, std::size_t max_machines) const;

  // ---- A job's claim ----
  bool may_use(const Claim& claim, const MachineGroup& group) const;
  // Fills machines of one group with tasks of the job.
  void fill_group(Plan& plan, Claim& claim, std::size_t group) const;
  // Returns whether some group is of an offering that the job allows.
  bool fill_present_machines(Plan& plan, Claim& claim) const;
  // The zone in which a gang that must share one finds capacity or is to get it.
  std::optional<std::string> zone_for_gang(const Plan& plan, const Claim& claim, bool allow_on_demand,
                                           Time now) const;
  void request_rest(Plan& plan, Claim& claim, bool allow_on_demand, Time now) const;
  void serve(Plan& plan, const QueuedJob& queued, Claim& claim, Time now) const;
  std::optional<InstanceOffering> select_offering(const Plan& plan, const Claim& claim, bool allow_on_demand,
                                                  Time now) const;

  const ClusterState& state_;
  const SchedulingConstraints& constraints_;
  JobQueue& queue_;
  const ScaleOutRequests& scale_out_;
  const OfferingSelector& selector_;
  const ScarceTypes& scarce_types_;
  const GangReservations& gang_reservations_;
  std::size_t waiting_tasks_ = 0;
};

}  // namespace dockdyke::core
