#include "core/task_placer.hpp"

#include <algorithm>
#include <tuple>

#include "constants.hpp"
#include "core/smallest_request.hpp"

namespace dockdyke::core {

TaskPlacer::TaskPlacer(ClusterState& state, const SchedulingConstraints& constraints, JobQueue& queue,
                       TaskLog& task_log, const ScarceTypes& scarce_types, GangScheduler& gang_scheduler)
    : state_(state),
      constraints_(constraints),
      cost_(state, constraints),
      queue_(queue),
      task_log_(task_log),
      scarce_types_(scarce_types),
      gang_scheduler_(gang_scheduler) {}

// ---- A pass -----------------------------------------------------------------------------------------------

void TaskPlacer::assign_tasks(Time now) {
  if (!state_.assignment_pass_requested()) return;
  state_.request_assignment_pass(false);
  if (state_.awaiting_response().empty()) return;  // the next heartbeat requests another pass
  const auto& queue = queue_.ordered(now);
  Pass pass = begin_pass(queue, now);
  if (!pass.machines.empty()) {
    // First jobs whose image is there and those that can't wait for one; then whoever is next.
    for (const bool any_image : {false, true}) {
      serve_queue(queue, pass, any_image, now);
      if (pass.assigned < constants::kMaxAssignmentsPerPass) continue;
      state_.request_assignment_pass();
      return;
    }
  }
  state_.request_assignment_pass(queue_.stale());  // some job is not in the queue yet
}

TaskPlacer::Pass TaskPlacer::begin_pass(const std::vector<QueuedJob>& queue, Time now) {
  SmallestRequest smallest;
  for (const auto& queued : queue) smallest.add(queued.job->spec.task_resources);
  Pass pass;
  pass.smallest_task = smallest.resources();
  pass.largest_free.resize(state_.types().size());
  // Once for all jobs: looked at for each of them again, full machines took most of a large fleet's processor
  // time.
  for (Machine* machine : state_.awaiting_response()) {
    state_.count_scanned(1);
    if (machine->type_number >= state_.types().size()) continue;
    const auto free = constraints_.free_capacity(*machine);
    if (!pass.smallest_task.fits_into(free) || !constraints_.accepts_work(*machine, now)) continue;
    auto& largest = pass.largest_free[machine->type_number];
    largest = {std::max(largest.cpus, free.cpus), std::max(largest.gpus, free.gpus),
               std::max(largest.memory_gb, free.memory_gb)};
    pass.machines.push_back(machine);
  }
  return pass;
}

bool TaskPlacer::may_fit(const Job& job, const Pass& pass) const {
  for (std::size_t type = 0; type < pass.largest_free.size(); ++type)
    if (job.compatible_with(type) && job.spec.task_resources.fits_into(pass.largest_free[type])) return true;
  return false;
}

void TaskPlacer::serve_queue(const std::vector<QueuedJob>& queue, Pass& pass, bool any_image, Time now) {
  for (const auto& queued : queue) {
    Job& job = *queued.job;
    state_.count_scanned(1);
    if (job.waiting_tasks() == 0 || now < job.backoff_ends_at || !may_fit(job, pass)) continue;
    if (job.is_gang()) {
      if (!any_image) gang_scheduler_.assign(job, pass.machines, now);
      continue;
    }
    const bool waited_for_image = now - job.queued_at >= constants::kImageLocalityDelaySeconds;
    const std::size_t limit = constants::kMaxAssignmentsPerPass - pass.assigned;
    const std::size_t assigned = assign_job(
        queued, pass.machines, any_image || queued.latency_critical || waited_for_image, limit, now);
    pass.assigned += assigned;
    if (assigned > 0)
      std::erase_if(pass.machines, [&](const Machine* machine) {
        return !pass.smallest_task.fits_into(constraints_.free_capacity(*machine));
      });
    if (pass.assigned >= constants::kMaxAssignmentsPerPass) return;
  }
}

// ---- A job ------------------------------------------------------------------------------------------------

std::vector<TaskPlacer::Candidate> TaskPlacer::find_candidates(const QueuedJob& queued,
                                                               const std::vector<Machine*>& machines,
                                                               bool any_image, Time now) {
  const Job& job = *queued.job;
  const auto& image = job.spec.image;
  const auto avoided = scarce_types_.types_to_avoid(queued, now);
  const double largest_cpus = state_.largest_cpus();
  // Within a round all machines send a heartbeat, and the better ones among them may suffice. Strewn over
  // whatever came first, the work of a quiet hour kept the whole fleet up.
  const double waited_s = now - job.queued_at;
  const bool wait_for_better =
      !queued.latency_critical && job.spec.spot_allowed && waited_s < constraints_.heartbeat_round_s();
  std::vector<Candidate> candidates;
  for (Machine* machine : machines) {
    state_.count_scanned(1);
    if (avoided.contains(machine->type_number) || machine->reserved_for_other(job, now)) continue;
    if (wait_for_better && !queue_.tiers().open(*machine)) continue;
    if (!any_image && !machine->has_image(image) && !machine->has_task_with_image(image)) continue;
    if (const auto cost = cost_.of(job, *machine, largest_cpus)) candidates.push_back({*cost, machine});
  }
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
    return std::tie(a.cost, a.machine->id) < std::tie(b.cost, b.machine->id);
  });
  return candidates;
}

std::size_t TaskPlacer::assign_job(const QueuedJob& queued, const std::vector<Machine*>& machines,
                                   bool any_image, std::size_t limit, Time now) {
  Job& job = *queued.job;
  // A job that failed on every machine in reach starts over with all of them.
  if (job.failed_machines.size() >= constants::kSuspectJobMachineThreshold) job.failed_machines.clear();
  // Of a starving job the first task is what counts; with the rest it stands in the queue.
  if (queued.starving) limit = std::min<std::size_t>(1, limit);
  limit = std::min(limit, constraints_.quota_headroom(job));
  const auto candidates = find_candidates(queued, machines, any_image, now);
  auto zones = constraints_.zone_capacity(job);
  std::size_t assigned = 0;
  for (const auto& [cost, machine] : candidates) {
    // A machine is filled before the next is begun: one fetch of the image serves all its tasks.
    while (assigned < limit && job.waiting_tasks() > 0 && has_zone_capacity(zones, machine->zone) &&
           job.spec.task_resources.fits_into(constraints_.free_capacity(*machine))) {
      assign_next_task(job, *machine, now);
      ++assigned;
      if (zones) zones = constraints_.zone_capacity(job);
    }
    if (assigned == limit || job.waiting_tasks() == 0) break;
  }
  return assigned;
}

void TaskPlacer::assign_next_task(Job& job, Machine& machine, Time now) {
  TaskIndex index = 0;
  if (!job.requeued.empty()) {
    index = *job.requeued.begin();
    job.requeued.erase(job.requeued.begin());
  } else {
    index = job.next_unattempted++;
  }
  task_log_.mark_unpersisted(job, index);
  task_log_.request_segment();
  TaskAssignment assignment;
  assignment.machine = &machine;
  assignment.attempt = ++job.tasks[index].attempt;
  assignment.assigned_at = now;
  state_.begin_assignment(job, index, assignment);
}

}  // namespace dockdyke::core
