#include "core/cluster.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "constants.hpp"

namespace dockdyke::core {

using wire::TaskState;

Cluster::Cluster(ClusterConfig config, FencingToken token, Time now, std::int64_t time_of_day_ms)
    : config_(std::move(config)),
      token_(token),
      elected_at_(now),
      elected_ms_(time_of_day_ms),
      page_bytes_(config_.max_value_bytes -
                  std::min(config_.max_value_bytes, constants::kSegmentMarginBytes)),
      part_bytes_(page_bytes_),
      // Each end of a job is a put and a removal.
      ends_per_save_(std::max<std::size_t>(1, config_.max_transaction_changes / 2)) {}

void Cluster::apply(const Event& event, Time now) {
  std::visit([&](const auto& each) { on(each, now); }, event);
}

std::vector<Effect> Cluster::take_effects() {
  return effects_.take();
}

const Job* Cluster::job(const JobId& id) const {
  auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

const Machine* Cluster::machine(const MachineId& id) const {
  auto found = machines_.find(id);
  return found == machines_.end() ? nullptr : &found->second;
}

wire::Resources Cluster::team_usage(const std::string& team) const {
  auto found = usage_.find(team);
  return found == usage_.end() ? wire::Resources{} : found->second;
}

std::size_t Cluster::machines_up() const {
  return static_cast<std::size_t>(std::count_if(machines_.begin(), machines_.end(), [](const auto& each) {
    return each.second.state == MachineState::up && !each.second.scale_in_requested;
  }));
}

std::vector<JobId> Cluster::open_jobs() const {
  std::vector<JobId> out;
  for (const auto& [id, job] : jobs_)
    if (!job.cancelled) out.push_back(id);
  return out;
}

std::optional<JobProgress> Cluster::progress(const JobId& id) const {
  const Job* known = job(id);
  if (!loaded_ || !known || known->cancelled) return std::nullopt;
  const auto running = static_cast<std::uint64_t>(
      std::count_if(known->assignments.begin(), known->assignments.end(), [](const auto& each) {
        const auto state = each.second.state;
        return each.second.observed && (state == TaskState::running || state == TaskState::saving);
      }));
  const auto state = running > 0 || known->done_count > 0 ? wire::JobState::running : wire::JobState::pending;
  return JobProgress{known->version, {state, known->done_count, running}};
}

// ---- Records ----------------------------------------------------------------------------------------------

Job& Cluster::add_job(const JobRecord& record, Revision version, Time now) {
  Job& job = jobs_[record.spec.id];
  job.spec = record.spec;
  job.serial = next_serial_++;
  by_serial_[job.serial] = &job;
  // Times of day may differ between controllers; an age is never taken as negative.
  const double age_s = static_cast<double>(elected_ms_ - record.submitted_ms) / 1000.0 + (now - elected_at_);
  job.submitted = now - std::max(0.0, age_s);
  job.tasks.assign(record.spec.task_count, TaskProgress{});
  job.version = version;
  job.queued_since = now;
  job.expected_run_s = estimates_.expected(job.spec.job_class, job.spec.estimated_run_s);
  job.team_usage = &usage_[job.spec.team];
  update_compatible_types(job);
  if (job.is_gang() && wants_quick_starts(job.spec)) reserve_.note_arrival(job.spec, now);
  ranking_stale_ = true;
  place_wanted_ = true;
  return job;
}

void Cluster::on(const JobLoaded& event, Time now) {
  // Open jobs come first: one that was cancelled while the records were read is then known as open, and the
  // watch tells of its end.
  if (jobs_.contains(event.record.spec.id)) return;
  Job& job = add_job(event.record, event.version, now);
  if (!event.terminating) return;
  job.cancelled = true;
  const double age_s =
      static_cast<double>(elected_ms_ - event.record.cancelled_ms.value_or(elected_ms_)) / 1000.0;
  job.cancelled_at = now - std::max(0.0, age_s);
}

void Cluster::on(const SegmentLoaded& event, Time) {
  const SegmentNumber number = next_page_number_++;
  TaskLogSegment& page = pages_[number];
  page.key = event.key;
  page.confirmed = true;
  for (const auto& [id, tasks] : event.segment) {
    auto found = jobs_.find(id);
    if (found == jobs_.end() || found->second.is_gang()) continue;
    Job& job = found->second;
    for (const auto& task : tasks) {
      if (task.index >= job.spec.task_count) continue;
      TaskProgress& slot = job.tasks[task.index];
      if (slot.durable_segment != 0) --pages_.at(slot.durable_segment).live;
      slot.durable_segment = slot.first_segment = number;
      slot.attempt = std::max(slot.attempt, task.attempt);
      slot.done = slot.done || task.done;
      ++page.live;
      page.entries.push_back({job.serial, task.index});
      const std::pair place(job.serial, task.index);
      if (slot.done || task.machine.value.empty()) {
        loaded_assignments_.erase(place);
      } else {
        loaded_assignments_[place] = task.machine;
      }
    }
  }
}

void Cluster::on(const LoadCompleted&, Time now) {
  loaded_ = true;
  place_wanted_ = true;
  std::vector<Job*> gone;
  for (auto& [id, job] : jobs_) {
    auto last = std::find_if(job.tasks.rbegin(), job.tasks.rend(),
                             [](const TaskProgress& slot) { return slot.durable_segment != 0; });
    job.next_unattempted = static_cast<TaskIndex>(job.tasks.rend() - last);
    for (TaskIndex index = 0; index < job.next_unattempted; ++index) {
      const TaskProgress& slot = job.tasks[index];
      if (slot.done) {
        ++job.done_count;
        job.started = true;
      } else if (auto place = loaded_assignments_.find({job.serial, index});
                 place != loaded_assignments_.end()) {
        TaskAssignment assignment;
        assignment.machine = &machine_named(place->second, now);
        assignment.attempt = slot.attempt;
        assignment.adopted = true;
        assignment.assigned_at = now;
        begin_assignment(job, index, assignment);
      } else {
        job.requeued.insert(index);
      }
    }
    if (job.is_gang()) take_over_gang(job, now);
    if (job.cancelled) {
      stop_all(job, now);
      gone.push_back(&job);
    } else if (job.complete()) {
      job.terminal_write_pending = true;
      unfinished_finals_.push_back(id);
    }
  }
  loaded_assignments_.clear();
  loaded_gangs_.clear();
  for (Job* job : gone) drop_if_gone(*job, now);
  for (auto page = pages_.begin(); page != pages_.end();) {
    const bool dead = page->second.live == 0;
    if (dead) dead_keys_.push_back(page->second.key);
    page = dead ? pages_.erase(page) : std::next(page);
  }
}

void Cluster::on(const JobSubmitted& event, Time now) {
  // Until the records are read, an open record may have tasks that pages tell of: loading brings it. And news
  // of a submission may come after the job's end, when its record was read long before or its watch was slow.
  const auto& id = event.record.spec.id;
  if (!loaded_ || jobs_.contains(id) || over_.contains(id)) return;
  add_job(event.record, event.version, now);
}

void Cluster::on(const JobRecordRemoved& event, Time now) {
  auto found = jobs_.find(event.id);
  if (found == jobs_.end()) {
    // Perhaps a late word of its submission is still to come. Cancelled before we heard of it, it has no
    // tasks, and nobody else would remove its copy.
    if (over_.insert_or_assign(event.id, now).second && loaded_) discard({key::terminating_job(event.id)});
    return;
  }
  Job& job = found->second;
  if (!job.complete() && !job.cancelled) {
    job.cancelled = true;
    job.cancelled_at = now;
    if (loaded_) stop_all(job, now);
  }
  place_wanted_ = true;
  if (loaded_) drop_if_gone(job, now);
}

void Cluster::stop_all(Job& job, Time now) {
  ranking_stale_ = true;
  job.unpersisted.clear();
  std::vector<TaskIndex> never_sent;
  for (auto& [index, assignment] : job.assignments) {
    if (assignment.never_dispatched()) {
      never_sent.push_back(index);
    } else {
      // Also for a start still in flight: the order to stop is repeated until a report proves it gone.
      assignment.stop(0);
    }
  }
  for (auto index : never_sent) release(job, index, now);
  job.requeued.clear();
  job.next_unattempted = job.spec.task_count;
}

void Cluster::drop_if_gone(Job& job, Time now) {
  if (!(job.cancelled || (job.complete() && !job.terminal_write_pending)) || !job.assignments.empty()) return;
  const JobId id = job.spec.id;
  if (job.cancelled) discard({key::terminating_job(id)});
  if (!job.gang.keys.empty()) discard(std::move(job.gang.keys));
  forget_entries(job);
  over_[id] = now;
  by_serial_.erase(job.serial);
  std::erase_if(ranking_, [&](const Ranked& each) { return each.job == &job; });
  jobs_.erase(id);
}

// ---- Places -----------------------------------------------------------------------------------------------

Machine& Cluster::machine_named(const MachineId& id, Time now) {
  auto [found, added] = machines_.try_emplace(id);
  Machine& machine = found->second;
  if (added) {
    machine.id = id;
    machine.rented_at = now;
    machine.idle_since = now;
    // A machine we know only by name may run tasks: its silence counts from now on.
    machine.last_heartbeat_at = now;
  }
  return machine;
}

void Cluster::describe(Machine& machine, const std::string& type, const std::string& zone, bool spot) {
  if (machine.type != type || machine.type_number == kNoType) {
    machine.type = type;
    machine.type_number = type_number(type);
  }
  if (machine.zone != zone) machine.zone = zone;
  machine.spot = spot;
}

void Cluster::begin_assignment(Job& job, TaskIndex index, TaskAssignment assignment) {
  Machine& machine = *assignment.machine;
  machine.assignments.push_back({&job, index});
  machine.used += job.spec.task_resources;
  *job.team_usage += job.spec.task_resources;
  job.assignments.insert_or_assign(index, assignment);
}

void Cluster::release(Job& job, TaskIndex index, Time now) {
  auto found = job.assignments.find(index);
  if (found == job.assignments.end()) return;
  Machine& machine = *found->second.machine;
  std::erase(machine.assignments, AssignedTask{&job, index});
  machine.used -= job.spec.task_resources;
  if (machine.assignments.empty()) {
    machine.used = {};
    machine.idle_since = now;
  }
  *job.team_usage -= job.spec.task_resources;
  job.assignments.erase(found);
  if (job.is_gang()) {
    if (!job.complete() && !job.cancelled) gang_task_released(job, now);
    place_wanted_ = true;
    return;
  }
  if (!job.complete()) touch(job, index);
  if (!job.tasks[index].done && !job.cancelled) {
    if (job.waiting_tasks() == 0) {
      job.queued_since = now;
      ranking_stale_ = true;
    }
    job.requeued.insert(index);
  }
  place_wanted_ = true;
}

void Cluster::release_all(Machine& machine, Time now) {
  const auto assignments = machine.assignments;
  for (const auto& task : assignments) {
    release(*task.job, task.index, now);
    drop_if_gone(*task.job, now);
  }
  machine.unassigned_tasks.clear();
  machine.runs_unknown_tasks = false;
}

void Cluster::withdraw_unsent(Machine& machine, Time now) {
  const auto assignments = machine.assignments;
  for (const auto& task : assignments) {
    const TaskAssignment& assignment = task.assignment();
    if (assignment.never_dispatched()) release(*task.job, task.index, now);
  }
}

void Cluster::machine_gone(const MachineId& id, Time now) {
  auto found = machines_.find(id);
  if (found != machines_.end()) {
    release_all(found->second, now);
    open_answers_.erase(&found->second);
    machines_.erase(found);
  }
  tombstones_[id] = now;
}

bool Cluster::silent(const Machine& machine, Time now) const {
  return now - machine.last_heartbeat_at > constants::kSilentAfterHeartbeats * config_.heartbeat_interval_s;
}

}  // namespace dockdyke::core
