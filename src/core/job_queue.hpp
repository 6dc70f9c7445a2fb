// Queue of the waiting jobs, in the order in which they get capacity.
#pragma once

#include <array>
#include <cstddef>
#include <set>
#include <vector>

#include "core/cluster_state.hpp"
#include "core/run_time_estimator.hpp"
#include "core/scheduling_constraints.hpp"
#include "core/time.hpp"

namespace dockdyke::core {

// A waiting job with the properties that determine its position in the queue.
struct QueuedJob {
  Job* job = nullptr;
  bool starving = false;           // no task has started within `kStarvationThresholdSeconds`
  bool latency_critical = false;   // cannot wait a heartbeat round for a machine with a lower cost
  bool within_fair_share = false;  // fits into its team's guaranteed share
  bool slo_achievable = false;     // at least one completion target can still be met
  Time slo_deadline = 0;           // earliest completion target that can be met, else the latest target
  Time earliest_slo_deadline = 0;  // earliest completion target, whether or not it can be met
};

// Groups machines into tiers by preference: spot before on-demand instances, and within each kind machines in
// use before empty ones. The first tiers that together have free CPUs for all waiting tasks are open.
class CapacityTiers {
 public:
  void update(const ClusterState& state, const SchedulingConstraints& constraints,
              const std::vector<QueuedJob>& queue, Time now);
  bool in_open_tier(const Machine& machine) const { return tier_of(machine) <= last_open_tier_; }
  // Returns the smallest amount of each resource that a task of any known job requests.
  const wire::Resources& smallest_task() const { return smallest_task_; }

 private:
  static constexpr std::size_t kTierCount = 4;
  static std::size_t tier_of(const Machine& machine);

  std::size_t last_open_tier_ = 0;
  wire::Resources smallest_task_;
};

// Keeps the waiting jobs sorted. Sorts them again on demand after `invalidate`.
class JobQueue {
 public:
  JobQueue(ClusterState& state, const SchedulingConstraints& constraints,
           const RunTimeEstimator& run_time_estimator);

  // Returns the waiting jobs in queue order. A stale queue is sorted first; a long one at most once per
  // `kQueueSortIntervalSeconds`.
  const std::vector<QueuedJob>& ordered(Time now);
  void invalidate() { stale_ = true; }
  bool stale() const { return stale_; }
  // Removes the job from the queue without sorting again. To be called before the job is destroyed.
  void remove(const Job& job);

  // Returns whether the job fit into its team's guaranteed share when the queue was last sorted. Covers jobs
  // without waiting tasks too.
  bool within_fair_share(const Job& job) const { return within_fair_share_.contains(job.spec.id); }
  const CapacityTiers& tiers() const { return tiers_; }

 private:
  void sort(Time now);
  std::vector<Job*> unfinished_jobs();
  // Finds the jobs that fit into their team's guaranteed share together with all unfinished jobs that the
  // team submitted before.
  void update_jobs_within_fair_share(std::vector<Job*>& unfinished);
  QueuedJob make_queued_job(Job& job, Time now) const;
  bool starving(const Job& job, Time now) const;

  ClusterState& state_;
  const SchedulingConstraints& constraints_;
  const RunTimeEstimator& run_time_estimator_;
  std::vector<QueuedJob> queue_;
  std::set<JobId> within_fair_share_;
  CapacityTiers tiers_;
  Time sorted_at_ = 0;
  bool stale_ = true;
};

}  // namespace dockdyke::core
