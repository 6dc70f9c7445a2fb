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

// ---- Assignment pass --------------------------------------------------------------------------------------

void TaskPlacer::assign_tasks(Time now) {
  if (!state_.assignment_pass_requested()) return;
  state_.request_assignment_pass(false);
  if (state_.awaiting_response().empty()) return;  // the next heartbeat requests another pass
  const auto& queue = queue_.ordered(now);
  Pass pass = begin_pass(queue, now);
  if (!pass.machines.empty()) {
    // First places jobs on machines that have their image, and jobs that cannot wait; then all other jobs.
    for (const bool allow_image_fetch : {false, true}) {
      process_queue(queue, pass, allow_image_fetch, now);
      if (pass.assigned < constants::kMaxAssignmentsPerPass) continue;
      state_.request_assignment_pass();
      return;
    }
  }
  state_.request_assignment_pass(queue_.stale());  // the queue does not reflect the latest changes yet
}

TaskPlacer::Pass TaskPlacer::begin_pass(const std::vector<QueuedJob>& queue, Time now) {
  SmallestRequest smallest;
  for (const auto& queued : queue) smallest.add(queued.job->spec.task_resources);
  Pass pass;
  pass.smallest_task = smallest.resources();
  pass.largest_free.resize(state_.types().size());
  // Full machines are skipped here once, instead of once per job.
  for (Machine* machine : state_.awaiting_response()) {
    state_.count_scanned(1);
    if (machine->type_number >= state_.types().size()) continue;
    const auto free = constraints_.free_capacity(*machine);
    if (!free.may_fit(pass.smallest_task) || !constraints_.accepts_work(*machine, now)) continue;
    auto& largest = pass.largest_free[machine->type_number];
    largest.machine_size = free.machine_size;
    largest.resources = {std::max(largest.resources.cpus, free.resources.cpus),
                         std::max(largest.resources.gpus, free.resources.gpus),
                         std::max(largest.resources.memory_gb, free.resources.memory_gb)};
    largest.task_slots = std::max(largest.task_slots, free.task_slots);
    pass.machines.push_back(machine);
  }
  return pass;
}

bool TaskPlacer::may_fit(const Job& job, const Pass& pass) const {
  for (std::size_t type = 0; type < pass.largest_free.size(); ++type)
    if (job.compatible_with(type) && pass.largest_free[type].fits(job.spec.task_resources)) return true;
  return false;
}

void TaskPlacer::process_queue(const std::vector<QueuedJob>& queue, Pass& pass, bool allow_image_fetch,
                               Time now) {
  for (const auto& queued : queue) {
    Job& job = *queued.job;
    state_.count_scanned(1);
    if (job.waiting_tasks() == 0 || now < job.backoff_ends_at || !may_fit(job, pass)) continue;
    if (job.is_gang()) {
      if (!allow_image_fetch) gang_scheduler_.assign(job, pass.machines, now);
      continue;
    }
    const bool waited_for_image = now - job.queued_at >= constants::kImageLocalityDelaySeconds;
    const std::size_t limit = constants::kMaxAssignmentsPerPass - pass.assigned;
    const std::size_t assigned = assign_job(
        queued, pass.machines, allow_image_fetch || queued.latency_critical || waited_for_image, limit, now);
    pass.assigned += assigned;
    if (assigned > 0)
      std::erase_if(pass.machines, [&](const Machine* machine) {
        return !constraints_.free_capacity(*machine).may_fit(pass.smallest_task);
      });
    if (pass.assigned >= constants::kMaxAssignmentsPerPass) return;
  }
}

// ---- Assignment of a job ----------------------------------------------------------------------------------

std::vector<TaskPlacer::Candidate> TaskPlacer::find_candidates(const QueuedJob& queued,
                                                               const std::vector<Machine*>& machines,
                                                               bool allow_image_fetch, Time now) {
  const Job& job = *queued.job;
  const auto& image = job.spec.image;
  const auto avoided = scarce_types_.types_to_avoid(queued, now);
  const double largest_cpus = state_.largest_cpus();
  // Every machine sends a heartbeat within one round, so a job that can wait uses open tiers only. Otherwise
  // light load would spread over the whole fleet and prevent scale-in.
  const double waited_s = now - job.queued_at;
  const bool open_tiers_only =
      !queued.latency_critical && job.spec.spot_allowed && waited_s < constraints_.heartbeat_round_s();
  std::vector<Candidate> candidates;
  for (Machine* machine : machines) {
    state_.count_scanned(1);
    if (avoided.contains(machine->type_number) || machine->reserved_for_other(job, now)) continue;
    if (open_tiers_only && !queue_.tiers().in_open_tier(*machine)) continue;
    if (!allow_image_fetch && !machine->has_image(image) && !machine->has_task_with_image(image)) continue;
    if (const auto cost = cost_.compute(job, *machine, largest_cpus)) candidates.push_back({*cost, machine});
  }
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
    return std::tie(a.cost, a.machine->id) < std::tie(b.cost, b.machine->id);
  });
  return candidates;
}

std::size_t TaskPlacer::assign_job(const QueuedJob& queued, const std::vector<Machine*>& machines,
                                   bool allow_image_fetch, std::size_t limit, Time now) {
  Job& job = *queued.job;
  job.allow_failed_machines_if_at_fault();
  // A starving job gets one task; after that it is no longer starving and keeps its normal queue position.
  if (queued.starving) limit = std::min<std::size_t>(1, limit);
  limit = std::min(limit, constraints_.quota_headroom(job));
  const auto candidates = find_candidates(queued, machines, allow_image_fetch, now);
  auto zones = constraints_.zone_capacity(job);
  std::size_t assigned = 0;
  for (const auto& [cost, machine] : candidates) {
    // Fills one machine before the next, so that one image fetch serves as many tasks as possible.
    while (assigned < limit && job.waiting_tasks() > 0 && has_zone_capacity(zones, machine->zone) &&
           constraints_.free_capacity(*machine).fits(job.spec.task_resources)) {
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
