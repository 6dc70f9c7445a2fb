// Tasks that are assigned to a machine, but whose start command has not been sent.
#include "core/undispatched_tasks.hpp"

#include "cluster_fixture.hpp"

namespace dockdyke::testing {

class UndispatchedTasksTest : public ClusterTest {
 protected:
  static constexpr double kIntervalSeconds = 2;  // between heartbeats

  // Assigns a task of the job to the machine during an outage of the state service, so that its start can't
  // be sent.
  void assign_during_outage(Worker& worker, const wire::JobSpec& spec) {
    state_service_available = false;
    submit(spec);
    exchange_heartbeat(worker);
    ASSERT_EQ(machine_of(spec.id), worker.name);
    ASSERT_TRUE(assignment_of(spec.id).never_dispatched());
  }
  const TaskAssignment& assignment_of(const JobId& id) { return cluster.job(id)->assignments.at(0); }
  // Returns the name of the machine that holds the first task of the job; "" if none does.
  std::string machine_of(const JobId& id) {
    const auto& assignments = cluster.job(id)->assignments;
    return assignments.empty() ? "" : assignments.begin()->second.machine->id.value;
  }
};

TEST_F(UndispatchedTasksTest, SummaryStatesWhyOldestTaskIsNotStarted) {
  complete_loading();
  auto worker = connect_worker("n-1");
  EXPECT_EQ(cluster.undispatched_summary(now).tasks, 0u);
  assign_during_outage(worker, job_spec("job-1", 1, 1));
  const Time assigned_at = now;
  now += kIntervalSeconds;
  auto summary = cluster.undispatched_summary(now);
  EXPECT_EQ(summary.tasks, 1u);
  EXPECT_EQ(summary.not_durable, 1u);
  EXPECT_EQ(summary.withheld, 0u);
  EXPECT_EQ(summary.task.job, JobId("job-1"));
  EXPECT_EQ(summary.machine, MachineId("n-1"));
  EXPECT_DOUBLE_EQ(summary.waited_s, now - assigned_at);
  EXPECT_EQ(summary.obstacle, StartObstacle::none);
  worker.termination_notice_s = 60;
  now = assigned_at + 2 * kIntervalSeconds;
  cluster.apply(MachinesListed{}, now);
  summary = cluster.undispatched_summary(assigned_at + 100);
  EXPECT_EQ(summary.withheld, 1u);
  EXPECT_EQ(summary.obstacle, StartObstacle::unresponsive);
}

}  // namespace dockdyke::testing
