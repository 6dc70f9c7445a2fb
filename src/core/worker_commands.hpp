// What a worker is told in the response to its heartbeat, and when the response should go out.
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

  // The commands for the response to the machine's last heartbeat, at most `kMaxCommandsPerResponse`, stops
  // first. Starts count as dispatched from here on. Without `allow_starts` (the leader's view may be stale)
  // only tasks that are there are dealt with. A worker that has not shown this leader's token gets only
  // stops.
  std::vector<wire::Command> commands_for(const MachineId& machine, bool allow_starts, Time now);
  ResponseHold response_hold(const MachineId& machine, Time now) const;
  // The heartbeat is the machine's last one and has not been answered.
  bool awaits_response(const wire::Heartbeat& heartbeat) const;
  void response_sent(const MachineId& machine, Time now);

 private:
  // Adds commands up to the limit of a response.
  class CommandList;

  void add_stops(const Machine& machine, Time now, CommandList& commands) const;
  // Acknowledgements of exited tasks.
  void add_acknowledgements(Machine& machine, CommandList& commands) const;
  void add_starts(Machine& machine, CommandList& commands) const;
  // Whether the worker may forget the exited task: its result must be stored before its only witness forgets
  // it.
  bool may_acknowledge(const wire::ReportedTask& task) const;
  // The machine has capacity for some job's task, and none of its own tasks is likely to end within seconds.
  bool has_lasting_capacity(const Machine& machine, Time now) const;

  ClusterState& state_;
  const SchedulingConstraints& constraints_;
  const JobQueue& queue_;
  CancellationTracker& cancellations_;
};

}  // namespace dockdyke::core
