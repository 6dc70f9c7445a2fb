// Detection of faulty machines and stragglers.
#pragma once

#include "core/cluster_state.hpp"
#include "core/scheduling_constraints.hpp"
#include "core/time.hpp"

namespace dockdyke::core {

// Tracks failures and run times of tasks per machine, and drains machines that are faulty or slow.
class MachineHealth {
 public:
  MachineHealth(ClusterState& state, const SchedulingConstraints& constraints);

  // Records that a task of the job has completed on the machine.
  void record_success(Job& job, Machine& machine, Time now);
  // Records that a task of the job has failed on the machine. A job that fails on several machines is retried
  // with exponential backoff.
  void record_failure(Job& job, Machine& machine, Time now);
  // Records the run time of a task that has completed on the machine in the given attempt.
  void record_run_time(Job& job, Machine& machine, Attempt attempt, double run_s);

  // Drains machines on which tasks of several jobs have failed and none has completed since.
  void drain_faulty_machines(Time now);
  // Drains the machine, and stops tasks that may restart elsewhere, if its tasks run much longer than other
  // tasks of their jobs.
  void drain_if_straggler(Machine& machine, Time now);

 private:
  // Adds the job to `failed_jobs` of every machine on which it has failed, or removes it from there.
  void add_to_failed_jobs(const Job& job, Time now);
  void remove_from_failed_jobs(const Job& job);
  // Returns the straggler signs of the machine's completed and running tasks.
  std::uint32_t count_straggler_signs(const Machine& machine, Time now) const;

  ClusterState& state_;
  const SchedulingConstraints& constraints_;
};

}  // namespace dockdyke::core
