// Faulty machines and stragglers.
#include "core/machine_health.hpp"

#include <gtest/gtest.h>

#include "cluster_fixture.hpp"
#include "constants.hpp"

namespace dockdyke::testing {

class MachineHealthTest : public ::testing::Test {
 protected:
  Machine& add_machine(const std::string& id) {
    Machine& added = state.find_or_add_machine(MachineId(id), now);
    added.state = MachineState::up;
    return added;
  }
  Job& add_job(const std::string& id, TaskIndex tasks = 4) {
    return state.add_job(job_spec(id, tasks), Revision(1), now, now);
  }
  // Records that three tasks of the job have completed in this time on another machine.
  void record_mean_run_time(Job& job, double run_s) {
    job.next_unattempted = 4;
    for (int i = 0; i < 3; ++i) health.record_run_time(job, add_machine("n-elsewhere"), 1, run_s);
  }
  TaskAssignment& add_running_task(Job& job, Machine& machine, Attempt attempt, double ran_s) {
    TaskAssignment assignment;
    assignment.machine = &machine;
    assignment.attempt = attempt;
    assignment.run_started_at = now - ran_s;
    state.begin_assignment(job, 3, assignment);
    return job.assignments.at(3);
  }

  Time now = 1000;
  ClusterState state{cluster_config(), FencingToken(7)};
  SchedulingConstraints constraints{state};
  MachineHealth health{state, constraints};
};

TEST_F(MachineHealthTest, MachineFailingTwoJobsIsDrainedAfterDelay) {
  Machine& faulty = add_machine("n-1");
  health.record_failure(add_job("job-1"), faulty, now);
  health.drain_faulty_machines(now + 100);
  EXPECT_FALSE(faulty.draining) << "a single job may be at fault itself";
  health.record_failure(add_job("job-2"), faulty, now);
  health.drain_faulty_machines(now);
  EXPECT_FALSE(faulty.draining) << "the delay lets the jobs fail on other machines as well";
  health.drain_faulty_machines(now + constants::kQuarantineDelaySeconds);
  EXPECT_TRUE(faulty.draining);
}

TEST_F(MachineHealthTest, JobsFailingOnSeveralMachinesDoNotDrainThem) {
  Machine& one = add_machine("n-1");
  Machine& two = add_machine("n-2");
  for (Job* each : {&add_job("job-1"), &add_job("job-2")}) {
    health.record_failure(*each, one, now);
    health.record_failure(*each, two, now);
  }
  health.drain_faulty_machines(now + 100);
  EXPECT_FALSE(one.draining);
  EXPECT_FALSE(two.draining);
}

TEST_F(MachineHealthTest, SuccessOnOtherMachineAttributesFailuresToMachines) {
  Machine& one = add_machine("n-1");
  Machine& two = add_machine("n-2");
  Job& job = add_job("job-1");
  health.record_failure(job, one, now);
  health.record_failure(job, two, now);
  health.record_success(job, add_machine("n-3"), now);
  EXPECT_EQ(one.failed_jobs.size(), 1u);
  EXPECT_EQ(two.failed_jobs.size(), 1u);
  EXPECT_EQ(job.consecutive_failures, 0u);
}

TEST_F(MachineHealthTest, FailuresOnManyMachinesIncreaseJobBackoff) {
  Job& job = add_job("job-1");
  double previous_s = 0;
  for (int i = 1; i <= 8; ++i) {
    health.record_failure(job, add_machine("n-" + std::to_string(i)), now);
    const double backoff_s = job.backoff_ends_at - now;
    if (i < static_cast<int>(constants::kSuspectJobMachineThreshold)) {
      EXPECT_LE(backoff_s, 0);
      continue;
    }
    EXPECT_GE(backoff_s, previous_s);
    EXPECT_LE(backoff_s, constants::kMaxErrorBackoffSeconds);
    previous_s = backoff_s;
  }
  EXPECT_EQ(previous_s, constants::kMaxErrorBackoffSeconds);
}

TEST_F(MachineHealthTest, StragglerIsDrainedAndItsFirstAttemptStopped) {
  Machine& slow = add_machine("n-1");
  Job& job = add_job("job-1");
  record_mean_run_time(job, 10);
  TaskAssignment& assignment = add_running_task(job, slow, 1, 10 * constants::kCertainStragglerFactor - 1);
  health.drain_if_straggler(slow, now);
  EXPECT_FALSE(slow.draining) << "one sign is not enough";
  slow.straggler_signs = 1;
  health.drain_if_straggler(slow, now);
  EXPECT_TRUE(slow.draining);
  EXPECT_TRUE(assignment.stopping);
}

TEST_F(MachineHealthTest, LongLaterAttemptDoesNotDrainMachine) {
  Machine& healthy = add_machine("n-1");
  Job& job = add_job("job-1");
  record_mean_run_time(job, 10);
  add_running_task(job, healthy, 2, 100);
  health.drain_if_straggler(healthy, now);
  EXPECT_FALSE(healthy.draining);
}

}  // namespace dockdyke::testing
