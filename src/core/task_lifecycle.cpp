#include "core/task_lifecycle.hpp"

#include <utility>

#include "core/state_keys.hpp"

namespace dockdyke::core {

TaskLifecycle::TaskLifecycle(ClusterState& state, JobQueue& queue, TaskLog& task_log,
                             CancellationTracker& cancellations, EffectQueue& effects)
    : state_(state), queue_(queue), task_log_(task_log), cancellations_(cancellations), effects_(effects) {}

// ---- Assignments ------------------------------------------------------------------------------------------

void TaskLifecycle::release(Job& job, TaskIndex index, Time now) {
  if (!state_.end_assignment(job, index, now)) return;
  state_.request_assignment_pass();
  if (job.is_gang()) {
    if (job.unfinished()) handle_released_gang_task(job, now);
    return;
  }
  if (!job.complete()) task_log_.mark_unpersisted(job, index);
  if (job.tasks[index].done || job.cancelled) return;
  if (job.waiting_tasks() == 0) {
    job.queued_at = now;
    queue_.invalidate();
  }
  job.requeued.insert(index);
}

void TaskLifecycle::release_and_remove_if_finished(const AssignedTask& task, Time now) {
  release(*task.job, task.index, now);
  remove_if_finished(*task.job, now);
}

void TaskLifecycle::release_all(Machine& machine, Time now) {
  const auto assignments = machine.assignments;
  for (const auto& task : assignments) release_and_remove_if_finished(task, now);
  machine.unassigned_tasks.clear();
  machine.runs_unknown_tasks = false;
}

void TaskLifecycle::release_undispatched(Machine& machine, Time now) {
  const auto assignments = machine.assignments;
  for (const auto& task : assignments)
    if (task.assignment().never_dispatched()) release_and_remove_if_finished(task, now);
}

void TaskLifecycle::release_undispatched(Job& job, Time now) {
  std::vector<TaskIndex> never_dispatched;
  for (const auto& [index, assignment] : job.assignments)
    if (assignment.never_dispatched()) never_dispatched.push_back(index);
  for (const auto index : never_dispatched) release(job, index, now);
}

// ---- Jobs and machines ------------------------------------------------------------------------------------

void TaskLifecycle::stop_cancelled_job(Job& job, Time now) {
  queue_.invalidate();
  job.unpersisted.clear();
  // Includes tasks whose start command is still in flight: stop commands are repeated until a task is
  // confirmed ended.
  for (auto& [index, assignment] : job.assignments)
    if (!assignment.never_dispatched()) assignment.request_stop(0);
  release_undispatched(job, now);
  job.requeued.clear();
  job.next_unattempted = job.spec.task_count;
  cancellations_.start_tracking(job, now);
}

void TaskLifecycle::remove_if_finished(Job& job, Time now) {
  const bool finished = job.cancelled || (job.complete() && !job.terminal_write_pending);
  if (!finished || !job.assignments.empty()) return;
  const JobId id = job.spec.id;
  cancellations_.finish_tracking(job, now);
  if (job.cancelled) effects_.push(DeleteKeys{{key::terminating_job(id)}});
  if (!job.gang.keys.empty()) effects_.push(DeleteKeys{std::move(job.gang.keys)});
  task_log_.release_entries(job);
  queue_.remove(job);
  state_.remove_job(id, now);
}

void TaskLifecycle::handle_stored_terminal_record(const JobId& id, Time now) {
  Job* job = state_.find_job(id);
  if (!job) return;
  job->terminal_write_pending = false;
  remove_if_finished(*job, now);
}

void TaskLifecycle::remove_machine(const MachineId& id, Time now) {
  if (Machine* machine = state_.find_machine(id)) {
    cancellations_.record_machine_deleted(*machine);
    release_all(*machine, now);
  }
  state_.remove_machine(id, now);
}

// ---- Gangs ------------------------------------------------------------------------------------------------

void TaskLifecycle::abort_gang(Job& job) {
  if (job.gang.aborted || !job.unfinished()) return;
  job.gang.aborted = true;
  aborted_gangs_.push_back(job.serial);
}

void TaskLifecycle::handle_released_gang_task(Job& job, Time now) {
  if (!job.assignments.empty()) {
    abort_gang(job);
    return;
  }
  // All tasks are confirmed ended, so the next attempt may start.
  job.gang.aborted = false;
  job.gang.failure_counted = false;
  job.requeued.clear();
  job.next_unattempted = 0;
  job.queued_at = now;
  queue_.invalidate();
}

void TaskLifecycle::stop_aborted_gangs(Time now) {
  for (const auto serial : std::exchange(aborted_gangs_, {})) {
    Job* job = state_.find_job(serial);
    if (!job || !job->gang.aborted || !job->unfinished()) continue;
    for (auto& [index, assignment] : job->assignments)
      if (!assignment.never_dispatched() && !assignment.stopping) assignment.request_stop(0);
    release_undispatched(*job, now);
  }
}

}  // namespace dockdyke::core
