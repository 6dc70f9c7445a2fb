// The log of task changes: what is written, compaction, and what becomes of refused segments.
#include "core/task_log.hpp"

#include <gtest/gtest.h>

#include "cluster_fixture.hpp"
#include "constants.hpp"

namespace dockdyke::testing {

class TaskLogTest : public ::testing::Test {
 protected:
  Job& job(const std::string& id, TaskIndex tasks) {
    return state.add_job(job_spec(id, tasks), Revision(1), now, now);
  }
  void change(Job& of, TaskIndex first, TaskIndex end) {
    for (TaskIndex index = first; index < end; ++index) {
      of.tasks[index].attempt = 1;
      log.mark_unpersisted(of, index);
    }
    log.request_segment();
  }
  std::optional<UnstoredSegment> next() {
    now += 10;  // segments keep a distance in time
    return log.next_segment(now);
  }
  std::vector<std::string> deleted_keys() {
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

TEST_F(TaskLogTest, ATaskIsDurableOnceASegmentWithItsPresentStateIsStored) {
  Job& one = job("job-1", 2);
  change(one, 0, 1);
  EXPECT_FALSE(one.tasks[0].durable());
  const auto segment = next();
  ASSERT_TRUE(segment);
  EXPECT_FALSE(one.tasks[0].durable()) << "not yet stored";
  log.mark_unpersisted(one, 0);
  log.confirm(segment->number);
  EXPECT_FALSE(one.tasks[0].durable()) << "changed since";
  log.request_segment();
  const auto later = next();
  ASSERT_TRUE(later);
  log.confirm(later->number);
  EXPECT_TRUE(one.tasks[0].durable());
  EXPECT_EQ(deleted_keys(), std::vector<std::string>{segment->key}) << "nothing refers to the first one";
}

TEST_F(TaskLogTest, SegmentsConfirmedOutOfOrderKeepTheNewestEntry) {
  Job& one = job("job-1", 1);
  change(one, 0, 1);
  const auto first = next();
  change(one, 0, 1);
  const auto second = next();
  ASSERT_TRUE(first && second);
  log.confirm(second->number);
  EXPECT_TRUE(one.tasks[0].durable());
  log.confirm(first->number);
  EXPECT_EQ(one.tasks[0].durable_segment, second->number);
  EXPECT_EQ(deleted_keys(), std::vector<std::string>{first->key});
}

TEST_F(TaskLogTest, ARefusedSegmentIsWrittenAgainInSmallerOnes) {
  Job& one = job("job-1", 400);
  for (TaskIndex index = 0; index < 400; ++index) one.tasks[index].attempt = 2 + index % 7;
  for (TaskIndex index = 0; index < 400; ++index) log.mark_unpersisted(one, index);
  log.request_segment();
  const auto refused = next();
  ASSERT_TRUE(refused);
  const auto refused_tasks = refused->record.at(JobId("job-1")).size();
  log.reject(refused->number);
  const auto smaller = next();
  ASSERT_TRUE(smaller);
  EXPECT_LT(smaller->record.at(JobId("job-1")).size(), refused_tasks);
  EXPECT_NE(smaller->key, refused->key) << "an earlier try may be stored all the same";
}

TEST_F(TaskLogTest, CompactionBoundsTheNumberOfSegments) {
  Job& lasting = job("job-1", 1);
  change(lasting, 0, 1);
  const auto first = next();
  ASSERT_TRUE(first);
  log.confirm(first->number);
  Job& busy = job("job-2", 1000);
  std::set<std::string> deleted;
  for (TaskIndex index = 0; index < 1000; ++index) {
    change(busy, index, index + 1);
    const auto segment = next();
    ASSERT_TRUE(segment);
    log.confirm(segment->number);
    for (const auto& key : deleted_keys()) deleted.insert(key);
  }
  EXPECT_LE(log.segments(), constants::kMinSegmentsKept + 1001 / constants::kLiveEntriesPerSegment + 2);
  EXPECT_TRUE(deleted.contains(first->key)) << "its entry was copied";
  EXPECT_TRUE(lasting.tasks[0].durable());
  EXPECT_GT(lasting.tasks[0].durable_segment, first->number);
}

TEST_F(TaskLogTest, AJobThatIsOverLeavesNoSegment) {
  Job& one = job("job-1", 2);
  change(one, 0, 2);
  const auto segment = next();
  ASSERT_TRUE(segment);
  log.confirm(segment->number);
  log.release_entries(one);
  EXPECT_EQ(log.segments(), 0u);
  EXPECT_EQ(deleted_keys(), std::vector<std::string>{segment->key});
}

TEST_F(TaskLogTest, AdoptedSegmentsWithoutEntriesOfKnownJobsAreDeleted) {
  Job& one = job("job-1", 2);
  const auto old_segment = log.adopt_segment("page/old");
  const auto new_segment = log.adopt_segment("page/new");
  log.adopt_segment("page/unknown");
  log.adopt_entry(old_segment, one, 0);
  log.adopt_entry(new_segment, one, 0);
  log.delete_empty_segments();
  EXPECT_EQ(log.segments(), 1u);
  EXPECT_EQ(deleted_keys(), (std::vector<std::string>{"page/old", "page/unknown"}));
}

}  // namespace dockdyke::testing
