#include "core/state_recovery.hpp"

#include <algorithm>

namespace dockdyke::core {

StateRecovery::StateRecovery(ClusterState& state, TaskLog& task_log, WriteQueue& writes,
                             TaskLifecycle& lifecycle)
    : state_(state), task_log_(task_log), writes_(writes), lifecycle_(lifecycle) {}

void StateRecovery::load(const SegmentLoaded& event) {
  const SegmentNumber segment = task_log_.adopt_segment(event.key);
  for (const auto& [id, tasks] : event.segment) {
    Job* job = state_.find_job(id);
    if (!job || job->is_gang()) continue;
    for (const auto& task : tasks)
      if (task.index < job->spec.task_count) load_task(segment, *job, task);
  }
}

void StateRecovery::load_task(SegmentNumber segment, Job& job, const TaskRecord& record) {
  task_log_.adopt_entry(segment, job, record.index);
  TaskProgress& task = job.tasks[record.index];
  task.attempt = std::max(task.attempt, record.attempt);
  task.done = task.done || record.done;
  const std::pair key(job.serial, record.index);
  if (task.done || record.machine.value.empty()) {
    loaded_machines_.erase(key);
  } else {
    loaded_machines_[key] = record.machine;
  }
}

void StateRecovery::load(const GangPartLoaded& event) {
  Job* job = state_.find_job(event.part.job);
  if (!job || !job->is_gang()) {
    task_log_.add_obsolete_key(event.key);
    return;
  }
  job->gang.keys.push_back(event.key);
  LoadedGang& loaded = loaded_gangs_[job->serial];
  if (event.part.attempt < loaded.attempt) return;
  if (event.part.attempt > loaded.attempt) loaded = {event.part.attempt, event.part.part_count, 0, {}};
  ++loaded.loaded_parts;
  loaded.tasks.insert(loaded.tasks.end(), event.part.tasks.begin(), event.part.tasks.end());
}

void StateRecovery::complete(Time now) {
  state_.mark_loaded();
  std::vector<Job*> cancelled;
  for (auto& [id, job] : state_.jobs()) {
    adopt_tasks(job, now);
    if (job.is_gang()) adopt_gang(job, now);
    if (job.cancelled) {
      lifecycle_.stop_cancelled_job(job, now);
      cancelled.push_back(&job);
    } else if (job.complete()) {
      writes_.request_terminal_record(job);
    }
  }
  loaded_machines_.clear();
  loaded_gangs_.clear();
  for (Job* job : cancelled) lifecycle_.remove_if_finished(*job, now);
  task_log_.delete_empty_segments();
}

void StateRecovery::adopt(Job& job, TaskIndex index, const MachineId& machine, Attempt attempt, Time now) {
  TaskAssignment assignment;
  assignment.machine = &state_.find_or_add_machine(machine, now);
  assignment.attempt = attempt;
  assignment.adopted = true;
  assignment.assigned_at = now;
  state_.begin_assignment(job, index, assignment);
}

void StateRecovery::adopt_tasks(Job& job, Time now) {
  const auto last_attempted =
      std::find_if(job.tasks.rbegin(), job.tasks.rend(),
                   [](const TaskProgress& task) { return task.durable_segment != 0; });
  job.next_unattempted = static_cast<TaskIndex>(job.tasks.rend() - last_attempted);
  for (TaskIndex index = 0; index < job.next_unattempted; ++index) {
    const TaskProgress& task = job.tasks[index];
    const auto machine = loaded_machines_.find({job.serial, index});
    if (task.done) {
      ++job.done_count;
      job.started = true;
    } else if (machine != loaded_machines_.end()) {
      adopt(job, index, machine->second, task.attempt, now);
    } else {
      job.requeued.insert(index);
    }
  }
}

void StateRecovery::adopt_gang(Job& job, Time now) {
  auto found = loaded_gangs_.find(job.serial);
  if (found == loaded_gangs_.end()) return;
  const LoadedGang& loaded = found->second;
  job.gang.attempt = loaded.attempt;
  // All parts are durable before any task of the attempt is dispatched, so with a part missing no task was
  // started. The attempt number is not reused, since a write of a missing part may still be in flight.
  if (loaded.loaded_parts != loaded.part_count) return;
  job.gang.part_count = loaded.part_count;
  job.gang.confirmed_parts = loaded.part_count;
  job.gang.assigned_at = now;
  job.next_unattempted = job.spec.task_count;
  for (const auto& task : loaded.tasks)
    if (task.index < job.spec.task_count && !job.assignments.contains(task.index))
      adopt(job, task.index, task.machine, loaded.attempt, now);
}

}  // namespace dockdyke::core
