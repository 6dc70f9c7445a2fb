// Leases and silence: which workers have lost their tasks, and which machines must be deleted because nothing
// else proves what became of them.
#pragma once

#include <optional>
#include <vector>

#include "core/cluster_state.hpp"
#include "core/scheduling_constraints.hpp"
#include "core/task_lifecycle.hpp"
#include "core/time.hpp"

namespace dockdyke::core {

class FailureDetector {
 public:
  FailureDetector(ClusterState& state, const SchedulingConstraints& constraints, TaskLifecycle& lifecycle);

  // Releases the tasks of workers whose lease has expired. Tasks of cancelled jobs are kept: a machine that
  // hangs past its lease still holds them (PROTOCOL, "Leases").
  void expire_leases(Time now);
  // Machines with tasks of cancelled jobs that must be deleted, since nothing else makes sure that the tasks
  // are gone in time.
  std::vector<MachineId> machines_holding_cancelled_tasks(Time now) const;
  // Machines that have failed, never came up, are unreachable, or were drained and are empty; to be deleted.
  std::vector<MachineId> machines_to_delete(Time now) const;

 private:
  // Seconds until the first cancelled task on the machine must be gone; nothing where there is none.
  std::optional<double> cancellation_time_left_s(const Machine& machine, Time now) const;
  bool cancellation_requires_deletion(const Machine& machine, Time now) const;
  // The worker is in contact with this leader and not only with an earlier one.
  bool in_contact(const Machine& machine, Time now) const;
  // The worker's lease has expired on responses of this leader only.
  bool lease_expired(const Machine& machine, Time now) const;
  bool boot_failed(const Machine& machine, Time now) const;
  bool unreachable(const Machine& machine, Time now) const;
  // Responses have not reached the worker for longer than its lease lasts without them.
  bool responses_lost(const Machine& machine, Time now) const;
  bool to_be_deleted(const Machine& machine, Time now) const;

  ClusterState& state_;
  const SchedulingConstraints& constraints_;
  TaskLifecycle& lifecycle_;
};

}  // namespace dockdyke::core
