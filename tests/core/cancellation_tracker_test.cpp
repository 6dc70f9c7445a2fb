// Reports on cancelled jobs whose tasks may still be on machines.
#include <gtest/gtest.h>

#include "cluster_fixture.hpp"

namespace dockdyke::testing {

using Kind = CancellationReport::Kind;

class CancellationTrackerTest : public ClusterTest {
 protected:
  CancellationTrackerTest() {
    complete_loading();
    submit(job_spec("job-1", 1));
    exchange_heartbeat(worker);
    exchange_heartbeat(worker);
    worker.report_task("job-1", 0, 1, wire::TaskState::running);
    exchange_heartbeat(worker);
    cluster.apply(JobRecordDeleted{JobId("job-1")}, now);
  }

  // Returns the kinds of the reports since the last call.
  std::vector<Kind> take_reported_kinds() {
    std::vector<Kind> kinds;
    for (const auto& report : cluster.take_cancellation_reports()) kinds.push_back(report.kind);
    return kinds;
  }

  Worker worker{"n-1"};
};

TEST_F(CancellationTrackerTest, CancellationIsReportedFromStartToEnd) {
  EXPECT_EQ(cluster.cancellation_summary(now).tasks, 1u);
  exchange_heartbeat(worker);
  EXPECT_EQ(take_reported_kinds(), (std::vector{Kind::known, Kind::stop_sent}));
  worker.report_task("job-1", 0, 1, wire::TaskState::exited);
  exchange_heartbeat(worker);
  EXPECT_EQ(take_reported_kinds(), (std::vector{Kind::ended}));
  EXPECT_EQ(cluster.cancellation_summary(now).jobs, 0u);
}

TEST_F(CancellationTrackerTest, JobIsReportedAtRiskOnceBelowTimeThreshold) {
  const double timeout_s = cluster_config().cancellation_timeout_s;
  take_reported_kinds();
  advance_time(timeout_s / 2);
  EXPECT_TRUE(take_reported_kinds().empty());
  advance_time(timeout_s / 6 + 2);
  const auto reports = cluster.take_cancellation_reports();
  ASSERT_EQ(reports.size(), 1u);
  EXPECT_EQ(reports[0].kind, Kind::at_risk);
  EXPECT_EQ(reports[0].machine, MachineId("n-1"));
  EXPECT_LT(reports[0].time_left_s, timeout_s / 3);
  EXPECT_GT(reports[0].time_since_heartbeat_s, timeout_s / 2);
  advance_time(3);
  EXPECT_TRUE(take_reported_kinds().empty());
}

TEST_F(CancellationTrackerTest, TasksOnDeletedMachineAreCounted) {
  take_reported_kinds();
  cluster.apply(MachinesDeleted{"return/50-1", {MachineId("n-1")}}, now);
  const auto reports = cluster.take_cancellation_reports();
  ASSERT_EQ(reports.size(), 1u);
  EXPECT_EQ(reports[0].kind, Kind::ended);
  EXPECT_EQ(reports[0].tasks_deleted, 1u);
}

TEST_F(CancellationTrackerTest, StopsInOneResponseMakeOneReport) {
  submit(job_spec("job-2", 2));
  Worker second{"n-2"};
  exchange_heartbeat(second);
  exchange_heartbeat(second);
  second.report_task("job-2", 0, 1, wire::TaskState::running);
  second.report_task("job-2", 1, 1, wire::TaskState::running);
  exchange_heartbeat(second);
  cluster.apply(JobRecordDeleted{JobId("job-2")}, now);
  take_reported_kinds();
  exchange_heartbeat(second);
  const auto reports = cluster.take_cancellation_reports();
  ASSERT_EQ(reports.size(), 1u);
  EXPECT_EQ(reports[0].stops_sent, 2u);
}

}  // namespace dockdyke::testing
