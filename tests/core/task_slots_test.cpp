// Tests of the limit of tasks per machine, through the leader's state machine.
#include <nlohmann/json.hpp>

#include "cluster_fixture.hpp"
#include "constants.hpp"

namespace dockdyke::testing {

using wire::CommandKind;
using wire::ExitCause;
using wire::TaskState;

class TaskSlotsTest : public ClusterTest {
 protected:
  static constexpr double kTinyCpus = 0.0001;

  // Exchanges heartbeats until the worker gets no more start commands, and follows these. Returns the number
  // of stop commands.
  std::size_t fill(Worker& worker) {
    std::size_t stops = 0;
    for (std::size_t starts = 1; starts > 0;) {
      const auto commands = exchange_heartbeat(worker);
      starts = worker.run_started_tasks(commands);
      stops += count(commands, CommandKind::stop);
      advance_time(0.5);
    }
    return stops;
  }
};

// Guards against heartbeats that exceed 64 KiB: every controller refuses them, and the worker's lease
// expires.
TEST_F(TaskSlotsTest, HeartbeatOfFullMachineFitsIntoRequest) {
  complete_loading();
  auto worker = connect_worker("n-1");
  submit(job_spec("job-1", constants::kMaxTasksPerJob, kTinyCpus));
  fill(worker);
  submit(job_spec("job-2", constants::kMaxTasksPerJob, 0.13));
  fill(worker);
  EXPECT_GT(worker.tasks.size(), constants::kSmallTaskSlots);
  EXPECT_LE(worker.tasks.size(), constants::kMaxTasksPerMachine);
  const nlohmann::json longest_entry{{"piece", "job-123456789012345678/99999"},
                                     {"try", 1000},
                                     {"stage", "exited"},
                                     {"cause", "halted"},
                                     {"stored", true}};
  const nlohmann::json tasks(constants::kMaxTasksPerMachine, longest_entry);
  EXPECT_LT(tasks.dump().size(), constants::kMaxRequestBodyBytes - 1024);
}

// Guards against an array of tiny tasks that keeps all other jobs from machines with free resources.
TEST_F(TaskSlotsTest, SmallTasksLeaveSlotsToLargerOnes) {
  complete_loading();
  auto worker = connect_worker("n-1");
  submit(job_spec("job-1", constants::kMaxTasksPerJob, kTinyCpus));
  fill(worker);
  ASSERT_EQ(worker.tasks.size(), constants::kSmallTaskSlots);
  submit(job_spec("job-2", 7, 1));
  fill(worker);
  EXPECT_EQ(cluster.job(JobId("job-2"))->assignments.size(), 7u);
}

TEST_F(TaskSlotsTest, ExitedTasksCountUntilTheyAreAcknowledged) {
  complete_loading();
  auto worker = connect_worker("n-1");
  submit(job_spec("job-1", constants::kMaxTasksPerJob, kTinyCpus));
  fill(worker);
  worker.end_tasks(ExitCause::done);
  const auto commands = exchange_heartbeat(worker);
  EXPECT_EQ(count(commands, CommandKind::acknowledge), constants::kMaxCommandsPerResponse);
  EXPECT_TRUE(cluster.job(JobId("job-1"))->assignments.empty());
  std::erase_if(worker.tasks, [&](const auto& task) {
    return std::any_of(commands.begin(), commands.end(),
                       [&](const auto& command) { return command.task == task.task; });
  });
  exchange_heartbeat(worker);
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.size(),
            constants::kSmallTaskSlots - worker.tasks.size());
}

// Guards against a larger task that is stopped and started over and over for urgent small ones.
TEST_F(TaskSlotsTest, NoTaskIsPreemptedForLackOfSlots) {
  complete_loading();
  auto worker = connect_worker("n-1");
  auto ordinary = job_spec("job-1", 1, 4);
  ordinary.priority = wire::Priority::low;
  ordinary.estimated_run_s = 4000;
  submit(ordinary);
  fill(worker);
  auto urgent = job_spec("job-2", constants::kMaxTasksPerJob, kTinyCpus);
  urgent.priority = wire::Priority::high;
  submit(urgent);
  std::size_t stops = 0;
  for (int i = 0; i < 20; ++i) {
    stops += fill(worker);
    advance_time(1);
  }
  EXPECT_EQ(worker.tasks.size(), constants::kSmallTaskSlots);
  EXPECT_EQ(stops, 0u);
}

TEST_F(TaskSlotsTest, MachinesAreRequestedForTasksBeyondSlots) {
  complete_loading();
  submit(job_spec("job-1", 3 * constants::kSmallTaskSlots + 1, kTinyCpus));
  advance_time(3);
  std::size_t machines = 0;
  for (const auto& scale_out : emitted_effects<RequestScaleOut>()) machines += scale_out.request.count;
  EXPECT_EQ(machines, 4u);
}

TEST_F(TaskSlotsTest, GangUsesAsManyMachinesAsItsTasksNeedSlots) {
  complete_loading();
  auto first = connect_worker("n-1");
  auto gang = job_spec("job-1", constants::kSmallTaskSlots + 1, kTinyCpus);
  gang.kind = wire::JobKind::gang;
  submit(gang);
  advance_time(2);
  EXPECT_TRUE(cluster.job(JobId("job-1"))->assignments.empty());
  exchange_heartbeat(first);
  send_heartbeat(first);
  auto second = connect_worker("n-2");
  advance_time(2);
  EXPECT_EQ(cluster.job(JobId("job-1"))->gang.machine_count, 2u);
}

}  // namespace dockdyke::testing
