#include "core/job_queue.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>

#include "constants.hpp"
#include "core/objectives.hpp"
#include "core/smallest_request.hpp"

namespace dockdyke::core {

// ---- Capacity tiers ---------------------------------------------------------------------------------------

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
  std::array<double, kTierCount> free_cpus{};
  for (const auto& [id, machine] : state.machines()) {
    if (!state.type_of(machine) || !constraints.accepts_work(machine, now)) continue;
    const auto free = constraints.free_capacity(machine);
    if (free.may_fit(smallest_task_)) free_cpus[tier_of(machine)] += free.resources.cpus;
  }
  last_open_tier_ = 0;
  double open_cpus = free_cpus[0];
  while (last_open_tier_ + 1 < kTierCount && open_cpus < waiting_cpus)
    open_cpus += free_cpus[++last_open_tier_];
}

// ---- Job queue --------------------------------------------------------------------------------------------

namespace {

// Returns the sort key of a waiting job. Starving jobs come first, in the order of their submission. The
// others are sorted by fair share, priority and earliest SLO deadline. A job that can no longer meet that
// deadline keeps its position, so that it does not finish even later: in a large fleet no single job's work
// is enough to save another. Ordering by latest start times would keep short jobs waiting.
auto sort_key(const QueuedJob& queued) {
  const Job& job = *queued.job;
  if (queued.starving) return std::tuple(0, 0, job.submitted_at, job.serial);
  return std::tuple(queued.within_fair_share ? 1 : 2, -static_cast<int>(job.spec.priority),
                    queued.earliest_slo_deadline, job.serial);
}

}  // namespace

JobQueue::JobQueue(ClusterState& state, const SchedulingConstraints& constraints,
                   const RunTimeEstimator& run_time_estimator)
    : state_(state), constraints_(constraints), run_time_estimator_(run_time_estimator) {}

const std::vector<QueuedJob>& JobQueue::ordered(Time now) {
  const bool short_queue = queue_.size() < constants::kSmallQueueSize;
  if (stale_ && (short_queue || now - sorted_at_ >= constants::kQueueSortIntervalSeconds)) sort(now);
  return queue_;
}

void JobQueue::remove(const Job& job) {
  std::erase_if(queue_, [&](const QueuedJob& queued) { return queued.job == &job; });
}

std::vector<Job*> JobQueue::unfinished_jobs() {
  std::vector<Job*> unfinished;
  for (auto& [id, job] : state_.jobs())
    if (job.unfinished()) unfinished.push_back(&job);
  return unfinished;
}

void JobQueue::update_jobs_within_fair_share(std::vector<Job*>& unfinished) {
  within_fair_share_.clear();
  const auto& teams = state_.config().teams;
  const bool any_guaranteed_share =
      std::any_of(teams.begin(), teams.end(), [](const Team& team) { return team.has_guaranteed_share(); });
  if (!any_guaranteed_share) return;
  std::sort(unfinished.begin(), unfinished.end(),
            [](const Job* a, const Job* b) { return a->submitted_at < b->submitted_at; });
  std::map<std::string, wire::Resources> team_demand;
  for (const Job* job : unfinished) {
    const Team* team = state_.config().find_team(job->spec.team);
    if (!team || !team->has_guaranteed_share()) continue;
    auto& demand = team_demand[job->spec.team];
    demand += job->spec.task_resources * static_cast<double>(job->spec.task_count - job->done_count);
    if (demand.cpus <= team->guaranteed_share.cpus && demand.gpus <= team->guaranteed_share.gpus)
      within_fair_share_.insert(job->spec.id);
  }
}

bool JobQueue::starving(const Job& job, Time now) const {
  return !job.started && job.assignments.empty() &&
         now - job.submitted_at >= constants::kStarvationThresholdSeconds;
}

QueuedJob JobQueue::make_queued_job(Job& job, Time now) const {
  QueuedJob queued;
  queued.job = &job;
  queued.within_fair_share = within_fair_share(job);
  queued.starving = starving(job, now);
  const auto targets = completion_targets_s(state_.config(), job);
  const auto achievable = std::find_if(targets.begin(), targets.end(), [&](double target_s) {
    return now + job.expected_run_s <= job.submitted_at + target_s;
  });
  queued.slo_achievable = achievable != targets.end();
  queued.slo_deadline = job.submitted_at + (queued.slo_achievable ? *achievable : targets.back());
  queued.earliest_slo_deadline = job.submitted_at + targets.front();
  const double round_s = constraints_.heartbeat_round_s();
  const auto start_target = start_target_s(state_.config(), job.spec.job_class);
  const bool start_critical = start_target && *start_target < 2 * round_s;
  const double slack_s = queued.slo_deadline - now - job.expected_run_s;
  queued.latency_critical =
      start_critical || !queued.slo_achievable || slack_s < constants::kLatencyCriticalRoundFactor * round_s;
  return queued;
}

void JobQueue::sort(Time now) {
  stale_ = false;
  sorted_at_ = now;
  queue_.clear();
  auto unfinished = unfinished_jobs();
  state_.count_scanned(unfinished.size());
  update_jobs_within_fair_share(unfinished);
  for (Job* job : unfinished) {
    job->expected_run_s = run_time_estimator_.expected_run_s(job->spec.job_class, job->spec.estimated_run_s);
    if (job->waiting_tasks() > 0) queue_.push_back(make_queued_job(*job, now));
  }
  std::sort(queue_.begin(), queue_.end(),
            [](const QueuedJob& a, const QueuedJob& b) { return sort_key(a) < sort_key(b); });
  tiers_.update(state_, constraints_, queue_, now);
}

}  // namespace dockdyke::core
