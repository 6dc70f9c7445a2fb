// Tasks that are assigned to a machine, but whose start command has not been sent.
#include "core/undispatched_tasks.hpp"

#include <algorithm>
#include <iterator>

#include "cluster_fixture.hpp"
#include "constants.hpp"

namespace dockdyke::testing {

using wire::CommandKind;
using wire::ExitCause;

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
  void end_outage() {
    state_service_available = true;
    assign_and_write();
  }
  // Lets the worker run two jobs that fail there, which makes the machine faulty.
  void fail_two_jobs(Worker& worker) {
    submit(job_spec("job-1", 1, 1));
    submit(job_spec("job-2", 1, 1));
    ASSERT_EQ(worker.run_started_tasks(exchange_heartbeat(worker)), 2u);
    exchange_heartbeat(worker);
  }
  void report_failures(Worker& worker) {
    worker.end_tasks(ExitCause::error);
    exchange_heartbeat(worker);
    worker.tasks.clear();
  }
  // Sends heartbeats of the workers, which run what they are told to, at their interval. Returns the start
  // commands by worker.
  using Starts = std::map<std::string, std::vector<wire::Command>>;
  Starts exchange_heartbeats(std::vector<Worker*> workers, double duration_s) {
    Starts starts;
    for (double elapsed_s = 0; elapsed_s < duration_s; elapsed_s += kIntervalSeconds) {
      advance_time(kIntervalSeconds);
      for (Worker* worker : workers) {
        const auto commands = exchange_heartbeat(*worker);
        if (worker->run_started_tasks(commands) == 0) continue;
        std::copy_if(commands.begin(), commands.end(), std::back_inserter(starts[worker->name]),
                     [](const auto& command) { return command.kind == CommandKind::start; });
      }
    }
    return starts;
  }
  // Returns the attempts of the job that the worker was commanded to start.
  static std::vector<Attempt> started_attempts(const Starts& starts, const Worker& worker,
                                               const std::string& job) {
    std::vector<Attempt> attempts;
    if (const auto found = starts.find(worker.name); found != starts.end())
      for (const auto& command : found->second)
        if (command.task.job == JobId(job)) attempts.push_back(command.attempt);
    return attempts;
  }
  const TaskAssignment& assignment_of(const JobId& id) { return cluster.job(id)->assignments.at(0); }
  // Returns the name of the machine that holds the first task of the job; "" if none does.
  std::string machine_of(const JobId& id) {
    const auto& assignments = cluster.job(id)->assignments;
    return assignments.empty() ? "" : assignments.begin()->second.machine->id.value;
  }
  bool deletion_requested(const Worker& worker) {
    for (const auto& effect : emitted_effects<RequestScaleIn>())
      for (const auto& id : effect.machines)
        if (id == MachineId(worker.name)) return true;
    return false;
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
  summary = cluster.undispatched_summary(assigned_at + 100);
  EXPECT_EQ(summary.withheld, 1u);
  EXPECT_EQ(summary.obstacle, StartObstacle::unresponsive);
}

// ---- Machines that get no starts give their tasks back ----------------------------------------------------

// Guards against a task that waits for ever on a machine that was drained as faulty before the start was
// sent.
TEST_F(UndispatchedTasksTest, TaskOnFaultyMachineStartsElsewhere) {
  complete_loading();
  auto worker = connect_worker("n-1");
  fail_two_jobs(worker);
  assign_during_outage(worker, job_spec("job-3", 1));
  report_failures(worker);
  exchange_heartbeats({&worker}, kIntervalSeconds + constants::kQuarantineDelaySeconds);
  ASSERT_TRUE(cluster.machine(MachineId("n-1"))->draining);
  end_outage();
  auto other = connect_worker("n-2");
  const auto starts = exchange_heartbeats({&worker, &other}, 10);
  EXPECT_FALSE(starts.contains("n-1")) << "a draining machine gets no starts";
  EXPECT_EQ(started_attempts(starts, other, "job-3").at(0), 2u);
  EXPECT_TRUE(deletion_requested(worker)) << "the machine is empty";
}

// Guards against a replica that waits for ever on a machine that was drained as a straggler.
TEST_F(UndispatchedTasksTest, ReplicaOnStragglerStartsElsewhere) {
  complete_loading();
  auto worker = connect_worker("n-1");
  auto fast = connect_worker("n-2");
  submit(job_spec("job-1", 5, 2));
  assign_and_write();
  for (Worker* each : {&worker, &fast}) each->run_started_tasks(receive_response(*each));
  Worker& slow = worker.tasks.size() < fast.tasks.size() ? worker : fast;
  Worker& healthy = &slow == &worker ? fast : worker;
  ASSERT_EQ(slow.tasks.size(), 1u);
  exchange_heartbeats({&worker, &fast}, 10);
  healthy.end_tasks(ExitCause::done);
  exchange_heartbeat(healthy);
  healthy.tasks.clear();
  auto replica = job_spec("job-2", 1, 5);
  replica.kind = wire::JobKind::service;
  assign_during_outage(slow, replica);
  for (int i = 0; i < 20 && !cluster.machine(MachineId(slow.name))->draining; ++i)
    exchange_heartbeats({&slow}, kIntervalSeconds);
  ASSERT_TRUE(cluster.machine(MachineId(slow.name))->draining);
  end_outage();
  const auto starts = exchange_heartbeats({&slow, &healthy}, 10);
  EXPECT_FALSE(starts.contains(slow.name));
  EXPECT_FALSE(started_attempts(starts, healthy, "job-2").empty());
}

// Guards against a task whose start was lost and that then waits for ever on a machine drained in between.
TEST_F(UndispatchedTasksTest, TaskWithLostStartLeavesDrainingMachine) {
  complete_loading();
  auto worker = connect_worker("n-1");
  fail_two_jobs(worker);
  assign_during_outage(worker, job_spec("job-3", 1));
  report_failures(worker);
  exchange_heartbeats({&worker}, constants::kQuarantineDelaySeconds - kIntervalSeconds);
  ASSERT_FALSE(cluster.machine(MachineId("n-1"))->draining);
  end_outage();
  ASSERT_EQ(count(exchange_heartbeat(worker), CommandKind::start), 1u);  // this response is lost
  advance_time(kIntervalSeconds);
  ASSERT_TRUE(cluster.machine(MachineId("n-1"))->draining);
  ASSERT_FALSE(assignment_of(JobId("job-3")).never_dispatched());
  exchange_heartbeat(worker);  // lacks the task, so the start was lost
  auto other = connect_worker("n-2");
  const auto starts = exchange_heartbeats({&worker, &other}, 10);
  EXPECT_FALSE(starts.contains("n-1"));
  EXPECT_FALSE(started_attempts(starts, other, "job-3").empty());
}

// Guards against a task that waits until the cloud confirms the deletion of its machine, which may take long.
TEST_F(UndispatchedTasksTest, TaskLeavesMachineWhoseDeletionIsRequested) {
  complete_loading();
  auto worker = connect_worker("n-1");
  submit(job_spec("job-1", 1));
  ASSERT_EQ(worker.run_started_tasks(exchange_heartbeat(worker)), 1u);
  exchange_heartbeat(worker);
  assign_during_outage(worker, job_spec("job-2", 1));
  cluster.apply(JobRecordDeleted{JobId("job-1")}, now);
  // The worker does not end the cancelled task, so its machine is deleted; the cloud does not respond.
  exchange_heartbeats({&worker}, cluster_config().cancellation_timeout_s);
  ASSERT_TRUE(cluster.machine(MachineId("n-1"))->scale_in_requested);
  end_outage();
  auto other = connect_worker("n-2");
  const auto starts = exchange_heartbeats({&worker, &other}, 6);
  EXPECT_FALSE(starts.contains("n-1"));
  EXPECT_FALSE(started_attempts(starts, other, "job-2").empty());
}

// Guards against a task that waits for a worker which receives no responses until its machine is deleted.
TEST_F(UndispatchedTasksTest, TaskLeavesMachineThatReceivesNoResponses) {
  complete_loading();
  auto worker = connect_worker("n-1");
  assign_during_outage(worker, job_spec("job-1", 1));
  worker.incarnation = 2;
  const auto lose_responses = [&](double duration_s) {
    for (double elapsed_s = 0; elapsed_s < duration_s; elapsed_s += kIntervalSeconds) {
      advance_time(kIntervalSeconds);
      worker.token = 0;  // the response that carries the token is lost
      exchange_heartbeat(worker);
    }
  };
  lose_responses(3 * kIntervalSeconds);
  end_outage();
  auto other = connect_worker("n-2");
  lose_responses(kIntervalSeconds);
  ASSERT_TRUE(cluster.machine(MachineId("n-1"))) << "the machine is not deleted yet";
  const auto starts = exchange_heartbeats({&other}, 4);
  EXPECT_EQ(started_attempts(starts, other, "job-1"), std::vector<Attempt>{2});
}

// Guards against a gang whose attempt keeps a task on a draining machine.
TEST_F(UndispatchedTasksTest, GangTaskOnFaultyMachineAbortsAttempt) {
  complete_loading();
  auto worker = connect_worker("n-1");
  fail_two_jobs(worker);
  auto other = connect_worker("n-2");
  send_heartbeat(worker);
  auto gang = job_spec("job-3", 2, 5);
  gang.kind = wire::JobKind::gang;
  state_service_available = false;
  submit(gang);
  assign_and_write();
  ASSERT_EQ(cluster.job(JobId("job-3"))->assignments.size(), 2u);
  receive_response(worker);
  report_failures(worker);
  for (double elapsed_s = 0; elapsed_s <= constants::kQuarantineDelaySeconds; elapsed_s += kIntervalSeconds)
    exchange_heartbeats({&worker, &other}, kIntervalSeconds);
  ASSERT_TRUE(cluster.machine(MachineId("n-1"))->draining);
  ASSERT_LT(now - cluster.job(JobId("job-3"))->gang.assigned_at, cluster_config().gang_assembly_timeout_s);
  EXPECT_EQ(machine_of(JobId("job-3")), "") << "the attempt is given up";
  end_outage();
  auto third = connect_worker("n-3");
  const auto starts = exchange_heartbeats({&worker, &other, &third}, 12);
  EXPECT_FALSE(starts.contains("n-1"));
  EXPECT_EQ(started_attempts(starts, other, "job-3").size() + started_attempts(starts, third, "job-3").size(),
            2u);
}

}  // namespace dockdyke::testing
