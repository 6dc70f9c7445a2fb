#include "core/worker_commands.hpp"

#include <algorithm>
#include <utility>

#include "constants.hpp"

namespace dockdyke::core {

using wire::Command;
using wire::CommandKind;

WorkerCommands::WorkerCommands(ClusterState& state, const SchedulingConstraints& constraints,
                               const JobQueue& queue, CancellationTracker& cancellations)
    : state_(state), constraints_(constraints), queue_(queue), cancellations_(cancellations) {}

// ---- Commands ---------------------------------------------------------------------------------------------

class WorkerCommands::CommandList {
 public:
  bool full() const { return commands_.size() >= constants::kMaxCommandsPerResponse; }
  void add(Command command) { commands_.push_back(std::move(command)); }
  std::vector<Command> take() { return std::move(commands_); }

 private:
  std::vector<Command> commands_;
};

std::vector<Command> WorkerCommands::commands_for(const MachineId& id, bool allow_starts, Time now) {
  Machine* machine = state_.find_machine(id);
  if (!machine || !state_.loaded()) return {};
  CommandList commands;
  // Stop commands are valid under any token. If they waited until this leader's token is acknowledged, they
  // would never be sent while leaders change faster than heartbeats arrive, and each response renews the
  // worker's lease.
  add_stops(*machine, now, commands);
  if (machine->token_acknowledged) add_acknowledgements(*machine, commands);
  const bool gets_starts = constraints_.start_obstacle(*machine, now) == StartObstacle::none;
  if (allow_starts && gets_starts) add_starts(*machine, commands);
  return commands.take();
}

void WorkerCommands::add_stops(const Machine& machine, Time now, CommandList& commands) const {
  for (const auto& task : machine.unassigned_tasks) {
    if (commands.full()) return;
    if (task.state != wire::TaskState::exited) commands.add({CommandKind::stop, task.task, task.attempt, 0});
  }
  for (const auto& task : machine.assignments) {
    if (commands.full()) return;
    const TaskAssignment& assignment = task.assignment();
    if (!assignment.stopping) continue;
    commands.add(
        {CommandKind::stop, {task.job->spec.id, task.index}, assignment.attempt, assignment.grace_s});
    if (task.job->cancelled) cancellations_.record_stop_sent(*task.job, machine, now);
  }
}

void WorkerCommands::add_acknowledgements(Machine& machine, CommandList& commands) const {
  for (const auto& task : machine.unassigned_tasks) {
    if (commands.full()) return;
    if (task.state != wire::TaskState::exited || !may_acknowledge(task)) continue;
    commands.add({CommandKind::acknowledge, task.task, task.attempt, 0});
    machine.acknowledged_exits.push_back({task.task, task.attempt});
  }
}

void WorkerCommands::add_starts(Machine& machine, CommandList& commands) const {
  for (const auto& task : machine.assignments) {
    if (commands.full()) return;
    TaskAssignment& assignment = task.assignment();
    if (assignment.stopping || !assignment.never_dispatched() || !task.job->assignment_durable(task.index))
      continue;
    commands.add({CommandKind::start, {task.job->spec.id, task.index}, assignment.attempt, 0});
    assignment.dispatched = true;
    assignment.dispatched_incarnation = machine.incarnation;
  }
}

bool WorkerCommands::may_acknowledge(const wire::ReportedTask& task) const {
  if (task.cause != wire::ExitCause::done) return true;
  const Job* job = state_.find_job(task.task.job);
  return !job || job->cancelled || task.task.index >= job->spec.task_count ||
         job->result_durable(task.task.index);
}

// ---- Responses --------------------------------------------------------------------------------------------

bool WorkerCommands::awaits_response(const wire::Heartbeat& heartbeat) const {
  const Machine* machine = state_.find_machine(heartbeat.machine);
  return machine && machine->response_pending && machine->incarnation == heartbeat.incarnation &&
         machine->sequence_number == heartbeat.sequence_number;
}

void WorkerCommands::response_sent(const MachineId& id, Time now) {
  if (Machine* machine = state_.find_machine(id)) state_.mark_response_sent(*machine, now);
}

bool WorkerCommands::has_stable_free_capacity(const Machine& machine, Time now) const {
  const auto free = constraints_.free_capacity(machine);
  if (!constraints_.accepts_work(machine, now) || !free.may_fit(queue_.tiers().smallest_task())) return false;
  // While its response is held, the worker sends no heartbeat and cannot report that a task has ended.
  return std::none_of(
      machine.assignments.begin(), machine.assignments.end(), [now](const AssignedTask& task) {
        const TaskAssignment& assignment = task.assignment();
        if (assignment.stopping) return true;
        if (task.job->spec.kind == wire::JobKind::service) return false;
        return assignment.ran_s(now) > constants::kMaxHoldProgressFraction * task.job->expected_run_s;
      });
}

ResponseHold WorkerCommands::response_hold(const MachineId& id, Time now) const {
  const Machine* machine = state_.find_machine(id);
  if (!machine || !state_.loaded() || !machine->token_acknowledged) return ResponseHold::none;
  bool commands_ready = false;
  for (const auto& task : machine->unassigned_tasks) {
    if (!may_acknowledge(task)) return ResponseHold::awaiting_write;
    commands_ready = true;
  }
  for (const auto& task : machine->assignments) {
    const TaskAssignment& assignment = task.assignment();
    const bool never_dispatched = assignment.never_dispatched();
    if (never_dispatched && !assignment.stopping && !task.job->gang.aborted &&
        !task.job->assignment_durable(task.index))
      return ResponseHold::awaiting_write;
    commands_ready = commands_ready || never_dispatched || assignment.stopping;
  }
  if (commands_ready) return ResponseHold::none;
  const bool may_receive_work = machine->assignments.empty() || has_stable_free_capacity(*machine, now);
  return may_receive_work ? ResponseHold::awaiting_work : ResponseHold::none;
}

}  // namespace dockdyke::core
