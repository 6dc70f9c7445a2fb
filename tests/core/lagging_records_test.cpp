// Jobs with `same_zone` or `spread` under a new leader whose loaded records lag behind the truth: the
// previous leader moved some of a job's tasks, but the records of their ends on the old machine were not
// stored.
#include <set>

#include "cluster_fixture.hpp"

namespace dockdyke::testing {

using wire::CommandKind;
using wire::ExitCause;
using wire::JobKind;
using wire::TaskState;

// The machine n-old in zone a is gone. According to the records, it still runs tasks of the job, one of which
// the previous leader had ended there and started again on the machine n-b in zone b.
class LaggingRecordsTest : public ClusterTest {
 protected:
  static constexpr const char* kJob = "job-1";

  explicit LaggingRecordsTest(ClusterConfig config = cluster_config()) : ClusterTest(std::move(config)) {}

  // Returns a job of eight tasks, of which four fit on a machine.
  static wire::JobSpec eight_tasks_spec(JobKind kind = JobKind::array) {
    auto spec = job_spec(kJob, 8, 2);
    spec.kind = kind;
    return spec;
  }
  static wire::JobSpec same_zone_spec(JobKind kind = JobKind::array) {
    auto spec = eight_tasks_spec(kind);
    spec.same_zone = true;
    return spec;
  }
  static std::vector<TaskRecord> records_on_old_machine(TaskIndex first, TaskIndex last) {
    std::vector<TaskRecord> records;
    for (TaskIndex index = first; index <= last; ++index)
      records.push_back({index, 1, MachineId("n-old"), false});
    return records;
  }
  static wire::ListedMachine listed(const std::string& id, const std::string& zone) {
    return {MachineId(id), "small", zone, true, wire::InstanceState::running, 90};
  }
  void list_machines(std::vector<wire::ListedMachine> machines) {
    cluster.apply(MachinesListed{std::move(machines)}, now);
  }

  // Loads the job, whose tasks 1 to 3 are on n-old and whose task 0 is on n-b according to the records.
  void load_moved_job(const wire::JobSpec& spec) {
    auto records = records_on_old_machine(1, 3);
    records.push_back({0, 2, MachineId("n-b"), false});
    load_job(spec, std::move(records));
    complete_loading();
    running_in_b.report_task(kJob, 0, 2, TaskState::running);
  }
  // The list of machines is older than the loss of n-old.
  void list_with_old_machine() { list_machines({listed("n-old", "a"), listed("n-b", "b")}); }
  // Lets all machines but n-old send heartbeats and follow their start commands for this long. The machine
  // lists lack n-old, and the cloud deletes what the leader requests.
  void run_without_old_machine(double duration_s) {
    for (const double end = now + duration_s; now < end;) {
      advance_time(2);
      list_machines({listed("n-b", "b"), listed("n-a", "a")});
      delete_requested_machines();
      exchange_with_workers();
    }
  }
  void delete_requested_machines() {
    for (const auto& deletion : emitted_effects<RequestScaleIn>())
      cluster.apply(MachinesDeleted{deletion.key, deletion.machines}, now);
  }
  void exchange_with_workers() {
    for (Worker* worker : {&running_in_b, &empty_in_a})
      worker->run_started_tasks(exchange_heartbeat(*worker));
  }
  // Returns the number of the job's tasks that the worker runs.
  static std::size_t running_tasks(const Worker& worker) {
    return static_cast<std::size_t>(std::count_if(
        worker.tasks.begin(), worker.tasks.end(),
        [](const auto& task) { return task.task.job.value == kJob && task.state == TaskState::running; }));
  }
  std::size_t waiting_tasks() { return cluster.job(JobId(kJob))->waiting_tasks(); }

  Worker running_in_b{"n-b", "b"};
  Worker empty_in_a{"n-a", "a"};
};

// Guards against a leader that starts tasks of one job in two zones, since records show it in both.
class LaggingRecordsOfSameZoneJobTest : public LaggingRecordsTest,
                                        public ::testing::WithParamInterface<JobKind> {};

TEST_P(LaggingRecordsOfSameZoneJobTest, StartsTasksOnlyWhereItsOtherTaskRuns) {
  load_moved_job(same_zone_spec(GetParam()));
  list_with_old_machine();
  for (int i = 0; i < 3; ++i) exchange_with_workers();
  EXPECT_EQ(running_tasks(empty_in_a), 0u) << "task 0 runs in zone b";
  EXPECT_EQ(running_tasks(running_in_b), 1u) << "by the records, other tasks may run in zone a";
  run_without_old_machine(60);
  EXPECT_EQ(running_tasks(empty_in_a), 0u);
  EXPECT_EQ(running_tasks(running_in_b), 4u) << "the machine has room for four tasks";
  EXPECT_EQ(waiting_tasks(), 4u);
}

INSTANTIATE_TEST_SUITE_P(Kinds, LaggingRecordsOfSameZoneJobTest,
                         ::testing::Values(JobKind::array, JobKind::service),
                         [](const auto& info) { return info.param == JobKind::array ? "Array" : "Service"; });

TEST_F(LaggingRecordsTest, SameZoneJobCompletesAfterOldMachineIsConfirmedGone) {
  load_moved_job(same_zone_spec());
  list_with_old_machine();
  std::set<TaskIndex> completed;
  for (const double end = now + 120; now < end && completed.size() < 8;) {
    run_without_old_machine(10);
    EXPECT_TRUE(running_tasks(empty_in_a) == 0 || running_tasks(running_in_b) == 0) << "two zones at " << now;
    for (Worker* worker : {&running_in_b, &empty_in_a}) {
      worker->end_tasks(ExitCause::done);
      for (const auto& task : worker->tasks) completed.insert(task.task.index);
      exchange_heartbeat(*worker);
      worker->tasks.clear();
    }
  }
  EXPECT_EQ(completed.size(), 8u);
}

// Long enough leases that a machine which neither sends heartbeats nor leaves the cloud's list delays the job
// most.
class LaggingRecordsWithLongLeasesTest : public LaggingRecordsTest {
 protected:
  static constexpr double kMaxWaitSeconds = 90;

  LaggingRecordsWithLongLeasesTest() : LaggingRecordsTest(slow_heartbeat_config()) {}
};

// Guards against a job that waits for 90 s, since nothing confirms that its recorded tasks have ended.
TEST_F(LaggingRecordsWithLongLeasesTest, SilentMachineDelaysSameZoneJobForLessThanMaxWait) {
  load_moved_job(same_zone_spec());
  const double elected_at = now;
  while (running_tasks(running_in_b) < 4 && now < elected_at + 2 * kMaxWaitSeconds) {
    advance_time(2);
    list_machines({listed("n-old", "a"), listed("n-b", "b"), listed("n-a", "a")});
    delete_requested_machines();
    exchange_with_workers();
    EXPECT_EQ(running_tasks(empty_in_a), 0u);
  }
  EXPECT_LT(now - elected_at, kMaxWaitSeconds);
}

// A machine that has tasks by the records, but is still booting by what the cloud says, has been up.
// Guards against waiting until its boot counts as failed, which takes longer than a job may wait.
TEST_F(LaggingRecordsWithLongLeasesTest, MachineLastListedAsBootingDelaysJobForLessThanMaxWait) {
  load_moved_job(same_zone_spec());
  auto booting = listed("n-old", "a");
  booting.state = wire::InstanceState::booting;
  booting.age_s = 2;
  list_machines({booting, listed("n-b", "b")});
  const double elected_at = now;
  while (running_tasks(running_in_b) < 4 && now < elected_at + 2 * kMaxWaitSeconds)
    run_without_old_machine(2);
  EXPECT_LT(now - elected_at, kMaxWaitSeconds);
}

TEST_F(LaggingRecordsWithLongLeasesTest, MachineKnownOnlyFromRepeatedScaleOutDelaysJobForLessThanMaxWait) {
  const wire::ScaleOutRequest request{ScaleOutId("r-1"), "small", "a", true, 1};
  cluster.apply(ScaleOutLoaded{request}, now);
  load_moved_job(same_zone_spec());
  cluster.apply(ScaleOutGranted{request.id, {MachineId("n-old")}}, now);
  const double elected_at = now;
  while (running_tasks(running_in_b) < 4 && now < elected_at + 2 * kMaxWaitSeconds)
    run_without_old_machine(2);
  EXPECT_LT(now - elected_at, kMaxWaitSeconds);
}

// Guards against machines that are requested, or tasks that are stopped, for tasks that may start nowhere.
TEST_F(LaggingRecordsTest, NoCapacityIsFreedForSameZoneJobWhileItMayStartNowhere) {
  auto low = job_spec("job-2", 4, 2);
  low.priority = wire::Priority::low;
  auto spec = same_zone_spec();
  spec.priority = wire::Priority::high;
  load_moved_job(spec);
  for (int i = 0; i < 2; ++i) exchange_heartbeat(empty_in_a);
  submit(low);
  ASSERT_EQ(empty_in_a.run_started_tasks(exchange_heartbeat(empty_in_a)), 4u);
  list_machines({listed("n-old", "a"), listed("n-b", "b"), listed("n-a", "a")});
  for (int i = 0; i < 5; ++i) {
    advance_time(2);
    list_machines({listed("n-old", "a"), listed("n-b", "b"), listed("n-a", "a")});
    exchange_heartbeat(running_in_b);
    EXPECT_EQ(count(exchange_heartbeat(empty_in_a), CommandKind::stop), 0u);
  }
  EXPECT_TRUE(emitted_effects<RequestScaleOut>().empty());
  run_without_old_machine(60);
  const auto requests = emitted_effects<RequestScaleOut>();
  EXPECT_FALSE(requests.empty());
  for (const auto& each : requests) EXPECT_EQ(each.request.zone, "b");
}

TEST_F(LaggingRecordsTest, SameZoneJobMayUseAnyZoneOnceAllItsRecordedTasksAreConfirmedEnded) {
  load_job(same_zone_spec(), records_on_old_machine(0, 3));
  complete_loading();
  for (int i = 0; i < 3; ++i) exchange_with_workers();
  EXPECT_EQ(running_tasks(empty_in_a) + running_tasks(running_in_b), 0u) << "the zone of n-old is unknown";
  run_without_old_machine(60);
  EXPECT_EQ(running_tasks(empty_in_a) + running_tasks(running_in_b), 4u)
      << "one zone has room for four tasks";
  EXPECT_EQ(waiting_tasks(), 4u);
}

TEST_F(LaggingRecordsTest, RecordedTasksOfSpreadJobCountInTheirZoneUntilConfirmedEnded) {
  auto spec = eight_tasks_spec();
  spec.spread = true;
  load_moved_job(spec);
  list_with_old_machine();
  for (int i = 0; i < 3; ++i) exchange_with_workers();
  EXPECT_EQ(running_tasks(empty_in_a), 1u) << "at most four tasks per zone, of which three may run on n-old";
  EXPECT_EQ(running_tasks(running_in_b), 4u);
  run_without_old_machine(60);
  EXPECT_EQ(running_tasks(empty_in_a), 4u);
  EXPECT_EQ(running_tasks(running_in_b), 4u);
}

TEST_F(LaggingRecordsTest, RecordedTasksOfSpreadJobInUnknownZoneCountInEveryZone) {
  auto spec = eight_tasks_spec();
  spec.spread = true;
  load_moved_job(spec);
  for (int i = 0; i < 3; ++i) exchange_with_workers();
  EXPECT_EQ(running_tasks(empty_in_a), 1u);
  EXPECT_EQ(running_tasks(running_in_b), 1u) << "three tasks may run on n-old, whose zone may be b";
  run_without_old_machine(60);
  EXPECT_EQ(running_tasks(empty_in_a) + running_tasks(running_in_b), 8u);
}

// Guards against a second attempt of a gang in another zone while tasks of the recorded one may run.
TEST_F(LaggingRecordsTest, GangBeginsNextAttemptOnlyAfterAllRecordedTasksAreConfirmedEnded) {
  auto spec = job_spec(kJob, 4, 2);
  spec.kind = JobKind::gang;
  spec.same_zone = true;
  cluster.apply(JobLoaded{job_record(spec), Revision(40), false}, now);
  const GangPart part{JobId(kJob), 1, 0, 1, records_on_old_machine(0, 3)};
  cluster.apply(GangPartLoaded{"gang/job-1/1/0", part}, now);
  complete_loading();
  list_with_old_machine();
  for (int i = 0; i < 3; ++i) exchange_with_workers();
  EXPECT_EQ(running_tasks(empty_in_a) + running_tasks(running_in_b), 0u);
  run_without_old_machine(60);
  EXPECT_EQ(std::max(running_tasks(empty_in_a), running_tasks(running_in_b)), 4u);
  EXPECT_EQ(std::min(running_tasks(empty_in_a), running_tasks(running_in_b)), 0u);
}

}  // namespace dockdyke::testing
