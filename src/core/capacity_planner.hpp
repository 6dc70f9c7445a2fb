// Planning of the machines to request for waiting jobs and expected gangs.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/available_capacity.hpp"
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

// Plans which machines to request: places the tasks of the jobs on the capacity that is free, booting or
// already requested, and adds machines for tasks that do not fit there. It assigns no task.
class CapacityPlanner {
 public:
  using MachinesToRequest = std::map<InstanceOffering, std::size_t>;  // number of machines by offering

  CapacityPlanner(const ClusterState& state, const SchedulingConstraints& constraints, JobQueue& queue,
                  const ScaleOutRequests& scale_out, const OfferingSelector& selector,
                  const ScarceTypes& scarce_types, const GangReservations& gang_reservations);

  // Returns the machines to request for waiting jobs, at most `max_machines`.
  MachinesToRequest machines_for_waiting_jobs(std::size_t max_machines, Time now);
  // Returns the machines to request for expected gangs, at most `max_machines`.
  MachinesToRequest machines_for_expected_gangs(std::size_t max_machines, Time now);
  // Returns the number of waiting tasks in the last call of `machines_for_waiting_jobs`.
  std::size_t waiting_tasks() const { return waiting_tasks_; }

 private:
  // A plan under construction, to which the jobs are added in queue order.
  struct Plan {
    std::vector<MachineGroup> groups;  // capacity that no job of the plan uses yet
    std::map<std::string, std::size_t> machines_by_zone;
    MachinesToRequest machines_to_request;
    std::size_t machine_budget = 0;  // how many more machines may be requested
  };
  // The demand of one job for capacity, reduced as its tasks are placed.
  struct JobDemand {
    const Job& job;
    std::size_t tasks = 0;  // not yet placed
    ZoneCapacity zones;
    std::set<std::size_t> avoided_types;  // type numbers
  };

  Plan begin_plan(std::vector<MachineGroup> groups, std::size_t max_machines) const;

  // ---- Planning of one job ----
  bool may_use(const JobDemand& demand, const MachineGroup& group) const;
  // Places as many tasks of the job as fit on the machines of one group.
  void place_on_group(Plan& plan, JobDemand& demand, std::size_t group_index) const;
  // Places as many tasks of the job as fit on the machines of the plan. Returns whether the plan has any
  // machine on which the job is allowed.
  bool place_on_available_machines(Plan& plan, JobDemand& demand) const;
  // Returns the zone for a gang whose tasks must share one: a zone in which the whole gang fits, or else the
  // zone of the offering to request. Returns std::nullopt if there is neither.
  std::optional<std::string> select_zone_for_gang(const Plan& plan, const JobDemand& demand,
                                                  bool allow_on_demand, Time now) const;
  // Adds machines to the plan for the tasks that are not yet placed.
  void request_machines(Plan& plan, JobDemand& demand, bool allow_on_demand, Time now) const;
  // Places the job's tasks on available machines and requests machines for the others.
  void plan_job(Plan& plan, const QueuedJob& queued, JobDemand& demand, Time now) const;
  std::optional<InstanceOffering> select_offering(const Plan& plan, const JobDemand& demand,
                                                  bool allow_on_demand, Time now) const;

  const ClusterState& state_;
  const SchedulingConstraints& constraints_;
  JobQueue& queue_;
  const ScaleOutRequests& scale_out_;
  const OfferingSelector& selector_;
  const ScarceTypes& scarce_types_;
  const GangReservations& gang_reservations_;
  AvailableCapacity available_capacity_;
  std::size_t waiting_tasks_ = 0;
};

}  // namespace dockdyke::core
