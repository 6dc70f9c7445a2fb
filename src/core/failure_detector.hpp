// Detects failed machines: releases the tasks of workers whose lease has expired, and selects the machines
// that must be deleted because no heartbeat can confirm that their tasks have ended.
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

  // Releases the tasks of workers whose lease has expired. Keeps tasks of cancelled jobs, since a machine
  // that hangs past its lease may still run them (PROTOCOL).
  void expire_leases(Time now);
  // Returns the machines to delete so that their cancelled tasks end within the cancellation timeout.
  std::vector<MachineId> machines_to_delete_for_cancellations(Time now) const;
  // Returns the machines to delete because they have failed, did not boot, are presumed lost, do not receive
  // responses, or are drained and empty.
  std::vector<MachineId> machines_to_delete(Time now) const;

 private:
  // Returns the seconds until the first cancelled task on the machine must have ended, or std::nullopt if the
  // machine holds no cancelled task.
  std::optional<double> cancellation_time_left_s(const Machine& machine, Time now) const;
  bool cancellation_requires_deletion(const Machine& machine, Time now) const;
  // Whether the worker has acknowledged this leader's token and sends heartbeats.
  bool responsive_under_token(const Machine& machine, Time now) const;
  // Whether the worker's lease has expired. Always false until the worker acknowledges this leader's token.
  bool lease_expired(const Machine& machine, Time now) const;
  bool boot_failed(const Machine& machine, Time now) const;
  // Whether an unresponsive machine is not expected to send heartbeats again.
  bool presumed_lost(const Machine& machine, Time now) const;
  // Whether no response has reached the worker for longer than its lease.
  bool responses_lost(const Machine& machine, Time now) const;
  bool requires_deletion(const Machine& machine, Time now) const;

  ClusterState& state_;
  const SchedulingConstraints& constraints_;
  TaskLifecycle& lifecycle_;
};

}  // namespace dockdyke::core
