// Invariants of PROTOCOL, checked throughout each simulation.
#include "simulation.hpp"

namespace dockdyke::testing {

namespace {

// Returns how many of these tasks of a spread job may be in one zone.
std::size_t half_rounded_up(std::size_t tasks) {
  return (tasks + 1) / 2;
}

}  // namespace

std::string Simulation::describe_task_locations(const std::string& id) const {
  std::string out;
  for (const auto& worker : workers_)
    for (const auto& task : worker->tasks)
      if (task.ref.job.value == id)
        out += ", " + wire::to_string(task.ref) + " attempt " + std::to_string(task.attempt) + " " +
               state_name(task.state) + " on " + worker->id + (worker->terminated_at ? " (terminated)" : "");
  return out;
}

bool Simulation::may_be_active(const SimWorker& worker, const SimTask& task) const {
  return !worker.terminated_at && task.is_active() && !lease_expired(worker);
}

void Simulation::check_task_start(const SimWorker& worker, const SimTask& task) {
  ++task_starts_;
  spdlog::debug("simulation t={:.1f} {} attempt {} starts on {}", elapsed_s(), wire::to_string(task.ref),
                task.attempt, worker.id);
  SimJob& job = jobs_.at(task.ref.job.value);
  ++job.task_starts;
  if (job.cancellation_confirmed_at &&
      seconds_between(*job.cancellation_confirmed_at, loop.now()) > options_.config.cancellation_timeout_s)
    ADD_FAILURE() << "cancelled task " << wire::to_string(task.ref) << " starts";
  wire::Resources used;
  std::map<std::string, std::size_t> zones;
  for (const auto& other : workers_)
    for (const auto& each : other->tasks) {
      if (!may_be_active(*other, each)) continue;
      if (each.ref == task.ref && other.get() != &worker)
        ADD_FAILURE() << "task runs twice: " << wire::to_string(task.ref) << " on " << other->id << " and "
                      << worker.id;
      const auto& other_spec = jobs_.at(each.ref.job.value).spec;
      if (other_spec.team == job.spec.team) used += other_spec.task_resources;
      if (each.ref.job == task.ref.job) ++zones[other->zone];
    }
  for (const auto& team : options_.config.teams)
    if (team.name == job.spec.team && team.quota.cpus > 0 && used.cpus > team.quota.cpus + 1e-6)
      ADD_FAILURE() << "quota exceeded: CPUs used by " << team.name << ": " << used.cpus;
  if (worker.spot && !job.spec.spot_allowed)
    ADD_FAILURE() << "job may not use spot machines: " << wire::to_string(task.ref);
  if (job.spec.zone && *job.spec.zone != worker.zone) ADD_FAILURE() << "task started outside its zone";
  if (job.spec.same_zone && zones.size() > 1) ADD_FAILURE() << "same-zone job started in two zones";
  if (job.spec.spread && zones[worker.zone] > half_rounded_up(job.spec.task_count))
    ADD_FAILURE() << "more than half of a spread job's tasks in one zone";
}

std::optional<net::TimePoint> Simulation::cancellation_deadline(const JobId& id) const {
  const SimJob& job = jobs_.at(id.value);
  if (!job.cancellation_confirmed_at) return std::nullopt;
  return *job.cancellation_confirmed_at + net::seconds(options_.config.cancellation_timeout_s);
}

void Simulation::check_cancelled_tasks() {
  for (const auto& worker : workers_)
    for (const auto& task : worker->tasks) {
      const auto deadline = cancellation_deadline(task.ref.job);
      if (!deadline || !may_be_active(*worker, task)) continue;
      const double left_s = seconds_between(loop.now(), *deadline);
      if (left_s < 0)
        ADD_FAILURE() << "cancelled task still runs: " << wire::to_string(task.ref) << " is on " << worker->id
                      << " " << -left_s << " s after its deadline, t=" << elapsed_s();
      check_cancelled_task_will_end(*worker, task, left_s);
    }
}

void Simulation::check_lease_renewal(const SimWorker& worker) const {
  const auto lease_end = worker.lease_started_at + net::seconds(options_.config.worker_lease_s);
  for (const auto& task : worker.tasks) {
    const auto deadline = cancellation_deadline(task.ref.job);
    const bool ending = task.state == wire::TaskState::exited || task.state == wire::TaskState::checkpointing;
    if (!deadline || ending || lease_end <= *deadline) continue;
    ADD_FAILURE() << "a heartbeat response with token " << worker.token << " renews the lease of "
                  << worker.id << " " << seconds_between(*deadline, lease_end)
                  << " s beyond the deadline of the cancelled task " << wire::to_string(task.ref)
                  << " without stopping it, t=" << elapsed_s();
  }
}

bool Simulation::deletion_recorded(const SimWorker& worker) const {
  return std::any_of(state_service.keys.begin(), state_service.keys.end(), [&](const auto& each) {
    return each.first.starts_with("return/") && each.second.value.dump().find(worker.id) != std::string::npos;
  });
}

void Simulation::check_cancelled_task_will_end(const SimWorker& worker, const SimTask& task,
                                               double left_s) const {
  // Covers the call to the cloud and one retry.
  constexpr double kDeletionTimeSeconds = 2;
  if (left_s < 0 || left_s > kDeletionTimeSeconds || outage_until_ > loop.now()) return;
  const double lease_left_s =
      options_.config.worker_lease_s - seconds_between(worker.lease_started_at, loop.now());
  if (lease_left_s <= left_s || deletion_recorded(worker)) return;
  ADD_FAILURE() << wire::to_string(task.ref) << " is cancelled and on " << worker.id << " with " << left_s
                << " s left, its worker's lease lasts for " << lease_left_s
                << " s, and no deletion is recorded, t=" << elapsed_s();
}

void Simulation::check_waiting_jobs() {
  constexpr double kMaxWaitSeconds = 90;
  std::map<std::string, wire::Resources> used;                       // by team
  std::map<std::string, std::map<std::string, std::size_t>> placed;  // by job and zone
  for (const auto& worker : workers_)
    for (const auto& task : worker->tasks) {
      if (worker->terminated_at || task.state == wire::TaskState::exited) continue;
      const auto& spec = jobs_.at(task.ref.job.value).spec;
      used[spec.team] += spec.task_resources;
      ++placed[spec.id.value][worker->zone];
    }
  for (auto& [id, job] : jobs_) {
    std::size_t placed_or_completed = job.completed_tasks.size();
    for (const auto& [zone, count] : placed[id]) placed_or_completed += count;
    const bool gang = job.spec.kind == wire::JobKind::gang;
    const bool schedulable = job.accepted_at && !job.cancellation_requested &&
                             placed_or_completed < job.spec.task_count &&
                             (gang ? placed_or_completed == 0 && gang_fits(job.spec, used[job.spec.team])
                                   : task_fits(job.spec, used[job.spec.team], placed[id]));
    if (!schedulable) job.schedulable_since.reset();
    if (schedulable && !job.schedulable_since) job.schedulable_since = loop.now();
    if (schedulable && seconds_between(*job.schedulable_since, loop.now()) > kMaxWaitSeconds)
      ADD_FAILURE() << "starved: " << id << " has waited for " << kMaxWaitSeconds << " s although it fits";
  }
}

bool Simulation::task_fits(const wire::JobSpec& spec, wire::Resources used,
                           const std::map<std::string, std::size_t>& zones) const {
  used += spec.task_resources;
  for (const auto& team : options_.config.teams)
    if (team.name == spec.team && team.quota.cpus > 0 && used.cpus > team.quota.cpus + 1e-6) return false;
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& worker) {
    if (worker->terminated_at || worker->booted_at > loop.now() || (worker->spot && !spec.spot_allowed) ||
        (spec.zone && *spec.zone != worker->zone) ||
        (spec.same_zone && !zones.empty() && !zones.contains(worker->zone)))
      return false;
    const auto tasks_in_zone = zones.find(worker->zone);
    if (spec.spread && tasks_in_zone != zones.end() &&
        tasks_in_zone->second >= half_rounded_up(spec.task_count))
      return false;
    wire::Resources free = cloud_type_.size;
    for (const auto& task : worker->tasks)
      if (task.state != wire::TaskState::exited) free -= jobs_.at(task.ref.job.value).spec.task_resources;
    return spec.task_resources.fits_into(free);
  });
}

bool Simulation::gang_fits(const wire::JobSpec& spec, wire::Resources used) const {
  used += spec.task_resources * spec.task_count;
  for (const auto& team : options_.config.teams)
    if (team.name == spec.team && team.quota.cpus > 0 && used.cpus > team.quota.cpus + 1e-6) return false;
  std::map<std::string, std::size_t> fitting_tasks;  // by zone
  for (const auto& worker : workers_) {
    if (worker->terminated_at || worker->booted_at > loop.now() || (worker->spot && !spec.spot_allowed) ||
        (spec.zone && *spec.zone != worker->zone))
      continue;
    wire::Resources free = cloud_type_.size;
    for (const auto& task : worker->tasks)
      if (task.state != wire::TaskState::exited) free -= jobs_.at(task.ref.job.value).spec.task_resources;
    fitting_tasks[worker->zone] += core::tasks_fitting(spec.task_resources, free);
  }
  const std::size_t max_tasks_per_zone = spec.spread ? half_rounded_up(spec.task_count) : spec.task_count;
  std::size_t in_all_zones = 0;
  std::size_t in_best_zone = 0;
  for (const auto& [zone, count] : fitting_tasks) {
    in_all_zones += std::min(count, max_tasks_per_zone);
    in_best_zone = std::max(in_best_zone, count);
  }
  return (spec.same_zone ? in_best_zone : in_all_zones) >= spec.task_count;
}

}  // namespace dockdyke::testing
