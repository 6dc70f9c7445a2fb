// Faulty machines and stragglers.
#include "core/machine_health.hpp"

#include <gtest/gtest.h>

#include "cluster_fixture.hpp"
#include "constants.hpp"

namespace dockdyke::testing {

class MachineHealthTest : public ::testing::Test {
 protected:
  Machine& machine(const std::string& id) {
    Machine& added = state.find_or_add_machine(MachineId(id), now);
    added.state = MachineState::up;
    return added;
  }
  Job& job(const std::string& id, TaskIndex tasks = 4) {
    return state.add_job(job_spec(id, tasks), Revision(1), now, now);
  }
  // Three tasks of the job have completed elsewhere within this time.
  void typical_run(Job& of, double run_s) {
    of.next_unattempted = 4;
    for (int i = 0; i < 3; ++i) health.record_run_time(of, machine("n-elsewhere"), 1, run_s);
  }
  TaskAssignment& running(Job& of, Machine& on, Attempt attempt, double ran_s) {
    TaskAssignment assignment;
    assignment.machine = &on;
    assignment.attempt = attempt;
    assignment.running_since = now - ran_s;
    state.begin_assignment(of, 3, assignment);
    return of.assignments.at(3);
  }

  Time now = 1000;
  ClusterState state{cluster_config(), FencingToken(7)};
  SchedulingConstraints constraints{state};
  MachineHealth health{state, constraints};
};

TEST_F(MachineHealthTest, AMachineOnWhichTwoJobsFailIsDrainedAfterADelay) {
  Machine& faulty = machine("n-1");
  health.record_failure(job("job-1"), faulty, now);
  health.drain_faulty_machines(now + 100);
  EXPECT_FALSE(faulty.draining) << "one job may be broken itself";
  health.record_failure(job("job-2"), faulty, now);
  health.drain_faulty_machines(now);
  EXPECT_FALSE(faulty.draining) << "the jobs have time to fail elsewhere as well";
  health.drain_faulty_machines(now + constants::kQuarantineDelaySeconds);
  EXPECT_TRUE(faulty.draining);
}

TEST_F(MachineHealthTest, JobsThatFailOnSeveralMachinesSpeakAgainstThemselves) {
  Machine& one = machine("n-1");
  Machine& two = machine("n-2");
  for (Job* each : {&job("job-1"), &job("job-2")}) {
    health.record_failure(*each, one, now);
    health.record_failure(*each, two, now);
  }
  health.drain_faulty_machines(now + 100);
  EXPECT_FALSE(one.draining);
  EXPECT_FALSE(two.draining);
}

TEST_F(MachineHealthTest, ASuccessElsewhereBlamesTheMachinesOnWhichTheJobFailed) {
  Machine& one = machine("n-1");
  Machine& two = machine("n-2");
  Job& broken_twice = job("job-1");
  health.record_failure(broken_twice, one, now);
  health.record_failure(broken_twice, two, now);
  health.record_success(broken_twice, machine("n-3"), now);
  EXPECT_EQ(one.failed_jobs.size(), 1u);
  EXPECT_EQ(two.failed_jobs.size(), 1u);
  EXPECT_EQ(broken_twice.failures, 0u);
}

TEST_F(MachineHealthTest, AJobThatFailsEverywhereIsRetriedEverMoreRarely) {
  Job& broken = job("job-1");
  double last_s = 0;
  for (int i = 1; i <= 8; ++i) {
    health.record_failure(broken, machine("n-" + std::to_string(i)), now);
    const double backoff_s = broken.backoff_until - now;
    if (i < static_cast<int>(constants::kSuspectJobMachineThreshold)) {
      EXPECT_LE(backoff_s, 0);
      continue;
    }
    EXPECT_GE(backoff_s, last_s);
    EXPECT_LE(backoff_s, constants::kMaxErrorBackoffSeconds);
    last_s = backoff_s;
  }
  EXPECT_EQ(last_s, constants::kMaxErrorBackoffSeconds);
}

TEST_F(MachineHealthTest, AStragglerIsDrainedAndItsFirstAttemptsAreStopped) {
  Machine& slow = machine("n-1");
  Job& waiting = job("job-1");
  typical_run(waiting, 10);
  TaskAssignment& assignment = running(waiting, slow, 1, 10 * constants::kCertainStragglerFactor - 1);
  health.drain_if_straggler(slow, now);
  EXPECT_FALSE(slow.draining) << "one sign is not enough";
  slow.straggler_signs = 1;
  health.drain_if_straggler(slow, now);
  EXPECT_TRUE(slow.draining);
  EXPECT_TRUE(assignment.stopping);
}

TEST_F(MachineHealthTest, ALaterAttemptThatTakesLongSaysNothingAboutItsMachine) {
  Machine& healthy = machine("n-1");
  Job& waiting = job("job-1");
  typical_run(waiting, 10);
  running(waiting, healthy, 2, 100);
  health.drain_if_straggler(healthy, now);
  EXPECT_FALSE(healthy.draining);
}

}  // namespace dockdyke::testing
