// Scenarios about serving well: where tasks go, which machines are rented, kept and returned.
#include "cluster_fixture.hpp"
#include "constants.hpp"

namespace dockdyke::testing {

using wire::CommandKind;
using wire::ExitCause;
using wire::TaskState;

class PlacementTest : public ClusterTest {};

TEST_F(PlacementTest, SpreadJobPutsAtMostHalfIntoAZone) {
  complete_loading();
  auto first = connect_worker("n-1", "a");
  auto second = connect_worker("n-2", "a");
  auto spec = job_spec("job-1", 3);
  spec.spread = true;
  submit(spec);
  EXPECT_EQ(count(exchange_heartbeat(first), CommandKind::start) +
                count(exchange_heartbeat(second), CommandKind::start),
            2u);
  auto far = connect_worker("n-3", "b");
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.size(), 3u);
}

TEST_F(PlacementTest, OneZoneJobStaysWhereItsFirstTaskIs) {
  complete_loading();
  auto first = connect_worker("n-1", "a");
  auto far = connect_worker("n-2", "b");
  auto spec = job_spec("job-1", 4);
  spec.same_zone = true;
  submit(spec);
  assign_and_write();
  std::set<std::string> zones;
  for (const auto& [index, assignment] : cluster.job(JobId("job-1"))->assignments)
    zones.insert(assignment.machine->zone);
  EXPECT_EQ(zones.size(), 1u);
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.size(), 2u);
}

TEST_F(PlacementTest, JobThatMayNotUseSpotMachinesWaitsForAnother) {
  complete_loading();
  auto spot = connect_worker("n-1", "a", true);
  auto spec = job_spec("job-1", 1);
  spec.spot_allowed = false;
  submit(spec);
  EXPECT_EQ(count(exchange_heartbeat(spot), CommandKind::start), 0u);
  advance_time(8);
  ASSERT_FALSE(emitted_effects<RequestScaleOut>().empty());
  EXPECT_FALSE(emitted_effects<RequestScaleOut>()[0].request.spot);
}

TEST_F(PlacementTest, UrgentJobGoesFirst) {
  complete_loading();
  submit(job_spec("job-1", 2));
  auto urgent = job_spec("job-2", 2);
  urgent.priority = wire::Priority::high;
  submit(urgent);
  auto worker = connect_worker("n-1");
  EXPECT_EQ(cluster.job(JobId("job-2"))->assignments.size(), 2u);
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.size(), 0u);
}

TEST_F(PlacementTest, WaitingWorkRentsTheCheapestKindAndTriesTheNextWhenRefused) {
  complete_loading();
  submit(job_spec("job-1", 2));
  advance_time(6);
  auto rents = emitted_effects<RequestScaleOut>();
  ASSERT_EQ(rents.size(), 1u);
  EXPECT_TRUE(rents[0].request.spot);
  EXPECT_EQ(rents[0].request.count, 1u);
  cluster.apply(ScaleOutRefused{rents[0].request.id}, now);
  advance_time(5);
  rents = emitted_effects<RequestScaleOut>();
  ASSERT_EQ(rents.size(), 2u);
  EXPECT_TRUE(rents[1].request.spot);
  EXPECT_NE(rents[1].request.zone, rents[0].request.zone);
  EXPECT_NE(rents[1].request.id, rents[0].request.id);
  cluster.apply(ScaleOutRefused{rents[1].request.id}, now);
  advance_time(5);
  rents = emitted_effects<RequestScaleOut>();
  for (const auto& each : rents)
    EXPECT_TRUE(each.request.spot) << "not an ordinary one while the job has time to wait";
  for (int i = 0; i < 20 && emitted_effects<RequestScaleOut>().back().request.spot; ++i) {
    advance_time(5);
    rents = emitted_effects<RequestScaleOut>();
    if (rents.back().request.spot) cluster.apply(ScaleOutRefused{rents.back().request.id}, now);
  }
  EXPECT_FALSE(emitted_effects<RequestScaleOut>().back().request.spot);
  EXPECT_LE(now, 75);
}

TEST_F(PlacementTest, RentOfAnEarlierLeaderIsAskedAgainUnderItsName) {
  cluster.apply(ScaleOutLoaded{{ScaleOutId("r-20-1"), "small", "a", true, 2}}, now);
  complete_loading();
  const auto rents = emitted_effects<RequestScaleOut>();
  ASSERT_EQ(rents.size(), 1u);
  EXPECT_EQ(rents[0].request.id, ScaleOutId("r-20-1"));
  EXPECT_TRUE(rents[0].persisted);
  cluster.apply(ScaleOutGranted{ScaleOutId("r-20-1"), {MachineId("n-1"), MachineId("n-2")}}, now);
  submit(job_spec("job-1", 4));
  advance_time(10);
  EXPECT_EQ(emitted_effects<RequestScaleOut>().size(), 1u) << "the booting machines are enough";
}

TEST_F(PlacementTest, NearlyDoneTasksAreWaitedForBeforeRenting) {
  complete_loading();
  auto worker = connect_worker("n-1");
  submit(job_spec("job-1", 2));
  exchange_heartbeat(worker);
  worker.report_task("job-1", 0, 1, TaskState::running);
  worker.report_task("job-1", 1, 1, TaskState::running);
  exchange_heartbeat(worker);
  for (int i = 0; i < 19; ++i) {
    advance_time(2);
    exchange_heartbeat(worker);
  }
  submit(job_spec("job-2", 2));  // 38 s into tasks of 40 s
  for (int i = 0; i < 3; ++i) {
    advance_time(2);
    exchange_heartbeat(worker);
  }
  EXPECT_TRUE(emitted_effects<RequestScaleOut>().empty());
}

TEST_F(PlacementTest, EmptyMachineGoesBackOnlyAfterAWhile) {
  complete_loading();
  auto worker = connect_worker("n-1");
  for (int i = 0; i < 5; ++i) {
    advance_time(2);
    exchange_heartbeat(worker);
  }
  EXPECT_TRUE(emitted_effects<RequestScaleIn>().empty());
  for (int i = 0; i < 30; ++i) {
    advance_time(2);
    exchange_heartbeat(worker);
  }
  ASSERT_FALSE(emitted_effects<RequestScaleIn>().empty());
  EXPECT_EQ(emitted_effects<RequestScaleIn>()[0].machines, std::vector<MachineId>{MachineId("n-1")});
}

TEST_F(PlacementTest, LastingWorkOnAnOrdinaryMachineRentsASpotOneAndItsEndStopsThat) {
  complete_loading();
  auto worker = connect_worker("n-1", "a", false);
  auto spec = job_spec("job-1", 2);
  spec.estimated_run_s = 400;
  submit(spec);
  exchange_heartbeat(worker);
  worker.report_task("job-1", 0, 1, TaskState::running);
  worker.report_task("job-1", 1, 1, TaskState::running);
  for (int i = 0; i < 60 && emitted_effects<RequestScaleOut>().empty(); ++i) {
    advance_time(2);
    exchange_heartbeat(worker);
  }
  const auto rents = emitted_effects<RequestScaleOut>();
  ASSERT_EQ(rents.size(), 1u);
  EXPECT_TRUE(rents[0].request.spot);
  cluster.apply(ScaleOutRefused{rents[0].request.id}, now);
  cluster.apply(JobRecordDeleted{JobId("job-1")}, now);
  worker.tasks.clear();
  for (int i = 0; i < 60; ++i) {
    advance_time(2);
    exchange_heartbeat(worker);
  }
  EXPECT_EQ(emitted_effects<RequestScaleOut>().size(), 1u);
}

TEST_F(PlacementTest, MachineThatNeverBootsIsDeleted) {
  complete_loading();
  cluster.apply(MachinesListed{{{MachineId("n-1"), "small", "a", true, wire::InstanceState::booting, 1}}},
                now);
  advance_time(100);
  EXPECT_TRUE(emitted_effects<RequestScaleIn>().empty());
  advance_time(60);
  EXPECT_FALSE(emitted_effects<RequestScaleIn>().empty());
}

TEST_F(PlacementTest, MachineThatFailsTasksOfSeveralJobsIsDrainedAndDeleted) {
  complete_loading();
  auto worker = connect_worker("n-1");
  submit(job_spec("job-1", 1));
  submit(job_spec("job-2", 1));
  exchange_heartbeat(worker);
  worker.report_task("job-1", 0, 1, TaskState::exited, ExitCause::error);
  worker.report_task("job-2", 0, 1, TaskState::exited, ExitCause::error);
  exchange_heartbeat(worker);
  submit(job_spec("job-3", 1));
  worker.tasks.clear();
  EXPECT_EQ(count(exchange_heartbeat(worker), CommandKind::start), 0u)
      << "nothing more goes there while it is judged";
  for (int i = 0; i < 6; ++i) {
    advance_time(2);
    exchange_heartbeat(worker);
  }
  EXPECT_EQ(emitted_effects<RequestScaleIn>().at(0).machines[0], MachineId("n-1"));
}

TEST_F(PlacementTest, MachineOnWhichTasksTakeSeveralTimesAsLongAsElsewhereIsLeft) {
  complete_loading();
  std::vector<Worker> workers{connect_worker("n-1"), connect_worker("n-2"), connect_worker("n-3")};
  submit(job_spec("job-1", 6));
  assign_and_write();
  for (auto& worker : workers)
    for (const auto& command : receive_response(worker))
      worker.report_task("job-1", command.task.index, command.attempt, TaskState::running);
  // Reports for so many seconds; returns how many tasks a machine was told to stop.
  auto run = [&](int seconds) {
    std::size_t stopped = 0;
    for (; seconds > 0; seconds -= 2) {
      advance_time(2);
      for (auto& worker : workers)
        stopped = std::max(stopped, count(exchange_heartbeat(worker), CommandKind::stop));
    }
    return stopped;
  };
  run(20);
  for (std::size_t quick = 0; quick < 2; ++quick)
    for (auto& task : workers[quick].tasks) {
      task.state = TaskState::exited;
      task.cause = ExitCause::done;
    }
  EXPECT_EQ(run(16), 0u) << "twice the others' time is not up";
  EXPECT_EQ(run(8), 2u);
  workers[2].tasks.clear();
  run(2);
  EXPECT_EQ(cluster.job(JobId("job-1"))->waiting_tasks(), 2u) << "they go on elsewhere";
  run(6);
  std::set<MachineId> returned;
  for (const auto& effect : emitted_effects<RequestScaleIn>())
    returned.insert(effect.machines.begin(), effect.machines.end());
  EXPECT_TRUE(returned.contains(MachineId("n-3")));

  workers = {connect_worker("n-4")};
  for (const auto& command : receive_response(workers[0]))
    workers[0].report_task("job-1", command.task.index, command.attempt, TaskState::running);
  ASSERT_EQ(workers[0].tasks.size(), 2u);
  EXPECT_EQ(run(80), 0u) << "tasks that do take that long are not moved on for ever";
}

TEST_F(PlacementTest, JobThatFailsEverywhereSlowsDownAndBlamesNoMachine) {
  complete_loading();
  std::vector<Worker> workers;
  for (int i = 1; i <= 4; ++i) workers.push_back(connect_worker("n-" + std::to_string(i)));
  submit(job_spec("job-1", 1));
  submit(job_spec("job-2", 1));
  std::size_t starts = 0;
  for (int round = 0; round < 20; ++round) {
    advance_time(1);
    for (auto& worker : workers) {
      for (const auto& command : exchange_heartbeat(worker)) {
        if (command.kind == CommandKind::start) {
          ++starts;
          worker.report_task(command.task.job.value, command.task.index, command.attempt, TaskState::exited,
                             ExitCause::error);
        } else if (command.kind == CommandKind::acknowledge) {
          std::erase_if(worker.tasks, [&](const auto& t) {
            return t.task == command.task && t.attempt == command.attempt;
          });
        }
      }
    }
  }
  EXPECT_GE(starts, 6u);
  EXPECT_LE(starts, 20u);
  std::size_t draining = 0;
  for (const auto& worker : workers)
    if (const auto* machine = cluster.machine(MachineId(worker.name)); machine && machine->draining)
      ++draining;
  EXPECT_EQ(draining, 0u);
}

TEST_F(PlacementTest, NoticeLetsATaskSaveInTimeAndBringsNoNewWork) {
  complete_loading();
  auto worker = connect_worker("n-1");
  auto spec = job_spec("job-1", 1);
  spec.checkpoint_interval_s = 15;
  spec.checkpoint_duration_s = 2;
  submit(spec);
  exchange_heartbeat(worker);
  worker.report_task("job-1", 0, 1, TaskState::running);
  worker.termination_notice_s = 20;
  EXPECT_EQ(count(exchange_heartbeat(worker), CommandKind::stop), 0u) << "there is time to go on";
  submit(job_spec("job-2", 1));
  worker.termination_notice_s = 6;
  const auto commands = exchange_heartbeat(worker);
  ASSERT_EQ(count(commands, CommandKind::stop), 1u);
  EXPECT_EQ(commands[0].grace_s, 2);
  EXPECT_EQ(count(commands, CommandKind::start), 0u);
}

TEST_F(PlacementTest, LesserWorkIsStoppedWhenAnUrgentJobFindsNoRoom) {
  complete_loading();
  auto worker = connect_worker("n-1");
  auto low = job_spec("job-1", 2);
  low.checkpoint_interval_s = 10;
  low.checkpoint_duration_s = 1;
  submit(low);
  exchange_heartbeat(worker);
  worker.report_task("job-1", 0, 1, TaskState::running);
  worker.report_task("job-1", 1, 1, TaskState::running);
  exchange_heartbeat(worker);
  auto urgent = job_spec("job-2", 1);
  urgent.priority = wire::Priority::high;
  submit(urgent);
  for (int i = 0; i < 5; ++i) {
    advance_time(2);
    exchange_heartbeat(worker);
  }
  std::size_t stopping = 0;
  for (const auto& [index, assignment] : cluster.job(JobId("job-1"))->assignments)
    stopping += assignment.stopping;
  EXPECT_EQ(stopping, 1u);
}

TEST_F(PlacementTest, HugeJobIsPlacedInBatchesAndItsPagesFitTheirValues) {
  complete_loading();
  std::vector<Worker> workers;
  for (int i = 0; i < 30; ++i) workers.push_back(connect_worker("n-" + std::to_string(100 + i)));
  submit(job_spec("job-1", 100'000, 0.05));
  for (int i = 0; i < 15; ++i) assign_and_write();
  const Job* job = cluster.job(JobId("job-1"));
  EXPECT_EQ(job->assignments.size(), 30u * 160u);
  EXPECT_TRUE(std::all_of(job->tasks.begin(), job->tasks.begin() + 4800,
                          [](const TaskProgress& slot) { return slot.durable(); }));
  std::size_t pages = 0;
  for (const auto& save : applied_writes) {
    ASSERT_EQ(save.transaction.puts.size(), 1u);
    EXPECT_LE(save.transaction.puts[0].value.dump().size(), 4096u);
    ++pages;
  }
  EXPECT_LE(pages, 40u);
}

// Small tasks strewn over the only machines that hold large ones kept these out for minutes (an incident).
TEST_F(PlacementTest, SmallTasksLeaveAMachineToTheLargeOneThatNeedsIt) {
  auto large = small_machine_type("large", 16, 4.0, 1.2);
  cluster.apply(MachineTypesChanged{{small_machine_type(), large}}, now);
  complete_loading();
  Worker worker{"n-1"};
  worker.type = "large";
  exchange_heartbeat(worker);
  exchange_heartbeat(worker);
  auto filler = job_spec("job-1", 1, 8);
  submit(filler);
  assign_and_write();
  auto big = job_spec("job-2", 1, 16);
  big.deadline_s = 60;
  submit(big);
  for (int i = 0; i < 5; ++i) {
    advance_time(1);
    exchange_heartbeat(worker);
    for (const auto& rent : emitted_effects<RequestScaleOut>())
      cluster.apply(ScaleOutRefused{rent.request.id}, now);
  }
  auto small = job_spec("job-3", 2);
  small.priority = wire::Priority::high;
  small.deadline_s = 300;
  submit(small);
  assign_and_write();
  EXPECT_EQ(cluster.job(JobId("job-3"))->assignments.size(), 0u);
  advance_time(4);
  const auto rents = emitted_effects<RequestScaleOut>();
  EXPECT_TRUE(
      std::any_of(rents.begin(), rents.end(), [](const auto& each) { return each.request.type == "small"; }));
}

// A day fails if the largest jobs of a class have not begun within four minutes.
TEST_F(PlacementTest, JobThatHasNotBegunForLongGoesAheadOfMoreUrgentWork) {
  complete_loading();
  auto worker = connect_worker("n-1");
  auto large = job_spec("job-1", 40, 8);
  submit(large);
  std::size_t urgent = 2;
  double waited = 0;
  while (!cluster.job(JobId("job-1"))->started && waited < 240) {
    for (int i = 0; i < 2; ++i) {
      auto spec = job_spec("job-" + std::to_string(urgent++), 1, 8);
      spec.priority = wire::Priority::high;
      spec.estimated_run_s = 2;
      submit(spec);
    }
    for (const auto& command : exchange_heartbeat(worker)) {
      if (command.kind == CommandKind::start)
        worker.report_task(command.task.job.value, command.task.index, command.attempt, TaskState::running);
      if (command.kind == CommandKind::acknowledge) worker.tasks.clear();
    }
    exchange_heartbeat(worker);
    for (auto& task : worker.tasks) {
      task.state = TaskState::exited;
      task.cause = ExitCause::done;
    }
    advance_time(2);
    waited += 2;
  }
  EXPECT_GE(waited, 60) << "urgent work goes first at all other times";
  EXPECT_LE(waited, 120);
}

TEST_F(PlacementTest, WorkFillsMachinesInUseBeforeAnEmptyOneUnlessItCantWait) {
  complete_loading();
  auto used = connect_worker("n-1");
  submit(job_spec("job-1", 1));
  exchange_heartbeat(used);
  used.report_task("job-1", 0, 1, TaskState::running);
  exchange_heartbeat(used);
  auto empty = connect_worker("n-2");
  advance_time(1);
  send_heartbeat(empty);
  auto patient = job_spec("job-2", 1);
  patient.deadline_s = 300;
  submit(patient);
  assign_and_write();
  EXPECT_TRUE(cluster.job(JobId("job-2"))->assignments.empty()) << "n-1 has room and will report soon";
  auto hasty = job_spec("job-3", 1, 8);
  hasty.deadline_s = 45;
  submit(hasty);
  assign_and_write();
  EXPECT_EQ(cluster.job(JobId("job-3"))->assignments.size(), 1u);
  send_heartbeat(used);
  EXPECT_EQ(cluster.job(JobId("job-2"))->assignments.at(0).machine->id, MachineId("n-1"));
}

// At 1,750 machines passes over the whole fleet took most of the leader's processor.
TEST_F(PlacementTest, WorkOfAReportDoesNotGrowWithTheFleet) {
  LeaderStateMachine large(cluster_config(), FencingToken(kToken), 0, 0);
  large.apply(MachineTypesChanged{{small_machine_type()}}, 0);
  large.apply(LoadCompleted{}, 0);
  constexpr int kMachines = 2050;
  constexpr int kJobs = 300;
  for (int i = 0; i < kJobs; ++i) {
    auto spec = job_spec("job-" + std::to_string(1000 + i), 100);
    spec.deadline_s = 60 + i;
    large.apply(JobSubmitted{job_record(spec), Revision(60)}, 0);
  }
  std::vector<Worker> workers;
  std::map<std::string, std::vector<wire::Command>> commands;
  std::size_t writes = 0;
  std::size_t started = 0;
  Time time = 1;
  auto save = [&] {
    while (auto due = large.next_write(time)) {
      writes += due->transaction.puts.size();
      large.apply(WriteApplied{due->number}, time);
    }
  };
  for (int i = 0; i < kMachines; ++i) workers.push_back(Worker{"n-" + std::to_string(10'000 + i)});
  for (int round = 0; round < 3; ++round) {
    for (auto& worker : workers) {
      time += 0.001;
      large.apply_heartbeat(worker.next_heartbeat(), time);
      large.assign_tasks(time);
      save();
      for (const auto& command : large.commands_for(MachineId(worker.name), true, time)) {
        started += command.kind == CommandKind::start;
        worker.report_task(command.task.job.value, command.task.index, command.attempt, TaskState::running);
      }
      large.response_sent(MachineId(worker.name), time);
      worker.token = kToken;
    }
  }
  EXPECT_EQ(started, 2u * kMachines);
  EXPECT_LT(writes, 60u) << "records follow time, not tasks";
  // A report costs a look at the waiting jobs, not at the fleet: far from kMachines a report.
  EXPECT_LT(large.scanned(), 3u * kMachines * 2 * kJobs);
  const auto before = large.scanned();
  time += 0.001;
  large.apply_heartbeat(workers[0].next_heartbeat(), time);  // full
  large.assign_tasks(time);
  EXPECT_LE(large.scanned() - before, 2u);
  // Nor does a second's review look at every machine for every job that waits for room.
  const auto before_review = large.scanned();
  time += constants::kPreemptionDelaySeconds + 1;
  large.apply(Tick{}, time);
  EXPECT_LT(large.scanned() - before_review, static_cast<std::uint64_t>(kMachines + 2 * kJobs));
}

class StartObjectiveTest : public ClusterTest {
 protected:
  static ClusterConfig wanted_soon() {
    auto config = cluster_config();
    config.objectives = {{ServiceLevelObjective::Kind::start, "class", 9, 1}};
    return config;
  }
  StartObjectiveTest() : ClusterTest(wanted_soon()) {}
};

TEST_F(StartObjectiveTest, RoomThatOthersWillFreeSoonIsNotWaitedForUntilTheObjectiveIsMissed) {
  complete_loading();
  auto worker = connect_worker("n-1");
  submit(job_spec("job-1", 2));
  assign_and_write();
  for (const auto& command : receive_response(worker))
    worker.report_task("job-1", command.task.index, command.attempt, TaskState::running);
  auto run = [&](int seconds) {
    for (; seconds > 0; --seconds) {
      advance_time(1);
      exchange_heartbeat(worker);
    }
  };
  run(20);  // of 40, and a boot takes as long: half-way through they will be done before another is up
  submit(job_spec("job-2", 2));
  run(2);
  EXPECT_TRUE(emitted_effects<RequestScaleOut>().empty());
  run(3);
  EXPECT_FALSE(emitted_effects<RequestScaleOut>().empty()) << "in a large fleet as much arrives as is freed";
}

class GuaranteeTest : public ClusterTest {
 protected:
  static ClusterConfig guaranteed() {
    auto config = cluster_config();
    config.teams[0].guaranteed_share.cpus = 8;
    return config;
  }
  GuaranteeTest() : ClusterTest(guaranteed()) {}
};

TEST_F(GuaranteeTest, TeamWithinItsGuaranteeNeedNotWaitForMoreUrgentWorkOfOthers) {
  complete_loading();
  auto other = job_spec("job-1", 2);
  other.team = "other";
  other.priority = wire::Priority::critical;
  submit(other);
  submit(job_spec("job-2", 2));
  auto worker = connect_worker("n-1");
  EXPECT_EQ(cluster.job(JobId("job-2"))->assignments.size(), 2u);
}

// Two machines full of one job's work, and an urgent job that finds no room.
class PreemptionTest : public PlacementTest {
 protected:
  void fill(wire::Priority priority) {
    complete_loading();
    for (const char* name : {"n-1", "n-2"}) workers.push_back(connect_worker(name));
    auto work = job_spec("job-1", 8, 2);
    work.priority = priority;
    work.estimated_run_s = 300;
    submit(work);
    exchange_all();
    exchange_all();
  }
  // Starts what is ordered; returns how many orders to stop came.
  std::size_t exchange_all() {
    std::size_t stops = 0;
    for (auto& worker : workers)
      for (const auto& command : exchange_heartbeat(worker)) {
        if (command.kind == CommandKind::start)
          worker.report_task(command.task.job.value, command.task.index, command.attempt, TaskState::running);
        stops += command.kind == CommandKind::stop;
      }
    return stops;
  }
  // The most orders to stop in one round of reports, from the urgent job's coming on.
  std::size_t stops_for_urgent(TaskIndex tasks, bool first_round_only) {
    auto urgent = job_spec("job-2", tasks, 4);
    urgent.priority = wire::Priority::high;
    submit(urgent);
    std::size_t stops = 0;
    for (int i = 0; i < 6 && (stops == 0 || !first_round_only); ++i) {
      advance_time(1.5);
      stops = std::max(stops, exchange_all());
    }
    return stops;
  }
  std::vector<Worker> workers;
};

TEST_F(PreemptionTest, WorkForIdleHoursMakesWayForAllWaitingTasksOfAnUrgentJobAtOnce) {
  // Made for one task every 2 s, an array of 25 waited for most of a minute.
  fill(wire::Priority::low);
  EXPECT_EQ(stops_for_urgent(4, true), 8u);
}

TEST_F(PreemptionTest, WorkThatOwnersWaitForMakesWayStepByStep) {
  // Stopped all at once for an urgent array, most of which finds room that frees, it cost a small fleet more
  // than it gained.
  fill(wire::Priority::normal);
  EXPECT_EQ(stops_for_urgent(4, true), 2u) << "room for one task of it";
}

TEST_F(PreemptionTest, NoMoreIsStoppedThanAnUrgentJobNeeds) {
  fill(wire::Priority::low);
  EXPECT_EQ(stops_for_urgent(1, false), 2u);
}

TEST_F(PlacementTest, WorkOfTheLowestPriorityMakesWayFirstWhateverItsLoss) {
  complete_loading();
  auto worker = connect_worker("n-1");
  auto saving = job_spec("job-1", 1, 4);  // it would lose least
  saving.checkpoint_interval_s = 10;
  saving.checkpoint_duration_s = 1;
  submit(saving);
  auto idle_work = job_spec("job-2", 1, 4);
  idle_work.priority = wire::Priority::low;
  idle_work.estimated_run_s = 300;
  submit(idle_work);
  for (const auto& command : exchange_heartbeat(worker))
    worker.report_task(command.task.job.value, command.task.index, command.attempt, TaskState::running);
  ASSERT_EQ(worker.tasks.size(), 2u);
  exchange_heartbeat(worker);
  auto urgent = job_spec("job-3", 1, 4);
  urgent.priority = wire::Priority::high;
  submit(urgent);
  std::vector<wire::Command> stops;
  for (int i = 0; i < 6 && stops.empty(); ++i) {
    advance_time(2);
    for (const auto& command : exchange_heartbeat(worker))
      if (command.kind == CommandKind::stop) stops.push_back(command);
  }
  ASSERT_EQ(stops.size(), 1u);
  EXPECT_EQ(stops[0].task.job, JobId("job-2"));
}

}  // namespace dockdyke::testing
