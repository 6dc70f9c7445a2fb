// Tests of the task log: durability of task changes, compaction and rejected segments.
#include "core/task_log.hpp"

#include <gtest/gtest.h>

#include "cluster_fixture.hpp"
#include "constants.hpp"

namespace dockdyke::testing {

class TaskLogTest : public ::testing::Test {
 protected:
  Job& add_job(const std::string& id, TaskIndex tasks) {
    return state.add_job(job_spec(id, tasks), Revision(1), now, now);
  }
  void change_tasks(Job& job, TaskIndex first, TaskIndex end) {
    for (TaskIndex index = first; index < end; ++index) {
      job.tasks[index].attempt = 1;
      log.mark_unpersisted(job, index);
    }
    log.request_segment();
  }
  std::optional<PendingSegment> next_segment() {
    now += 10;  // longer than the minimum interval between segments
    return log.next_segment(now);
  }
  std::vector<std::string> take_deleted_keys() {
    log.delete_obsolete_keys();
    std::vector<std::string> keys;
    for (const auto& effect : effects.take())
      for (const auto& key : std::get<DeleteKeys>(effect).keys) keys.push_back(key);
    return keys;
  }

  Time now = 1;
  EffectQueue effects;
  ClusterState state{cluster_config(), FencingToken(7)};
  TaskLog log{state, effects};
};

TEST_F(TaskLogTest, TaskIsDurableOnceItsCurrentStateIsStored) {
  Job& job = add_job("job-1", 2);
  change_tasks(job, 0, 1);
  EXPECT_FALSE(job.tasks[0].durable());
  const auto segment = next_segment();
  ASSERT_TRUE(segment);
  EXPECT_FALSE(job.tasks[0].durable()) << "segment not yet confirmed";
  log.mark_unpersisted(job, 0);
  log.confirm(segment->number);
  EXPECT_FALSE(job.tasks[0].durable()) << "changed after the segment was written";
  log.request_segment();
  const auto updated = next_segment();
  ASSERT_TRUE(updated);
  log.confirm(updated->number);
  EXPECT_TRUE(job.tasks[0].durable());
  EXPECT_EQ(take_deleted_keys(), std::vector<std::string>{segment->key})
      << "the first segment has no live entries";
}

TEST_F(TaskLogTest, OutOfOrderConfirmationKeepsNewestEntry) {
  Job& job = add_job("job-1", 1);
  change_tasks(job, 0, 1);
  const auto first = next_segment();
  change_tasks(job, 0, 1);
  const auto second = next_segment();
  ASSERT_TRUE(first && second);
  log.confirm(second->number);
  EXPECT_TRUE(job.tasks[0].durable());
  log.confirm(first->number);
  EXPECT_EQ(job.tasks[0].durable_segment, second->number);
  EXPECT_EQ(take_deleted_keys(), std::vector<std::string>{first->key});
}

TEST_F(TaskLogTest, RejectedSegmentIsRewrittenInSmallerSegments) {
  Job& job = add_job("job-1", 400);
  for (TaskIndex index = 0; index < 400; ++index) job.tasks[index].attempt = 2 + index % 7;
  for (TaskIndex index = 0; index < 400; ++index) log.mark_unpersisted(job, index);
  log.request_segment();
  const auto rejected = next_segment();
  ASSERT_TRUE(rejected);
  const auto rejected_task_count = rejected->record.at(JobId("job-1")).size();
  log.reject(rejected->number);
  const auto smaller = next_segment();
  ASSERT_TRUE(smaller);
  EXPECT_LT(smaller->record.at(JobId("job-1")).size(), rejected_task_count);
  EXPECT_NE(smaller->key, rejected->key) << "the rejected write may still have been stored under its key";
}

TEST_F(TaskLogTest, CompactionBoundsSegmentCount) {
  Job& unchanged_job = add_job("job-1", 1);
  change_tasks(unchanged_job, 0, 1);
  const auto first = next_segment();
  ASSERT_TRUE(first);
  log.confirm(first->number);
  Job& changing_job = add_job("job-2", 1000);
  std::set<std::string> deleted;
  for (TaskIndex index = 0; index < 1000; ++index) {
    change_tasks(changing_job, index, index + 1);
    const auto segment = next_segment();
    ASSERT_TRUE(segment);
    log.confirm(segment->number);
    for (const auto& key : take_deleted_keys()) deleted.insert(key);
  }
  EXPECT_LE(log.segment_count(), constants::kMinSegmentsKept + 1001 / constants::kLiveEntriesPerSegment + 2);
  EXPECT_TRUE(deleted.contains(first->key)) << "its live entry was copied to a newer segment";
  EXPECT_TRUE(unchanged_job.tasks[0].durable());
  EXPECT_GT(unchanged_job.tasks[0].durable_segment, first->number);
}

TEST_F(TaskLogTest, EndedJobLeavesNoSegments) {
  Job& job = add_job("job-1", 2);
  change_tasks(job, 0, 2);
  const auto segment = next_segment();
  ASSERT_TRUE(segment);
  log.confirm(segment->number);
  log.release_entries(job);
  EXPECT_EQ(log.segment_count(), 0u);
  EXPECT_EQ(take_deleted_keys(), std::vector<std::string>{segment->key});
}

TEST_F(TaskLogTest, AdoptedSegmentsWithoutLiveEntriesAreDeleted) {
  Job& job = add_job("job-1", 2);
  const auto older_segment = log.adopt_segment("page/old");
  const auto newer_segment = log.adopt_segment("page/new");
  log.adopt_segment("page/unknown");
  log.adopt_entry(older_segment, job, 0);
  log.adopt_entry(newer_segment, job, 0);
  log.delete_empty_segments();
  EXPECT_EQ(log.segment_count(), 1u);
  EXPECT_EQ(take_deleted_keys(), (std::vector<std::string>{"page/old", "page/unknown"}));
}

}  // namespace dockdyke::testing
