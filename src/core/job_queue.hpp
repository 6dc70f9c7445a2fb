// The order in which waiting jobs are served.
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

// A waiting job with the reasons for its place in the queue.
struct QueuedJob {
  Job* job = nullptr;
  bool starving = false;           // no task of it has started for far too long
  bool latency_critical = false;   // it can't wait a round of heartbeats for a better machine
  bool within_fair_share = false;  // it fits into its team's guaranteed share
  bool slo_reachable = false;      // some objective of it can still be met
  Time slo_deadline = 0;           // when the nearest of those wants it done
  Time first_slo_deadline = 0;     // when its first objective wanted it done
};

// Machines by how gladly they are filled: those in use before empty ones, spot before on-demand. The tiers up
// to the open one have capacity for all that waits.
class CapacityTiers {
 public:
  void update(const ClusterState& state, const SchedulingConstraints& constraints,
              const std::vector<QueuedJob>& queue, Time now);
  bool open(const Machine& machine) const { return tier_of(machine) <= open_tier_; }
  // The smallest amounts that a task of any known job needs.
  const wire::Resources& smallest_task() const { return smallest_task_; }

 private:
  static constexpr std::size_t kTiers = 4;
  static std::size_t tier_of(const Machine& machine);

  std::size_t open_tier_ = 0;
  wire::Resources smallest_task_;
};

class JobQueue {
 public:
  JobQueue(ClusterState& state, const SchedulingConstraints& constraints,
           const RunTimeEstimator& run_time_estimator);

  // The waiting jobs in the order in which they are to be served. Ordered anew when it is stale, and in a
  // long queue not before `kQueueSortIntervalSeconds` has passed.
  const std::vector<QueuedJob>& ordered(Time now);
  void invalidate() { stale_ = true; }
  bool stale() const { return stale_; }
  // The job is about to be removed.
  void remove(const Job& job);

  // By the last order. Jobs that wait for nothing count as well.
  bool within_fair_share(const Job& job) const { return within_fair_share_.contains(job.spec.id); }
  const CapacityTiers& tiers() const { return tiers_; }

 private:
  void reorder(Time now);
  std::vector<Job*> unfinished_jobs();
  // A job is within its team's guaranteed share if it fits into it along with the team's earlier unfinished
  // jobs.
  void find_jobs_within_fair_share(std::vector<Job*>& unfinished);
  QueuedJob assess(Job& job, Time now) const;
  bool starving(const Job& job, Time now) const;

  ClusterState& state_;
  const SchedulingConstraints& constraints_;
  const RunTimeEstimator& run_time_estimator_;
  std::vector<QueuedJob> order_;
  std::set<JobId> within_fair_share_;
  CapacityTiers tiers_;
  Time ordered_at_ = 0;
  bool stale_ = true;
};

}  // namespace dockdyke::core
