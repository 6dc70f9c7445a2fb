// Selects the commands in the response to a worker's heartbeat and decides whether the response is held.
#pragma once

#include <vector>

#include "core/cancellation_tracker.hpp"
#include "core/cluster_state.hpp"
#include "core/job_queue.hpp"
#include "core/scheduling_constraints.hpp"
#include "core/time.hpp"
#include "core/views.hpp"

namespace dockdyke::core {

class WorkerCommands {
 public:
  WorkerCommands(ClusterState& state, const SchedulingConstraints& constraints, const JobQueue& queue,
                 CancellationTracker& cancellations);

  // Returns at most `kMaxCommandsPerResponse` commands for the response to the machine's last heartbeat, stop
  // commands first, and marks the tasks of start commands as dispatched. `allow_starts` is false while the
  // leader's local view may be stale. A worker that has not acknowledged this leader's token gets stop
  // commands only.
  std::vector<wire::Command> commands_for(const MachineId& machine, bool allow_starts, Time now);
  // Returns whether, and for what, the response to the machine's last heartbeat should be held.
  ResponseHold response_hold(const MachineId& machine, Time now) const;
  // Whether this is the machine's last heartbeat and no response to it has been sent.
  bool awaits_response(const wire::Heartbeat& heartbeat) const;
  void response_sent(const MachineId& machine, Time now);

 private:
  // Collects commands for one response.
  class CommandList;

  void add_stops(const Machine& machine, Time now, CommandList& commands) const;
  // Adds acknowledgements of exited tasks, which let the worker drop their results.
  void add_acknowledgements(Machine& machine, CommandList& commands) const;
  void add_starts(Machine& machine, CommandList& commands) const;
  // Whether the exit may be acknowledged. The result of a completed task must be stored first, since the
  // worker drops it on acknowledgement.
  bool may_acknowledge(const wire::ReportedTask& task) const;
  // Whether the smallest task in the queue fits on the machine and none of its own tasks is likely to end
  // soon.
  bool has_stable_free_capacity(const Machine& machine, Time now) const;

  ClusterState& state_;
  const SchedulingConstraints& constraints_;
  const JobQueue& queue_;
  CancellationTracker& cancellations_;
};

}  // namespace dockdyke::core
