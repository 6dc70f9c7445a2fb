// A cluster under test with a store that saves at once when told to, and workers made of reports.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "core/leader_state_machine.hpp"
#include "core/stored_records.hpp"

namespace dockdyke::testing {

using namespace dockdyke::core;  // the tests speak the core's language

inline wire::MachineType small_type(std::string name = "small", double cpus = 8, double price = 1.0,
                                    double spot_price = 0.3) {
  wire::MachineType type;
  type.name = std::move(name);
  type.size = {cpus, 0, cpus * 2};
  type.cache_gb = 30;
  type.fetch_gb_per_s = 1;
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

// Long tasks, so that only a cancellation ends them within a scenario.
inline wire::JobSpec long_job(const std::string& id, TaskIndex tasks) {
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

// A lease of 45 s, heartbeats every 8 s, 75 s for a cancellation: with leaders that last for seconds, a
// worker is answered once by each of them at most.
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

// What a worker would report.
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

  wire::Heartbeat heartbeat() {
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
  void shows(const std::string& job, TaskIndex index, Attempt attempt, wire::TaskState state,
             wire::ExitCause cause = wire::ExitCause::none) {
    tasks.push_back({{JobId(job), index}, attempt, state, cause, false});
  }
};

class ClusterTest : public ::testing::Test {
 protected:
  static constexpr std::uint64_t kToken = 50;

  explicit ClusterTest(ClusterConfig config = cluster_config())
      : cluster(std::move(config), FencingToken(kToken), 0, 0) {
    cluster.apply(MachineTypesChanged{{small_type()}}, now);
  }

  void loaded() { cluster.apply(LoadCompleted{}, now); }
  void submit(const wire::JobSpec& spec) { cluster.apply(JobSubmitted{job_record(spec), Revision(60)}, now); }

  // An earlier leader's job, with its tasks as a page tells them.
  void inherit(const wire::JobSpec& spec, std::vector<TaskRecord> tasks, bool terminating = false) {
    cluster.apply(JobLoaded{job_record(spec), Revision(40), terminating}, now);
    const auto page = key::segment(FencingToken(kToken - 10), ++inherited_pages);
    cluster.apply(SegmentLoaded{page, {{spec.id, std::move(tasks)}}}, now);
  }

  // The worker reports; the answer's orders come back. Saves are carried out in between unless held back.
  std::vector<wire::Command> exchange(Worker& worker) {
    heartbeat_only(worker);
    return answer(worker);
  }
  // The report arrives; the answer is held.
  void heartbeat_only(Worker& worker) {
    last_fate = cluster.apply_heartbeat(worker.heartbeat(), now);
    settle();
  }
  std::vector<wire::Command> answer(Worker& worker) {
    auto commands = cluster.commands_for(MachineId(worker.name), true, now);
    cluster.response_sent(MachineId(worker.name), now);
    worker.token = std::max(worker.token, kToken);
    return commands;
  }

  void settle() {
    cluster.assign_tasks(now);
    if (!store_answers) return;
    for (int pages = 0; pages < 100; ++pages) {
      const auto due = cluster.next_write_due_in(now);
      if (!due) return;
      now += *due + 0.001;  // pages keep a distance in time
      while (auto save = cluster.next_write(now)) {
        saves.push_back(*save);
        cluster.apply(WriteApplied{save->number}, now);
      }
    }
  }

  void pass(double s) {
    const double end = now + s;
    while (now < end) {
      now += 1;
      cluster.apply(Tick{}, now);
      settle();
      for (auto& effect : cluster.take_effects()) effects.push_back(std::move(effect));
    }
  }

  // A worker that has reported under our token, waits for its answer and may be given work.
  Worker ready_worker(const std::string& name, const std::string& zone = "a", bool spot = true,
                      const std::string& type = "small") {
    Worker worker{name, zone, spot, type};
    exchange(worker);
    heartbeat_only(worker);
    return worker;
  }

  template <class Kind>
  std::vector<Kind> seen() {
    for (auto& effect : cluster.take_effects()) effects.push_back(std::move(effect));
    std::vector<Kind> out;
    for (const auto& effect : effects)
      if (const auto* each = std::get_if<Kind>(&effect)) out.push_back(*each);
    return out;
  }

  static std::size_t count(const std::vector<wire::Command>& commands, wire::CommandKind kind) {
    return static_cast<std::size_t>(std::count_if(commands.begin(), commands.end(),
                                                  [&](const auto& command) { return command.kind == kind; }));
  }

  Time now = 1;
  LeaderStateMachine cluster;
  bool store_answers = true;
  std::uint64_t inherited_pages = 0;
  std::vector<StateWrite> saves;
  std::vector<Effect> effects;
  HeartbeatOutcome last_fate = HeartbeatOutcome::accepted;
};

}  // namespace dockdyke::testing
