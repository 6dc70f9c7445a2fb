// Test fixture around a leader's state machine, with simulated workers and a simulated state service.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "core/leader_state_machine.hpp"
#include "core/stored_records.hpp"

namespace dockdyke::testing {

using namespace dockdyke::core;

inline wire::MachineType small_machine_type(std::string name = "small", double cpus = 8, double price = 1.0,
                                            double spot_price = 0.3) {
  wire::MachineType type;
  type.name = std::move(name);
  type.size = {cpus, 0, cpus * 2};
  type.image_cache_gb = 30;
  type.image_fetch_gb_per_s = 1;
  type.price = price;
  type.spot_price = spot_price;
  type.boot_s = 40;
  type.zones = {"a", "b"};
  return type;
}

inline wire::JobSpec job_spec(const std::string& id, TaskIndex tasks, double cpus = 4) {
  wire::JobSpec spec;
  spec.id = JobId(id);
  spec.job_class = "class";
  spec.team = "team";
  spec.task_count = tasks;
  spec.task_resources = {cpus, 0, cpus};
  spec.image = "img";
  spec.image_gb = 1;
  spec.spot_allowed = true;
  spec.estimated_run_s = 40;
  return spec;
}

// Returns a job whose tasks run so long that only a cancellation ends them within a scenario.
inline wire::JobSpec long_job_spec(const std::string& id, TaskIndex tasks) {
  auto spec = job_spec(id, tasks);
  spec.estimated_run_s = 400;
  return spec;
}

inline ClusterConfig cluster_config() {
  ClusterConfig config;
  config.teams = {{"team", {}, {}}, {"other", {}, {}}};
  config.heartbeat_interval_s = 2;
  config.worker_lease_s = 10;
  config.cancellation_timeout_s = 40;
  config.gang_assembly_timeout_s = 20;
  config.gang_peer_timeout_s = 3;
  config.min_machines = 0;
  config.max_machines = 20;
  return config;
}

// Uses heartbeats so rare that a worker gets at most one response from each of several short-lived leaders.
inline ClusterConfig slow_heartbeat_config() {
  auto config = cluster_config();
  config.heartbeat_interval_s = 8;
  config.worker_lease_s = 45;
  config.cancellation_timeout_s = 75;
  return config;
}

inline JobRecord job_record(const wire::JobSpec& spec) {
  JobRecord record;
  record.spec = spec;
  return record;
}

// A simulated worker, holding what it reports in its heartbeats.
struct Worker {
  std::string name;
  std::string zone = "a";
  bool spot = true;
  std::string type = "small";
  std::uint64_t incarnation = 1;
  std::uint64_t sequence_number = 0;
  std::uint64_t token = 0;
  std::optional<double> termination_notice_s = {};
  std::vector<wire::ReportedTask> tasks = {};

  // Returns a heartbeat with the next sequence number.
  wire::Heartbeat next_heartbeat() {
    wire::Heartbeat out;
    out.machine = MachineId(name);
    out.type = type;
    out.zone = zone;
    out.spot = spot;
    out.incarnation = incarnation;
    out.sequence_number = ++sequence_number;
    out.token = FencingToken(token);
    out.termination_notice_s = termination_notice_s;
    out.tasks = tasks;
    return out;
  }
  // Adds the task to the following heartbeats.
  void report_task(const std::string& job, TaskIndex index, Attempt attempt, wire::TaskState state,
                   wire::ExitCause cause = wire::ExitCause::none) {
    tasks.push_back({{JobId(job), index}, attempt, state, cause, false});
  }
  // Runs the tasks of the start commands from now on. Returns how many these are.
  std::size_t run_started_tasks(const std::vector<wire::Command>& commands) {
    std::size_t starts = 0;
    for (const auto& command : commands) {
      if (command.kind != wire::CommandKind::start) continue;
      report_task(command.task.job.value, command.task.index, command.attempt, wire::TaskState::running);
      ++starts;
    }
    return starts;
  }
  // Reports all tasks, or those of the job, as exited for this cause from now on.
  void end_tasks(wire::ExitCause cause, const std::optional<JobId>& job = {}) {
    for (auto& task : tasks) {
      if (job && task.task.job != *job) continue;
      task.state = wire::TaskState::exited;
      task.cause = cause;
    }
  }
};

class ClusterTest : public ::testing::Test {
 protected:
  static constexpr std::uint64_t kToken = 50;

  explicit ClusterTest(ClusterConfig config = cluster_config())
      : cluster(std::move(config), FencingToken(kToken), 0, 0) {
    cluster.apply(MachineTypesChanged{{small_machine_type()}}, now);
  }

  void complete_loading() { cluster.apply(LoadCompleted{}, now); }
  void submit(const wire::JobSpec& spec) { cluster.apply(JobSubmitted{job_record(spec), Revision(60)}, now); }

  // Loads a job of a previous leader, and a task log segment with its tasks.
  void load_job(const wire::JobSpec& spec, std::vector<TaskRecord> tasks, bool terminating = false) {
    cluster.apply(JobLoaded{job_record(spec), Revision(40), terminating}, now);
    const auto segment = key::segment(FencingToken(kToken - 10), ++loaded_segments);
    cluster.apply(SegmentLoaded{segment, {{spec.id, std::move(tasks)}}}, now);
  }

  // Sends the worker's next heartbeat and returns the commands in the response.
  std::vector<wire::Command> exchange_heartbeat(Worker& worker) {
    send_heartbeat(worker);
    return receive_response(worker);
  }
  // Delivers the worker's next heartbeat, assigns tasks and applies writes. The response is held.
  void send_heartbeat(Worker& worker) {
    last_heartbeat_outcome = cluster.apply_heartbeat(worker.next_heartbeat(), now);
    assign_and_write();
  }
  // Delivers the response to the worker, which learns the leader's token, and returns its commands.
  std::vector<wire::Command> receive_response(Worker& worker) {
    auto commands = cluster.commands_for(MachineId(worker.name), true, now);
    cluster.response_sent(MachineId(worker.name), now);
    worker.token = std::max(worker.token, kToken);
    return commands;
  }

  // Assigns waiting tasks and applies the leader's writes, unless the state service is unavailable. Advances
  // the time until each write is due.
  void assign_and_write() {
    cluster.assign_tasks(now);
    if (!state_service_available) return;
    for (int i = 0; i < 100; ++i) {
      const auto due = cluster.next_write_due_in(now);
      if (!due) return;
      now += *due + 0.001;  // the leader limits its write rate
      while (auto write = cluster.next_write(now)) {
        applied_writes.push_back(*write);
        cluster.apply(WriteApplied{write->number}, now);
      }
    }
  }

  // Advances the time by at least `duration_s`, with a tick each second.
  void advance_time(double duration_s) {
    const double end = now + duration_s;
    while (now < end) {
      now += 1;
      cluster.apply(Tick{}, now);
      assign_and_write();
      for (auto& effect : cluster.take_effects()) effects.push_back(std::move(effect));
    }
  }

  // Returns a worker that has acknowledged the leader's token, awaits a response and can get work.
  Worker connect_worker(const std::string& name, const std::string& zone = "a", bool spot = true,
                        const std::string& type = "small") {
    Worker worker{name, zone, spot, type};
    exchange_heartbeat(worker);
    send_heartbeat(worker);
    return worker;
  }

  // Returns all effects of this type that the leader has emitted since the start of the test.
  template <class EffectType>
  std::vector<EffectType> emitted_effects() {
    for (auto& effect : cluster.take_effects()) effects.push_back(std::move(effect));
    std::vector<EffectType> out;
    for (const auto& effect : effects)
      if (const auto* each = std::get_if<EffectType>(&effect)) out.push_back(*each);
    return out;
  }

  static std::size_t count(const std::vector<wire::Command>& commands, wire::CommandKind kind) {
    return static_cast<std::size_t>(std::count_if(commands.begin(), commands.end(),
                                                  [&](const auto& command) { return command.kind == kind; }));
  }

  Time now = 1;
  LeaderStateMachine cluster;
  bool state_service_available = true;
  std::uint64_t loaded_segments = 0;
  std::vector<StateWrite> applied_writes;
  std::vector<Effect> effects;
  HeartbeatOutcome last_heartbeat_outcome = HeartbeatOutcome::accepted;
};

}  // namespace dockdyke::testing
