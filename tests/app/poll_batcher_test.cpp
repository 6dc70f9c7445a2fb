// Tests of PollBatcher: batching, number of reads and queue limit.
#include "app/poll_batcher.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "constants.hpp"

namespace dockdyke::testing {

using peer::PolledJobStatus;

class PollBatcherTest : public ::testing::Test {
 protected:
  static constexpr double kStateServiceLatencySeconds = 0.3;

  PollBatcherTest()
      : batcher(loop, {[this](std::vector<JobId> ids) { return poll_leader(std::move(ids)); },
                       [this](std::vector<JobId> ids) { return read_from_state_service(std::move(ids)); }}) {}

  net::Task<std::optional<std::vector<PolledJobStatus>>> poll_leader(std::vector<JobId> ids) {
    if (!leader_status) co_return std::nullopt;
    co_return std::vector<PolledJobStatus>(ids.size(), PolledJobStatus{*leader_status, {}});
  }
  net::Task<std::vector<PolledJobStatus>> read_from_state_service(std::vector<JobId> ids) {
    ++state_service_reads;
    job_reads += ids.size();
    const auto started_at = loop.now();
    co_await loop.sleep(net::seconds(kStateServiceLatencySeconds));
    last_read_started_at = started_at;
    co_return std::vector<PolledJobStatus>(ids.size(), PolledJobStatus{200, {}});
  }

  // Polls the jobs, counts the responses by status and expects that the last read began after the poll.
  net::Task<void> poll_and_count_responses(std::vector<JobId> ids) {
    const auto polled_at = loop.now();
    const std::vector<PolledJobStatus> polled = co_await batcher.poll_all(std::move(ids), net::seconds(2));
    for (const auto& polled_status : polled) {
      ok_responses += polled_status.status == 200;
      unavailable_responses += polled_status.status == 503;
    }
    EXPECT_GE(last_read_started_at, polled_at)
        << "the read began before the poll, so its result may be stale";
  }
  static std::vector<JobId> make_job_ids(int from, int count) {
    std::vector<JobId> ids;
    for (int i = from; i < from + count; ++i) ids.emplace_back("job-" + std::to_string(i));
    return ids;
  }
  void run_for(double duration_s) {
    const auto end = loop.now() + net::seconds(duration_s);
    while (loop.now() < end) loop.run_once(end - loop.now());
  }

  net::Loop loop{net::Loop::TimeSource::simulated};
  app::PollBatcher batcher;
  std::optional<int> leader_status;     // std::nullopt: the leader does not respond
  net::TimePoint last_read_started_at;  // of the last finished read
  std::size_t state_service_reads = 0;
  std::size_t job_reads = 0;
  std::size_t ok_responses = 0;
  std::size_t unavailable_responses = 0;
};

TEST_F(PollBatcherTest, SlowReadsGrowBatchesInsteadOfReadCount) {
  // Guards against exhausting the leader's request limit: five controllers poll ten times a second each.
  constexpr int kPollRounds = 30;
  constexpr int kControllers = 5;
  for (int round = 0; round < kPollRounds; ++round) {
    for (int controller = 0; controller < kControllers; ++controller)
      net::spawn(poll_and_count_responses(make_job_ids(10 * controller, 10)));
    run_for(0.1);
  }
  run_for(3);
  EXPECT_EQ(ok_responses, static_cast<std::size_t>(kPollRounds * kControllers * 10));
  EXPECT_LE(state_service_reads,
            static_cast<std::size_t>(kPollRounds * 0.1 / kStateServiceLatencySeconds) + 3);
}

TEST_F(PollBatcherTest, ConcurrentPollsOfJobShareReads) {
  for (int i = 0; i < 20; ++i) net::spawn(poll_and_count_responses(make_job_ids(0, 1)));
  run_for(2);
  EXPECT_EQ(ok_responses, 20u);
  EXPECT_LE(job_reads, 2u) << "the first poll is read at once; the others share the next read";
}

TEST_F(PollBatcherTest, JobsUnavailableFromLeaderAreReadFromStateService) {
  leader_status = 503;
  net::spawn(poll_and_count_responses(make_job_ids(0, 3)));
  run_for(2);
  EXPECT_EQ(ok_responses, 3u);
  EXPECT_EQ(job_reads, 3u);
}

TEST_F(PollBatcherTest, PollsBeyondQueueLimitAreUnavailable) {
  net::spawn(poll_and_count_responses(make_job_ids(0, static_cast<int>(constants::kPollQueueLimit) + 10)));
  run_for(2);
  EXPECT_GE(unavailable_responses, 9u);
  EXPECT_GE(ok_responses, constants::kPollQueueLimit);
}

}  // namespace dockdyke::testing
