// Faulty machines and stragglers: what failures and run times of tasks say about the machine they ran on.
#pragma once

#include "core/cluster_state.hpp"
#include "core/scheduling_constraints.hpp"
#include "core/time.hpp"

namespace dockdyke::core {

class MachineHealth {
 public:
  MachineHealth(ClusterState& state, const SchedulingConstraints& constraints);

  // A task of the job has completed on the machine.
  void record_success(Job& job, Machine& machine, Time now);
  // A task of the job has failed on the machine. A job that fails wherever it runs is retried ever more
  // rarely.
  void record_failure(Job& job, Machine& machine, Time now);
  // The run time of a first attempt that has completed on the machine.
  void record_run_time(Job& job, Machine& machine, Attempt attempt, double run_s);

  // Drains machines on which tasks of several jobs failed and of none completed.
  void drain_faulty_machines(Time now);
  // Takes work off the machine if its tasks run several times as long as others of their jobs.
  void drain_if_straggler(Machine& machine, Time now);

 private:
  // Marks that the job failed on these machines, or that it did not.
  void blame_machines(const Job& job, Time now);
  void clear_blame(const Job& job);
  std::uint32_t straggler_signs(const Machine& machine, Time now) const;

  ClusterState& state_;
  const SchedulingConstraints& constraints_;
};

}  // namespace dockdyke::core
