// Tests of the queue order of waiting jobs.
#include "core/job_queue.hpp"

#include <gtest/gtest.h>

#include "cluster_fixture.hpp"
#include "constants.hpp"

namespace dockdyke::testing {

class JobQueueTest : public ::testing::Test {
 protected:
  static ClusterConfig config_with_guaranteed_share() {
    auto config = cluster_config();
    config.teams[1].guaranteed_share.cpus = 8;
    return config;
  }

  JobQueueTest() { state.update_types({small_machine_type()}); }

  Job& add_job(const std::string& id, Time submitted, wire::Priority priority = wire::Priority::normal,
               const std::string& team = "team") {
    auto spec = job_spec(id, 2);
    spec.priority = priority;
    spec.team = team;
    Job& job = state.add_job(spec, Revision(1), submitted, now);
    queue.invalidate();
    return job;
  }
  std::vector<std::string> queued_job_ids() {
    std::vector<std::string> ids;
    for (const auto& queued : queue.ordered(now)) ids.push_back(queued.job->spec.id.value);
    return ids;
  }

  Time now = 50;
  ClusterState state{config_with_guaranteed_share(), FencingToken(7)};
  SchedulingConstraints constraints{state};
  RunTimeEstimator estimator;
  JobQueue queue{state, constraints, estimator};
};

TEST_F(JobQueueTest, OrdersByPriorityThenByEarliestSloDeadline) {
  add_job("job-1", 20);
  add_job("job-2", 10);
  add_job("job-3", 30, wire::Priority::high);
  EXPECT_EQ(queued_job_ids(), (std::vector<std::string>{"job-3", "job-2", "job-1"}));
}

TEST_F(JobQueueTest, OrdersStarvingJobsFirstRegardlessOfPriority) {
  add_job("job-1", 40, wire::Priority::critical);
  add_job("job-2", now - constants::kStarvationThresholdSeconds, wire::Priority::low);
  EXPECT_EQ(queued_job_ids(), (std::vector<std::string>{"job-2", "job-1"}));
}

TEST_F(JobQueueTest, OrdersJobsWithinFairShareBeforeOthers) {
  add_job("job-1", 10, wire::Priority::high);
  const Job& first =
      add_job("job-2", 20, wire::Priority::low, "other");  // 8 CPUs: the whole guaranteed share
  const Job& second = add_job("job-3", 30, wire::Priority::low, "other");
  EXPECT_EQ(queued_job_ids(), (std::vector<std::string>{"job-2", "job-1", "job-3"}));
  EXPECT_TRUE(queue.within_fair_share(first));
  EXPECT_FALSE(queue.within_fair_share(second));
}

TEST_F(JobQueueTest, ExcludesJobsWithoutWaitingTasks) {
  add_job("job-1", 10);
  Job& assigned = add_job("job-2", 20);
  assigned.next_unattempted = assigned.spec.task_count;
  Job& cancelled = add_job("job-3", 30);
  cancelled.cancelled = true;
  EXPECT_EQ(queued_job_ids(), (std::vector<std::string>{"job-1"}));
}

TEST_F(JobQueueTest, RemovesJobWithoutSortingAgain) {
  add_job("job-1", 10);
  const Job& removed = add_job("job-2", 20);
  ASSERT_EQ(queued_job_ids().size(), 2u);
  queue.remove(removed);
  state.remove_job(JobId("job-2"), now);
  EXPECT_EQ(queued_job_ids(), (std::vector<std::string>{"job-1"}));
}

TEST_F(JobQueueTest, SortsLongQueueAtMostOncePerInterval) {
  for (std::size_t i = 0; i < constants::kSmallQueueSize; ++i) add_job("job-" + std::to_string(100 + i), 10);
  ASSERT_EQ(queued_job_ids().size(), constants::kSmallQueueSize);
  add_job("job-1", 10);
  EXPECT_EQ(queued_job_ids().size(), constants::kSmallQueueSize) << "sorted less than one interval ago";
  EXPECT_TRUE(queue.stale());
  now += constants::kQueueSortIntervalSeconds;
  EXPECT_EQ(queued_job_ids().size(), constants::kSmallQueueSize + 1);
}

}  // namespace dockdyke::testing
