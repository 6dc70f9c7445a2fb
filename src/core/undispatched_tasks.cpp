#include "core/undispatched_tasks.hpp"

namespace dockdyke::core {

UndispatchedTasks::UndispatchedTasks(const ClusterState& state, const SchedulingConstraints& constraints,
                                     TaskLifecycle& lifecycle)
    : state_(state), constraints_(constraints), lifecycle_(lifecycle) {}

void UndispatchedTasks::release_if_obstructed(Machine& machine, Time now) {
  if (machine.assignments.empty() || !is_lasting(constraints_.start_obstacle(machine, now))) return;
  lifecycle_.release_undispatched(machine, now);
}

UndispatchedSummary UndispatchedTasks::summary(Time now) const {
  UndispatchedSummary summary;
  for (const auto& [id, job] : state_.jobs())
    for (const auto& [index, assignment] : job.assignments) {
      if (!assignment.never_dispatched()) continue;
      const bool durable = job.assignment_durable(index);
      const StartObstacle obstacle = constraints_.start_obstacle(*assignment.machine, now);
      ++summary.tasks;
      summary.not_durable += durable ? 0 : 1;
      summary.withheld += obstacle == StartObstacle::none ? 0 : 1;
      const double waited_s = now - assignment.assigned_at;
      if (summary.tasks > 1 && waited_s <= summary.waited_s) continue;
      summary.task = {id, index};
      summary.machine = assignment.machine->id;
      summary.waited_s = waited_s;
      summary.durable = durable;
      summary.obstacle = obstacle;
    }
  return summary;
}

}  // namespace dockdyke::core
