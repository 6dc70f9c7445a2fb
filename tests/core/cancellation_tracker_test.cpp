// What the leader tells of cancelled jobs that had tasks on machines.
#include <gtest/gtest.h>

#include "cluster_fixture.hpp"

namespace dockdyke::testing {

using Kind = CancellationReport::Kind;

class CancellationTrackerTest : public ClusterTest {
 protected:
  CancellationTrackerTest() {
    loaded();
    submit(job_spec("job-1", 1));
    exchange(worker);
    exchange(worker);
    worker.shows("job-1", 0, 1, wire::TaskState::running);
    exchange(worker);
    cluster.apply(JobRecordDeleted{JobId("job-1")}, now);
  }

  std::vector<Kind> reported_kinds() {
    std::vector<Kind> kinds;
    for (const auto& report : cluster.take_cancellation_reports()) kinds.push_back(report.kind);
    return kinds;
  }

  Worker worker{"n-1"};
};

TEST_F(CancellationTrackerTest, ACancellationIsFollowedFromItsFirstNewsToItsEnd) {
  EXPECT_EQ(cluster.cancellation_summary(now).tasks, 1u);
  exchange(worker);
  EXPECT_EQ(reported_kinds(), (std::vector{Kind::known, Kind::stop_sent}));
  worker.shows("job-1", 0, 1, wire::TaskState::exited);
  exchange(worker);
  EXPECT_EQ(reported_kinds(), (std::vector{Kind::ended}));
  EXPECT_EQ(cluster.cancellation_summary(now).jobs, 0u);
}

TEST_F(CancellationTrackerTest, AJobIsReportedAtRiskOnceWhenAThirdOfItsTimeIsLeft) {
  const double timeout_s = cluster_config().cancellation_timeout_s;
  reported_kinds();
  pass(timeout_s / 2);
  EXPECT_TRUE(reported_kinds().empty());
  pass(timeout_s / 6 + 2);
  const auto reports = cluster.take_cancellation_reports();
  ASSERT_EQ(reports.size(), 1u);
  EXPECT_EQ(reports[0].kind, Kind::at_risk);
  EXPECT_EQ(reports[0].machine, MachineId("n-1"));
  EXPECT_LT(reports[0].time_left_s, timeout_s / 3);
  EXPECT_GT(reports[0].time_since_heartbeat_s, timeout_s / 2);
  pass(3);
  EXPECT_TRUE(reported_kinds().empty());
}

TEST_F(CancellationTrackerTest, TasksThatGoWithTheirMachineAreCounted) {
  reported_kinds();
  cluster.apply(MachinesDeleted{"return/50-1", {MachineId("n-1")}}, now);
  const auto reports = cluster.take_cancellation_reports();
  ASSERT_EQ(reports.size(), 1u);
  EXPECT_EQ(reports[0].kind, Kind::ended);
  EXPECT_EQ(reports[0].tasks_deleted, 1u);
}

TEST_F(CancellationTrackerTest, StopsInOneResponseAreOneReport) {
  submit(job_spec("job-2", 2));
  Worker second{"n-2"};
  exchange(second);
  exchange(second);
  second.shows("job-2", 0, 1, wire::TaskState::running);
  second.shows("job-2", 1, 1, wire::TaskState::running);
  exchange(second);
  cluster.apply(JobRecordDeleted{JobId("job-2")}, now);
  reported_kinds();
  exchange(second);
  const auto reports = cluster.take_cancellation_reports();
  ASSERT_EQ(reports.size(), 1u);
  EXPECT_EQ(reports[0].stops_sent, 2u);
}

}  // namespace dockdyke::testing
