// Tests of task placement, preemption, scale-out, scale-in and machine health through the leader's state
// machine.
#include "cluster_fixture.hpp"
#include "constants.hpp"

namespace dockdyke::testing {

using wire::CommandKind;
using wire::ExitCause;
using wire::TaskState;

class PlacementTest : public ClusterTest {};

TEST_F(PlacementTest, SpreadJobPlacesAtMostHalfPerZone) {
  complete_loading();
  auto first = connect_worker("n-1", "a");
  auto second = connect_worker("n-2", "a");
  auto spec = job_spec("job-1", 3);
  spec.spread = true;
  submit(spec);
  EXPECT_EQ(count(exchange_heartbeat(first), CommandKind::start) +
                count(exchange_heartbeat(second), CommandKind::start),
            2u);
  auto third = connect_worker("n-3", "b");
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.size(), 3u);
}

TEST_F(PlacementTest, SameZoneJobStaysInZoneOfFirstTask) {
  complete_loading();
  auto first = connect_worker("n-1", "a");
  auto second = connect_worker("n-2", "b");
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

TEST_F(PlacementTest, NoSpotJobWaitsForOnDemandMachine) {
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

TEST_F(PlacementTest, HigherPriorityJobIsPlacedFirst) {
  complete_loading();
  submit(job_spec("job-1", 2));
  auto high_priority = job_spec("job-2", 2);
  high_priority.priority = wire::Priority::high;
  submit(high_priority);
  auto worker = connect_worker("n-1");
  EXPECT_EQ(cluster.job(JobId("job-2"))->assignments.size(), 2u);
  EXPECT_EQ(cluster.job(JobId("job-1"))->assignments.size(), 0u);
}

TEST_F(PlacementTest, RefusedScaleOutFallsBackToNextCheapestOffering) {
  complete_loading();
  submit(job_spec("job-1", 2));
  advance_time(6);
  auto scale_outs = emitted_effects<RequestScaleOut>();
  ASSERT_EQ(scale_outs.size(), 1u);
  EXPECT_TRUE(scale_outs[0].request.spot);
  EXPECT_EQ(scale_outs[0].request.count, 1u);
  cluster.apply(ScaleOutRefused{scale_outs[0].request.id}, now);
  advance_time(5);
  scale_outs = emitted_effects<RequestScaleOut>();
  ASSERT_EQ(scale_outs.size(), 2u);
  EXPECT_TRUE(scale_outs[1].request.spot);
  EXPECT_NE(scale_outs[1].request.zone, scale_outs[0].request.zone);
  EXPECT_NE(scale_outs[1].request.id, scale_outs[0].request.id);
  cluster.apply(ScaleOutRefused{scale_outs[1].request.id}, now);
  advance_time(5);
  scale_outs = emitted_effects<RequestScaleOut>();
  for (const auto& scale_out : scale_outs)
    EXPECT_TRUE(scale_out.request.spot) << "no on-demand machine while the job can still wait";
  for (int i = 0; i < 20 && emitted_effects<RequestScaleOut>().back().request.spot; ++i) {
    advance_time(5);
    scale_outs = emitted_effects<RequestScaleOut>();
    if (scale_outs.back().request.spot) cluster.apply(ScaleOutRefused{scale_outs.back().request.id}, now);
  }
  EXPECT_FALSE(emitted_effects<RequestScaleOut>().back().request.spot);
  EXPECT_LE(now, 75);
}

TEST_F(PlacementTest, ScaleOutOfPreviousLeaderIsResentUnderItsId) {
  cluster.apply(ScaleOutLoaded{{ScaleOutId("r-20-1"), "small", "a", true, 2}}, now);
  complete_loading();
  const auto scale_outs = emitted_effects<RequestScaleOut>();
  ASSERT_EQ(scale_outs.size(), 1u);
  EXPECT_EQ(scale_outs[0].request.id, ScaleOutId("r-20-1"));
  EXPECT_TRUE(scale_outs[0].persisted);
  cluster.apply(ScaleOutGranted{ScaleOutId("r-20-1"), {MachineId("n-1"), MachineId("n-2")}}, now);
  submit(job_spec("job-1", 4));
  advance_time(10);
  EXPECT_EQ(emitted_effects<RequestScaleOut>().size(), 1u) << "the booting machines suffice";
}

TEST_F(PlacementTest, ScaleOutWaitsForNearlyDoneTasks) {
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
  submit(job_spec("job-2", 2));  // the running tasks have run for 38 of 40 s
  for (int i = 0; i < 3; ++i) {
    advance_time(2);
    exchange_heartbeat(worker);
  }
  EXPECT_TRUE(emitted_effects<RequestScaleOut>().empty());
}

TEST_F(PlacementTest, EmptyMachineIsScaledInOnlyAfterDelay) {
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

TEST_F(PlacementTest, SpotReplacementIsRequestedOnlyWhileOnDemandWorkLasts) {
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
  const auto scale_outs = emitted_effects<RequestScaleOut>();
  ASSERT_EQ(scale_outs.size(), 1u);
  EXPECT_TRUE(scale_outs[0].request.spot);
  cluster.apply(ScaleOutRefused{scale_outs[0].request.id}, now);
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

TEST_F(PlacementTest, MachineFailingSeveralJobsIsDrainedAndDeleted) {
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
      << "a faulty machine gets no further tasks";
  for (int i = 0; i < 6; ++i) {
    advance_time(2);
    exchange_heartbeat(worker);
  }
  EXPECT_EQ(emitted_effects<RequestScaleIn>().at(0).machines[0], MachineId("n-1"));
}

TEST_F(PlacementTest, StragglerMachineIsDrainedAndItsTasksRestartOnce) {
  complete_loading();
  std::vector<Worker> workers{connect_worker("n-1"), connect_worker("n-2"), connect_worker("n-3")};
  submit(job_spec("job-1", 6));
  assign_and_write();
  for (auto& worker : workers) worker.run_started_tasks(receive_response(worker));
  // Exchanges heartbeats for this long. Returns the most stop commands that one response had.
  auto run_for = [&](int seconds) {
    std::size_t stops = 0;
    for (; seconds > 0; seconds -= 2) {
      advance_time(2);
      for (auto& worker : workers)
        stops = std::max(stops, count(exchange_heartbeat(worker), CommandKind::stop));
    }
    return stops;
  };
  run_for(20);
  for (std::size_t i = 0; i < 2; ++i) workers[i].end_tasks(ExitCause::done);
  EXPECT_EQ(run_for(16), 0u) << "less than twice the run time on the other machines";
  EXPECT_EQ(run_for(8), 2u);
  workers[2].tasks.clear();
  run_for(2);
  EXPECT_EQ(cluster.job(JobId("job-1"))->waiting_tasks(), 2u) << "the stopped tasks are requeued";
  run_for(6);
  std::set<MachineId> scaled_in;
  for (const auto& effect : emitted_effects<RequestScaleIn>())
    scaled_in.insert(effect.machines.begin(), effect.machines.end());
  EXPECT_TRUE(scaled_in.contains(MachineId("n-3")));

  workers = {connect_worker("n-4")};
  workers[0].run_started_tasks(receive_response(workers[0]));
  ASSERT_EQ(workers[0].tasks.size(), 2u);
  EXPECT_EQ(run_for(80), 0u) << "second attempts are not stopped as stragglers";
}

TEST_F(PlacementTest, JobFailingEverywhereBacksOffWithoutDrainingMachines) {
  complete_loading();
  std::vector<Worker> workers;
  for (int i = 1; i <= 4; ++i) workers.push_back(connect_worker("n-" + std::to_string(i)));
  submit(job_spec("job-1", 1));
  submit(job_spec("job-2", 1));
  std::size_t starts = 0;
  for (int second = 0; second < 20; ++second) {
    advance_time(1);
    for (auto& worker : workers) {
      for (const auto& command : exchange_heartbeat(worker)) {
        if (command.kind == CommandKind::start) {
          ++starts;
          worker.report_task(command.task.job.value, command.task.index, command.attempt, TaskState::exited,
                             ExitCause::error);
        } else if (command.kind == CommandKind::acknowledge) {
          std::erase_if(worker.tasks, [&](const auto& reported) {
            return reported.task == command.task && reported.attempt == command.attempt;
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

TEST_F(PlacementTest, TerminationNoticeTriggersCheckpointAndBlocksNewTasks) {
  complete_loading();
  auto worker = connect_worker("n-1");
  auto spec = job_spec("job-1", 1);
  spec.checkpoint_interval_s = 15;
  spec.checkpoint_duration_s = 2;
  submit(spec);
  exchange_heartbeat(worker);
  worker.report_task("job-1", 0, 1, TaskState::running);
  worker.termination_notice_s = 20;
  EXPECT_EQ(count(exchange_heartbeat(worker), CommandKind::stop), 0u)
      << "the task can still run before it must write its checkpoint";
  submit(job_spec("job-2", 1));
  worker.termination_notice_s = 6;
  const auto commands = exchange_heartbeat(worker);
  ASSERT_EQ(count(commands, CommandKind::stop), 1u);
  EXPECT_EQ(commands[0].grace_s, 2);
  EXPECT_EQ(count(commands, CommandKind::start), 0u);
}

TEST_F(PlacementTest, HigherPriorityJobPreemptsWhenNoCapacityIsFree) {
  complete_loading();
  auto worker = connect_worker("n-1");
  auto normal_priority = job_spec("job-1", 2);
  normal_priority.checkpoint_interval_s = 10;
  normal_priority.checkpoint_duration_s = 1;
  submit(normal_priority);
  exchange_heartbeat(worker);
  worker.report_task("job-1", 0, 1, TaskState::running);
  worker.report_task("job-1", 1, 1, TaskState::running);
  exchange_heartbeat(worker);
  auto high_priority = job_spec("job-2", 1);
  high_priority.priority = wire::Priority::high;
  submit(high_priority);
  for (int i = 0; i < 5; ++i) {
    advance_time(2);
    exchange_heartbeat(worker);
  }
  std::size_t stopping = 0;
  for (const auto& [index, assignment] : cluster.job(JobId("job-1"))->assignments)
    stopping += assignment.stopping;
  EXPECT_EQ(stopping, 1u);
}

TEST_F(PlacementTest, HugeJobIsPlacedInBatchesWithinRecordSizeLimit) {
  complete_loading();
  std::vector<Worker> workers;
  for (int i = 0; i < 30; ++i) workers.push_back(connect_worker("n-" + std::to_string(100 + i)));
  submit(job_spec("job-1", 100'000, 0.05));
  for (int i = 0; i < 15; ++i) assign_and_write();
  const Job* job = cluster.job(JobId("job-1"));
  EXPECT_EQ(job->assignments.size(), 30u * 160u);
  EXPECT_TRUE(std::all_of(job->tasks.begin(), job->tasks.begin() + 4800,
                          [](const TaskProgress& task) { return task.durable(); }));
  std::size_t segments = 0;
  for (const auto& write : applied_writes) {
    ASSERT_EQ(write.transaction.puts.size(), 1u);
    EXPECT_LE(write.transaction.puts[0].value.dump().size(), 4096u);
    ++segments;
  }
  EXPECT_LE(segments, 40u);
}

// Guards against small tasks spreading over the only machines on which a large task fits.
TEST_F(PlacementTest, SmallTasksAvoidScarceTypeNeededByLargeTask) {
  auto large_type = small_machine_type("large", 16, 4.0, 1.2);
  cluster.apply(MachineTypesChanged{{small_machine_type(), large_type}}, now);
  complete_loading();
  Worker worker{"n-1"};
  worker.type = "large";
  exchange_heartbeat(worker);
  exchange_heartbeat(worker);
  auto first_job = job_spec("job-1", 1, 8);
  submit(first_job);
  assign_and_write();
  auto large_job = job_spec("job-2", 1, 16);
  large_job.deadline_s = 60;
  submit(large_job);
  for (int i = 0; i < 5; ++i) {
    advance_time(1);
    exchange_heartbeat(worker);
    for (const auto& scale_out : emitted_effects<RequestScaleOut>())
      cluster.apply(ScaleOutRefused{scale_out.request.id}, now);
  }
  auto small_job = job_spec("job-3", 2);
  small_job.priority = wire::Priority::high;
  small_job.deadline_s = 300;
  submit(small_job);
  assign_and_write();
  EXPECT_EQ(cluster.job(JobId("job-3"))->assignments.size(), 0u);
  advance_time(4);
  const auto scale_outs = emitted_effects<RequestScaleOut>();
  EXPECT_TRUE(std::any_of(scale_outs.begin(), scale_outs.end(),
                          [](const auto& scale_out) { return scale_out.request.type == "small"; }));
}

// Guards against a large job waiting behind a continuous stream of small jobs with a higher priority.
TEST_F(PlacementTest, StarvingJobIsPlacedAheadOfHigherPriorityJobs) {
  complete_loading();
  auto worker = connect_worker("n-1");
  auto large_job = job_spec("job-1", 40, 8);
  submit(large_job);
  std::size_t next_job = 2;
  double waited_s = 0;
  while (!cluster.job(JobId("job-1"))->started && waited_s < 240) {
    for (int i = 0; i < 2; ++i) {
      auto spec = job_spec("job-" + std::to_string(next_job++), 1, 8);
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
    worker.end_tasks(ExitCause::done);
    advance_time(2);
    waited_s += 2;
  }
  EXPECT_GE(waited_s, 60) << "higher priority comes first until the job is starving";
  EXPECT_LE(waited_s, 120);
}

TEST_F(PlacementTest, PlacementPrefersMachinesInUseUnlessLatencyCritical) {
  complete_loading();
  auto worker_in_use = connect_worker("n-1");
  submit(job_spec("job-1", 1));
  exchange_heartbeat(worker_in_use);
  worker_in_use.report_task("job-1", 0, 1, TaskState::running);
  exchange_heartbeat(worker_in_use);
  auto empty_worker = connect_worker("n-2");
  advance_time(1);
  send_heartbeat(empty_worker);
  auto relaxed_job = job_spec("job-2", 1);
  relaxed_job.deadline_s = 300;
  submit(relaxed_job);
  assign_and_write();
  EXPECT_TRUE(cluster.job(JobId("job-2"))->assignments.empty())
      << "n-1 has free capacity and will send a heartbeat soon";
  auto critical_job = job_spec("job-3", 1, 8);
  critical_job.deadline_s = 45;
  submit(critical_job);
  assign_and_write();
  EXPECT_EQ(cluster.job(JobId("job-3"))->assignments.size(), 1u);
  send_heartbeat(worker_in_use);
  EXPECT_EQ(cluster.job(JobId("job-2"))->assignments.at(0).machine->id, MachineId("n-1"));
}

// Guards against passes over the whole fleet for each heartbeat, which would use up the leader's CPU.
TEST_F(PlacementTest, HeartbeatCostDoesNotGrowWithFleetSize) {
  LeaderStateMachine state_machine(cluster_config(), FencingToken(kToken), 0, 0);
  state_machine.apply(MachineTypesChanged{{small_machine_type()}}, 0);
  state_machine.apply(LoadCompleted{}, 0);
  constexpr int kMachines = 2050;
  constexpr int kJobs = 300;
  for (int i = 0; i < kJobs; ++i) {
    auto spec = job_spec("job-" + std::to_string(1000 + i), 100);
    spec.deadline_s = 60 + i;
    state_machine.apply(JobSubmitted{job_record(spec), Revision(60)}, 0);
  }
  std::vector<Worker> workers;
  std::size_t writes = 0;
  std::size_t started = 0;
  Time time = 1;
  auto apply_writes = [&] {
    while (auto write = state_machine.next_write(time)) {
      writes += write->transaction.puts.size();
      state_machine.apply(WriteApplied{write->number}, time);
    }
  };
  for (int i = 0; i < kMachines; ++i) workers.push_back(Worker{"n-" + std::to_string(10'000 + i)});
  for (int exchanges = 0; exchanges < 3; ++exchanges) {
    for (auto& worker : workers) {
      time += 0.001;
      state_machine.apply_heartbeat(worker.next_heartbeat(), time);
      state_machine.assign_tasks(time);
      apply_writes();
      started += worker.run_started_tasks(state_machine.commands_for(MachineId(worker.name), true, time));
      state_machine.response_sent(MachineId(worker.name), time);
      worker.token = kToken;
    }
  }
  EXPECT_EQ(started, 2u * kMachines);
  EXPECT_LT(writes, 60u) << "the number of writes depends on time, not on the number of tasks";
  // A heartbeat scans the waiting jobs but not the machines.
  EXPECT_LT(state_machine.scanned(), 3u * kMachines * 2 * kJobs);
  const auto scanned_before_heartbeat = state_machine.scanned();
  time += 0.001;
  state_machine.apply_heartbeat(workers[0].next_heartbeat(), time);  // the machine is full
  state_machine.assign_tasks(time);
  EXPECT_LE(state_machine.scanned() - scanned_before_heartbeat, 2u);
  // A tick does not scan every machine for every waiting job.
  const auto scanned_before_tick = state_machine.scanned();
  time += constants::kPreemptionDelaySeconds + 1;
  state_machine.apply(Tick{}, time);
  EXPECT_LT(state_machine.scanned() - scanned_before_tick, static_cast<std::uint64_t>(kMachines + 2 * kJobs));
}

class StartObjectiveTest : public ClusterTest {
 protected:
  static ClusterConfig config_with_start_objective() {
    auto config = cluster_config();
    config.objectives = {{ServiceLevelObjective::Kind::start, "class", 9, 1}};
    return config;
  }
  StartObjectiveTest() : ClusterTest(config_with_start_objective()) {}
};

TEST_F(StartObjectiveTest, ScaleOutDoesNotWaitPastStartObjective) {
  complete_loading();
  auto worker = connect_worker("n-1");
  submit(job_spec("job-1", 2));
  assign_and_write();
  for (const auto& command : receive_response(worker))
    worker.report_task("job-1", command.task.index, command.attempt, TaskState::running);
  auto run_for = [&](int seconds) {
    for (; seconds > 0; --seconds) {
      advance_time(1);
      exchange_heartbeat(worker);
    }
  };
  run_for(20);  // the tasks end in another 20 s, before a new machine would be up after 40 s
  submit(job_spec("job-2", 2));
  run_for(2);
  EXPECT_TRUE(emitted_effects<RequestScaleOut>().empty());
  run_for(3);
  EXPECT_FALSE(emitted_effects<RequestScaleOut>().empty())
      << "waiting longer for running tasks would miss the objective";
}

class GuaranteedShareTest : public ClusterTest {
 protected:
  static ClusterConfig config_with_guaranteed_share() {
    auto config = cluster_config();
    config.teams[0].guaranteed_share.cpus = 8;
    return config;
  }
  GuaranteedShareTest() : ClusterTest(config_with_guaranteed_share()) {}
};

TEST_F(GuaranteedShareTest, TeamWithinShareIsPlacedBeforeHigherPriorityJobs) {
  complete_loading();
  auto other_team_job = job_spec("job-1", 2);
  other_team_job.team = "other";
  other_team_job.priority = wire::Priority::critical;
  submit(other_team_job);
  submit(job_spec("job-2", 2));
  auto worker = connect_worker("n-1");
  EXPECT_EQ(cluster.job(JobId("job-2"))->assignments.size(), 2u);
}

TEST_F(PlacementTest, LowestPriorityIsPreemptedFirstRegardlessOfLostWork) {
  complete_loading();
  auto worker = connect_worker("n-1");
  auto checkpointing = job_spec("job-1", 1, 4);  // loses the least work
  checkpointing.checkpoint_interval_s = 10;
  checkpointing.checkpoint_duration_s = 1;
  submit(checkpointing);
  auto low_priority = job_spec("job-2", 1, 4);
  low_priority.priority = wire::Priority::low;
  low_priority.estimated_run_s = 300;
  submit(low_priority);
  worker.run_started_tasks(exchange_heartbeat(worker));
  ASSERT_EQ(worker.tasks.size(), 2u);
  exchange_heartbeat(worker);
  auto high_priority = job_spec("job-3", 1, 4);
  high_priority.priority = wire::Priority::high;
  submit(high_priority);
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
