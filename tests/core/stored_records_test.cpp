// Tests that stored records can be parsed back from their encoding.
#include "core/stored_records.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "cluster_fixture.hpp"

namespace dockdyke::testing {

using wire::Json;

TEST(Records, SegmentRoundTrips) {
  SegmentRecord segment;
  segment[JobId("job-1")].push_back({41, 7, {}, false});
  for (TaskIndex i = 0; i < 40; ++i) segment[JobId("job-1")].push_back({i, 1, MachineId("n-000001"), false});
  segment[JobId("job-1")].push_back({40, 3, MachineId("n-000001"), false});
  segment[JobId("job-2")] = {{0, 1, {}, true}, {1, 1, {}, true}, {99'999, 1, {}, true}};
  const auto json = to_json(segment);
  EXPECT_LE(json.dump().size(), 100u) << "consecutive tasks share a range";
  EXPECT_TRUE(parse_segment(json) == segment);
  for (const char* invalid : {"3-", "5-3", "x", "3,,4", "3/", "0-4294967295"})
    EXPECT_THROW(parse_segment(Json{{"job-1", {{"d", invalid}}}}), wire::ParseError) << invalid;
}

TEST(Records, JobRecordRoundTrips) {
  const auto parsed = parse_job_record(to_json(job_record(job_spec("job-1", 100'000))));
  EXPECT_EQ(parsed.spec.task_count, 100'000u);
  EXPECT_EQ(parsed.spec.id, JobId("job-1"));
}

TEST(Records, CancellationKeepsCopyUntilTasksHaveEnded) {
  const auto transaction =
      cancellation_transaction(job_record(job_spec("job-1", 1)), Revision(5), 0, 1234, 4096);
  ASSERT_EQ(transaction.puts.size(), 2u);
  EXPECT_EQ(transaction.puts[1].key, key::terminating_job(JobId("job-1")));
  EXPECT_EQ(transaction.preconditions[0].version, Revision(5));
  EXPECT_EQ(transaction.deletions, std::vector<std::string>{key::active_job(JobId("job-1"))});
  const auto terminating = std::find_if(transaction.puts.begin(), transaction.puts.end(),
                                        [](const auto& put) { return put.key == "linger/job-1"; });
  ASSERT_NE(terminating, transaction.puts.end());
  EXPECT_EQ(parse_job_record(terminating->value).cancelled_ms, 1234)
      << "a new leader needs the time of the cancellation";
}

}  // namespace dockdyke::testing
