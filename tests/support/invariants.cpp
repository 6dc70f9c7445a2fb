// PROTOCOL's rules, checked at every start and step.
#include "simulation.hpp"

namespace dockdyke::testing {

std::string Simulation::places_of(const std::string& id) const {
  std::string out;
  for (const auto& worker : workers_)
    for (const auto& task : worker->tasks)
      if (task.ref.job.value == id)
        out += ", " + wire::to_string(task.ref) + " try " + std::to_string(task.attempt) + " " +
               spelled(task.state) + " on " + worker->id + (worker->gone_at ? " (gone)" : "");
  return out;
}

bool Simulation::on(const SimWorker& worker, const HeldTask& task) const {
  return !worker.gone_at && task.on_machine() && !lease_over(worker);
}

void Simulation::started(const SimWorker& here, const HeldTask& task) {
  ++starts_;
  spdlog::debug("simulation t={:.1f} {} try {} starts on {}", time(), wire::to_string(task.ref), task.attempt,
                here.id);
  const SimJob& job = jobs_.at(task.ref.job.value);
  if (job.cancelled_at &&
      seconds_between(*job.cancelled_at, loop.now()) > options_.config.cancellation_timeout_s)
    ADD_FAILURE() << "ran_cancelled: " << wire::to_string(task.ref) << " starts";
  wire::Resources used;
  std::map<std::string, std::size_t> zones;
  for (const auto& worker : workers_)
    for (const auto& each : worker->tasks) {
      if (!on(*worker, each)) continue;
      if (each.ref == task.ref && worker.get() != &here)
        ADD_FAILURE() << "ran_twice: " << wire::to_string(task.ref) << " on " << worker->id << " and "
                      << here.id;
      const auto& other = jobs_.at(each.ref.job.value).spec;
      if (other.team == job.spec.team) used += other.task_resources;
      if (each.ref.job == task.ref.job) ++zones[worker->zone];
    }
  for (const auto& team : options_.config.teams)
    if (team.name == job.spec.team && team.quota.cpus > 0 && used.cpus > team.quota.cpus + 1e-6)
      ADD_FAILURE() << "quota: " << team.name << " uses " << used.cpus;
  if (here.spot && !job.spec.spot_allowed) ADD_FAILURE() << "wrong_place: " << wire::to_string(task.ref);
  if (job.spec.zone && *job.spec.zone != here.zone) ADD_FAILURE() << "wrong_place: zone";
  if (job.spec.same_zone && zones.size() > 1) ADD_FAILURE() << "wrong_place: two zones";
  const std::size_t most = (static_cast<std::size_t>(job.spec.task_count) + 1) / 2;
  if (job.spec.spread && zones[here.zone] > most) ADD_FAILURE() << "wrong_place: not spread";
}

std::optional<net::TimePoint> Simulation::cancellation_deadline(const JobId& id) const {
  const SimJob& job = jobs_.at(id.value);
  if (!job.cancelled_at) return std::nullopt;
  return *job.cancelled_at + net::seconds(options_.config.cancellation_timeout_s);
}

void Simulation::check_cancelled() {
  for (const auto& worker : workers_)
    for (const auto& task : worker->tasks) {
      const auto deadline = cancellation_deadline(task.ref.job);
      if (!deadline || !on(*worker, task)) continue;
      const double left_s = seconds_between(loop.now(), *deadline);
      if (left_s < 0)
        ADD_FAILURE() << "ran_cancelled: " << wire::to_string(task.ref) << " is on " << worker->id << " "
                      << -left_s << " s after it had to be gone, t=" << time();
      check_cancelled_task_is_ending(*worker, task, left_s);
    }
}

void Simulation::check_renewal(const SimWorker& worker) const {
  const auto lease_end = worker.lease_from + net::seconds(options_.config.worker_lease_s);
  for (const auto& task : worker.tasks) {
    const auto deadline = cancellation_deadline(task.ref.job);
    const bool ending = task.state == wire::TaskState::exited || task.state == wire::TaskState::checkpointing;
    if (!deadline || ending || lease_end <= *deadline) continue;
    ADD_FAILURE() << "an answer under token " << worker.token << " renews the lease of " << worker.id << " "
                  << seconds_between(*deadline, lease_end) << " s beyond the time of the cancelled task "
                  << wire::to_string(task.ref) << " without a stop for it, t=" << time();
  }
}

bool Simulation::deletion_recorded(const SimWorker& worker) const {
  return std::any_of(store.keys.begin(), store.keys.end(), [&](const auto& each) {
    return each.first.starts_with("return/") && each.second.value.dump().find(worker.id) != std::string::npos;
  });
}

void Simulation::check_cancelled_task_is_ending(const SimWorker& worker, const HeldTask& task,
                                                double left_s) const {
  // The call of the cloud and one repetition of it.
  constexpr double kDeletionTimeS = 2;
  if (left_s < 0 || left_s > kDeletionTimeS || outage_until_ > loop.now()) return;
  const double lease_left_s = options_.config.worker_lease_s - seconds_between(worker.lease_from, loop.now());
  if (lease_left_s <= left_s || deletion_recorded(worker)) return;
  ADD_FAILURE() << wire::to_string(task.ref) << " is cancelled and on " << worker.id << " with " << left_s
                << " s left, its worker's lease lasts for " << lease_left_s
                << " s, and no deletion is on record, t=" << time();
}

void Simulation::check_waiting() {
  constexpr double kMostS = 90;
  std::map<std::string, wire::Resources> used;                       // by team
  std::map<std::string, std::map<std::string, std::size_t>> placed;  // by job and zone
  for (const auto& worker : workers_)
    for (const auto& task : worker->tasks) {
      if (worker->gone_at || task.state == wire::TaskState::exited) continue;
      const auto& spec = jobs_.at(task.ref.job.value).spec;
      used[spec.team] += spec.task_resources;
      ++placed[spec.id.value][worker->zone];
    }
  for (auto& [id, job] : jobs_) {
    std::size_t there = job.completed.size();
    for (const auto& [zone, count] : placed[id]) there += count;
    const bool gang = job.spec.kind == wire::JobKind::gang;
    const bool waits = job.accepted_at && !job.cancel_asked && there < job.spec.task_count &&
                       (gang ? there == 0 && has_room_for_gang(job.spec, used[job.spec.team])
                             : has_room(job.spec, used[job.spec.team], placed[id]));
    if (!waits) job.waits_since.reset();
    if (waits && !job.waits_since) job.waits_since = loop.now();
    if (waits && seconds_between(*job.waits_since, loop.now()) > kMostS)
      ADD_FAILURE() << "neglected: " << id << " has waited for " << kMostS << " s beside room for it";
  }
}

bool Simulation::has_room(const wire::JobSpec& spec, wire::Resources used,
                          const std::map<std::string, std::size_t>& zones) const {
  used += spec.task_resources;
  for (const auto& team : options_.config.teams)
    if (team.name == spec.team && team.quota.cpus > 0 && used.cpus > team.quota.cpus + 1e-6) return false;
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& worker) {
    if (worker->gone_at || worker->up_at > loop.now() || (worker->spot && !spec.spot_allowed) ||
        (spec.zone && *spec.zone != worker->zone) ||
        (spec.same_zone && !zones.empty() && !zones.contains(worker->zone)))
      return false;
    const auto here = zones.find(worker->zone);
    if (spec.spread && here != zones.end() && here->second >= (std::size_t{spec.task_count} + 1) / 2)
      return false;
    wire::Resources left = cloud_type_.size;
    for (const auto& task : worker->tasks)
      if (task.state != wire::TaskState::exited) left -= jobs_.at(task.ref.job.value).spec.task_resources;
    return spec.task_resources.fits_into(left);
  });
}

bool Simulation::has_room_for_gang(const wire::JobSpec& spec, wire::Resources used) const {
  used += spec.task_resources * spec.task_count;
  for (const auto& team : options_.config.teams)
    if (team.name == spec.team && team.quota.cpus > 0 && used.cpus > team.quota.cpus + 1e-6) return false;
  std::map<std::string, std::size_t> fits;  // by zone
  for (const auto& worker : workers_) {
    if (worker->gone_at || worker->up_at > loop.now() || (worker->spot && !spec.spot_allowed) ||
        (spec.zone && *spec.zone != worker->zone))
      continue;
    wire::Resources left = cloud_type_.size;
    for (const auto& task : worker->tasks)
      if (task.state != wire::TaskState::exited) left -= jobs_.at(task.ref.job.value).spec.task_resources;
    fits[worker->zone] += core::tasks_fitting(spec.task_resources, left);
  }
  const std::size_t most_per_zone = spec.spread ? (std::size_t{spec.task_count} + 1) / 2 : spec.task_count;
  std::size_t sum = 0;
  std::size_t most = 0;
  for (const auto& [zone, count] : fits) {
    sum += std::min(count, most_per_zone);
    most = std::max(most, count);
  }
  return (spec.same_zone ? most : sum) >= spec.task_count;
}

}  // namespace dockdyke::testing
