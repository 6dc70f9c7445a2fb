// Preemption: stops tasks of lower-priority jobs to free capacity for waiting jobs.
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

// Selects and stops the tasks whose preemption loses the least work. Jobs within their team's guaranteed
// share may preempt any job of another team that is not within its share, and are never preempted.
// Gangs neither preempt nor are preempted.
class Preemption {
 public:
  Preemption(ClusterState& state, const SchedulingConstraints& constraints, JobQueue& queue);

  // Preempts tasks for the jobs that have waited long enough. Does nothing if called again within
  // `kPreemptionIntervalSeconds`.
  void run(Time now);

 private:
  // A task that may be preempted.
  struct Victim {
    double cost_s = 0;  // lost work, plus a penalty by priority
    AssignedTask task;
  };
  // A set of tasks to preempt on one machine.
  struct Plan {
    Machine* machine = nullptr;
    std::vector<AssignedTask> victims;
    std::size_t fitting_tasks = 0;    // tasks of the waiting job that fit once the victims have ended
    double cost_per_task = 0;         // per fitting task
    bool above_low_priority = false;  // some victim has a priority above `low`
  };
  // Waiting tasks of jobs ahead in the queue that will use capacity of a machine, free now or once stopped
  // tasks have ended.
  struct Claim {
    wire::Resources resources;
    std::size_t tasks = 0;

    void add(const wire::Resources& task, std::size_t count) {
      resources += task * static_cast<double>(count);
      tasks += count;
    }
  };
  using ClaimedCapacity = std::map<const Machine*, Claim, MachineIdLess>;
  // The tasks of one waiting job that need preemption, and the plans to choose from.
  struct Demand {
    std::size_t tasks = 0;           // that do not fit without preemption
    bool capacity_expected = false;  // one task fits, now or after stops, before claims of other jobs
    std::vector<Plan> plans;
  };

  bool may_preempt(const QueuedJob& preemptor, const Job& victim) const;
  // Returns the tasks on the machine that the preemptor may preempt, in ascending order of cost.
  std::vector<Victim> victims_on(const QueuedJob& preemptor, const Machine& machine, Time now) const;
  // Adds victims in ascending order of cost until `max_tasks` tasks of the preemptor fit, or one task if a
  // victim is above the lowest priority. Returns std::nullopt if no task fits. `free` is the capacity that
  // the preemptor can use without victims.
  std::optional<Plan> make_plan(const QueuedJob& preemptor, Machine& machine, FreeCapacity free,
                                std::size_t max_tasks, Time now) const;
  // Returns the machine's free capacity once all tasks that are being stopped have ended. Stopped tasks free
  // resources but no task slots: otherwise a larger task would be stopped again and again for a small one.
  FreeCapacity capacity_after_stops(const Machine& machine) const;
  // Claims capacity that is free or will be free by earlier stops, and makes plans for the remaining tasks.
  Demand find_demand(const QueuedJob& preemptor, const std::vector<Machine*>& machines,
                     ClaimedCapacity& claimed, Time now);
  void preempt_for(const QueuedJob& preemptor, const std::vector<Machine*>& machines,
                   ClaimedCapacity& claimed, Time now);
  // Returns the lowest priority among the jobs with assignments, or std::nullopt if there is no such job.
  std::optional<wire::Priority> lowest_assigned_priority() const;
  // Returns whether the job has waited for `kPreemptionDelaySeconds` and its backoff and quota allow further
  // tasks.
  bool eligible_to_preempt(const Job& job, Time now) const;

  ClusterState& state_;
  const SchedulingConstraints& constraints_;
  JobQueue& queue_;
  Time last_run_at_ = 0;
};

}  // namespace dockdyke::core
