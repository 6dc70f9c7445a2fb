// Polls of jobs are answered in batches, however many controllers send them.
#include "app/poll_batcher.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "constants.hpp"

namespace dockdyke::testing {

using peer::PolledJobStatus;

class PollBatcherTest : public ::testing::Test {
 protected:
  static constexpr double kStoreLatency = 0.3;

  PollBatcherTest()
      : batcher(loop, {[this](std::vector<JobId> ids) { return from_leader(std::move(ids)); },
                       [this](std::vector<JobId> ids) { return from_store(std::move(ids)); }}) {}

  net::Task<std::optional<std::vector<PolledJobStatus>>> from_leader(std::vector<JobId> ids) {
    if (!leader_status) co_return std::nullopt;
    co_return std::vector<PolledJobStatus>(ids.size(), PolledJobStatus{*leader_status, {}});
  }
  net::Task<std::vector<PolledJobStatus>> from_store(std::vector<JobId> ids) {
    ++store_reads;
    jobs_read += ids.size();
    const auto started_at = loop.now();
    co_await loop.sleep(net::seconds(kStoreLatency));
    last_read_at = started_at;
    co_return std::vector<PolledJobStatus>(ids.size(), PolledJobStatus{200, {}});
  }

  net::Task<void> poll_all(std::vector<JobId> ids) {
    const auto polled_at = loop.now();
    const std::vector<PolledJobStatus> polled = co_await batcher.poll_all(std::move(ids), net::seconds(2));
    for (const auto& each : polled) {
      answered += each.status == 200;
      refused += each.status == 503;
    }
    EXPECT_GE(last_read_at, polled_at) << "a reading from before the poll may be too old";
  }
  static std::vector<JobId> jobs(int from, int count) {
    std::vector<JobId> ids;
    for (int i = from; i < from + count; ++i) ids.emplace_back("job-" + std::to_string(i));
    return ids;
  }
  void run(double s) {
    const auto end = loop.now() + net::seconds(s);
    while (loop.now() < end) loop.run_once(end - loop.now());
  }

  net::Loop loop{net::Loop::TimeSource::simulated};
  app::PollBatcher batcher;
  std::optional<int> leader_status;
  net::TimePoint last_read_at;
  std::size_t store_reads = 0;
  std::size_t jobs_read = 0;
  std::size_t answered = 0;
  std::size_t refused = 0;
};

TEST_F(PollBatcherTest, SlowStoreGetsLargerBatchesNotMoreOfThem) {
  // Guards against a leader whose requests are used up by five controllers that poll ten times a second each.
  constexpr int kRounds = 30;
  constexpr int kControllers = 5;
  for (int round = 0; round < kRounds; ++round) {
    for (int controller = 0; controller < kControllers; ++controller)
      net::spawn(poll_all(jobs(10 * controller, 10)));
    run(0.1);
  }
  run(3);
  EXPECT_EQ(answered, static_cast<std::size_t>(kRounds * kControllers * 10));
  EXPECT_LE(store_reads, static_cast<std::size_t>(kRounds * 0.1 / kStoreLatency) + 3);
}

TEST_F(PollBatcherTest, JobPolledManyTimesIsReadOnce) {
  for (int i = 0; i < 20; ++i) net::spawn(poll_all(jobs(0, 1)));
  run(2);
  EXPECT_EQ(answered, 20u);
  EXPECT_LE(jobs_read, 2u) << "the first poll goes ahead, the others share the next reading";
}

TEST_F(PollBatcherTest, JobsUnknownToTheLeaderAreReadFromTheStore) {
  leader_status = 503;
  net::spawn(poll_all(jobs(0, 3)));
  run(2);
  EXPECT_EQ(answered, 3u);
  EXPECT_EQ(jobs_read, 3u);
}

TEST_F(PollBatcherTest, FullQueueIsRefusedAtOnce) {
  net::spawn(poll_all(jobs(0, static_cast<int>(constants::kPollQueueLimit) + 10)));
  run(2);
  EXPECT_GE(refused, 9u);
  EXPECT_GE(answered, constants::kPollQueueLimit);
}

}  // namespace dockdyke::testing
