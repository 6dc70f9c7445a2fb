#include "core/job_queue.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>

#include "constants.hpp"
#include "core/objectives.hpp"
#include "core/smallest_request.hpp"

namespace dockdyke::core {

// ---- Tiers ------------------------------------------------------------------------------------------------

std::size_t CapacityTiers::tier_of(const Machine& machine) {
  return (machine.spot ? 0 : 2) + (machine.assignments.empty() ? 1 : 0);
}

void CapacityTiers::update(const ClusterState& state, const SchedulingConstraints& constraints,
                           const std::vector<QueuedJob>& queue, Time now) {
  double waiting_cpus = 0;
  for (const auto& queued : queue)
    waiting_cpus += queued.job->waiting_tasks() * queued.job->spec.task_resources.cpus;
  SmallestRequest smallest;
  for (const auto& [id, job] : state.jobs()) smallest.add(job.spec.task_resources);
  smallest_task_ = smallest.resources();
  std::array<double, kTiers> free_cpus{};
  for (const auto& [id, machine] : state.machines()) {
    if (!state.type_of(machine) || !constraints.accepts_work(machine, now)) continue;
    const auto free = constraints.free_capacity(machine);
    if (smallest_task_.fits_into(free)) free_cpus[tier_of(machine)] += free.cpus;
  }
  open_tier_ = 0;
  double open_cpus = free_cpus[0];
  while (open_tier_ + 1 < kTiers && open_cpus < waiting_cpus) open_cpus += free_cpus[++open_tier_];
}

// ---- Queue ------------------------------------------------------------------------------------------------

namespace {

// Starving jobs come first, whatever their priority, the longest waiting one ahead. Within a priority the due
// time of the first objective decides and no job is put off: jobs that could not meet it stood behind all
// others and missed by minutes, and in a large fleet no single job's work is enough to save another. Latest
// start times (due times less run times) keep short jobs waiting and were worse for both.
auto queue_position(const QueuedJob& queued) {
  const Job& job = *queued.job;
  if (queued.starving) return std::tuple(0, 0, job.submitted_at, job.serial);
  return std::tuple(queued.within_fair_share ? 1 : 2, -static_cast<int>(job.spec.priority),
                    queued.first_slo_deadline, job.serial);
}

}  // namespace

JobQueue::JobQueue(ClusterState& state, const SchedulingConstraints& constraints,
                   const RunTimeEstimator& run_time_estimator)
    : state_(state), constraints_(constraints), run_time_estimator_(run_time_estimator) {}

const std::vector<QueuedJob>& JobQueue::ordered(Time now) {
  const bool short_queue = order_.size() < constants::kSmallQueueSize;
  if (stale_ && (short_queue || now - ordered_at_ >= constants::kQueueSortIntervalSeconds)) reorder(now);
  return order_;
}

void JobQueue::remove(const Job& job) {
  std::erase_if(order_, [&](const QueuedJob& queued) { return queued.job == &job; });
}

std::vector<Job*> JobQueue::unfinished_jobs() {
  std::vector<Job*> unfinished;
  for (auto& [id, job] : state_.jobs())
    if (job.unfinished()) unfinished.push_back(&job);
  return unfinished;
}

void JobQueue::find_jobs_within_fair_share(std::vector<Job*>& unfinished) {
  within_fair_share_.clear();
  const auto& teams = state_.config().teams;
  const bool any_share =
      std::any_of(teams.begin(), teams.end(), [](const Team& team) { return team.has_guaranteed_share(); });
  if (!any_share) return;
  std::sort(unfinished.begin(), unfinished.end(),
            [](const Job* a, const Job* b) { return a->submitted_at < b->submitted_at; });
  std::map<std::string, wire::Resources> claimed;
  for (const Job* job : unfinished) {
    const Team* team = state_.config().find_team(job->spec.team);
    if (!team || !team->has_guaranteed_share()) continue;
    auto& sum = claimed[job->spec.team];
    sum += job->spec.task_resources * static_cast<double>(job->spec.task_count - job->done_count);
    if (sum.cpus <= team->guaranteed_share.cpus && sum.gpus <= team->guaranteed_share.gpus)
      within_fair_share_.insert(job->spec.id);
  }
}

bool JobQueue::starving(const Job& job, Time now) const {
  return !job.started && job.assignments.empty() &&
         now - job.submitted_at >= constants::kStarvationThresholdSeconds;
}

QueuedJob JobQueue::assess(Job& job, Time now) const {
  QueuedJob queued;
  queued.job = &job;
  queued.within_fair_share = within_fair_share(job);
  queued.starving = starving(job, now);
  const auto targets = completion_targets_s(state_.config(), job);
  const auto reachable = std::find_if(targets.begin(), targets.end(), [&](double target_s) {
    return now + job.expected_run_s <= job.submitted_at + target_s;
  });
  queued.slo_reachable = reachable != targets.end();
  queued.slo_deadline = job.submitted_at + (queued.slo_reachable ? *reachable : targets.back());
  queued.first_slo_deadline = job.submitted_at + targets.front();
  const double round_s = constraints_.heartbeat_round_s();
  const auto start_s = start_target_s(state_.config(), job.spec.job_class);
  const bool start_counts = start_s && *start_s < 2 * round_s;
  const double slack_s = queued.slo_deadline - now - job.expected_run_s;
  queued.latency_critical =
      start_counts || !queued.slo_reachable || slack_s < constants::kLatencyCriticalRoundFactor * round_s;
  return queued;
}

void JobQueue::reorder(Time now) {
  stale_ = false;
  ordered_at_ = now;
  order_.clear();
  auto unfinished = unfinished_jobs();
  state_.count_scanned(unfinished.size());
  find_jobs_within_fair_share(unfinished);
  for (Job* job : unfinished) {
    job->expected_run_s = run_time_estimator_.expected(job->spec.job_class, job->spec.estimated_run_s);
    if (job->waiting_tasks() > 0) order_.push_back(assess(*job, now));
  }
  std::sort(order_.begin(), order_.end(),
            [](const QueuedJob& a, const QueuedJob& b) { return queue_position(a) < queue_position(b); });
  tiers_.update(state_, constraints_, order_, now);
}

}  // namespace dockdyke::core
