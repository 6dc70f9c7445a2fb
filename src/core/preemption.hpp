// Preemption: stops tasks of less important jobs to make room for waiting ones (PROTOCOL, "Preemption").
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "core/cluster_state.hpp"
#include "core/job_queue.hpp"
#include "core/scheduling_constraints.hpp"
#include "core/time.hpp"

namespace dockdyke::core {

class Preemption {
 public:
  Preemption(ClusterState& state, const SchedulingConstraints& constraints, JobQueue& queue);

  // Makes room for waiting jobs. At most once in `kPreemptionIntervalSeconds`.
  void run(Time now);

 private:
  // A task that may be stopped, and what that costs in seconds of lost work.
  struct Victim {
    double cost_s = 0;
    AssignedTask task;
  };
  // What stopping some tasks of one machine costs, and the room that it makes.
  struct Plan {
    Machine* machine = nullptr;
    std::vector<AssignedTask> victims;
    std::size_t tasks = 0;  // of the waiting job that fit then
    double cost_per_task = 0;
    bool above_low_priority = false;  // some victim is more than work for idle hours
  };
  // Capacity that is or will be there for jobs ahead in the queue.
  using ClaimedCapacity = std::map<const Machine*, wire::Resources, MachineIdLess>;
  // What one waiting job finds.
  struct Search {
    std::size_t wanted = 0;        // tasks
    bool capacity_coming = false;  // for one task at least, whoever else counts on it
    std::vector<Plan> plans;
  };

  bool may_preempt(const QueuedJob& claimant, const Job& victim) const;
  std::vector<Victim> victims_on(const QueuedJob& claimant, const Machine& machine, Time now) const;
  std::optional<Plan> plan_for(const QueuedJob& claimant, Machine& machine, wire::Resources free,
                               std::size_t wanted, Time now) const;
  // What is free on the machine once all tasks that are being stopped have ended.
  wire::Resources capacity_after_stops(const Machine& machine) const;
  Search search(const QueuedJob& claimant, const std::vector<Machine*>& machines, ClaimedCapacity& claimed,
                Time now);
  void make_room_for(const QueuedJob& claimant, const std::vector<Machine*>& machines,
                     ClaimedCapacity& claimed, Time now);
  // The lowest priority of any job with assignments.
  std::optional<wire::Priority> lowest_assigned_priority() const;
  bool waits_long_enough(const Job& job, Time now) const;

  ClusterState& state_;
  const SchedulingConstraints& constraints_;
  JobQueue& queue_;
  Time last_run_at_ = 0;
};

}  // namespace dockdyke::core
