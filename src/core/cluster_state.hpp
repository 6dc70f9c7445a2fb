// The leader's view of the cluster: jobs, machines, which task is assigned where, and what follows from it.
//
// All indices over this state (usage of teams, machines whose heartbeat awaits a response, jobs by serial)
// are kept here. Assignments begin and end only in `begin_assignment` and `end_assignment`, so that the
// quota, the resources in use and the lists of both sides cannot disagree.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/config.hpp"
#include "core/job.hpp"
#include "core/machine.hpp"
#include "core/time.hpp"
#include "wire/messages.hpp"

namespace dockdyke::core {

class ClusterState {
 public:
  using Jobs = std::map<JobId, Job>;
  using Machines = std::map<MachineId, Machine>;
  using MachineSet = std::set<Machine*, ById>;

  // Acts under the given fencing token.
  ClusterState(ClusterConfig config, FencingToken token);

  const ClusterConfig& config() const { return config_; }
  FencingToken token() const { return token_; }
  // Keeps to a lower rate of writes from now on.
  void lower_write_rate(double per_second);
  // False until all records of earlier leaders have been read: until then nothing may be started or stopped.
  bool loaded() const { return loaded_; }
  void mark_loaded();

  // ---- Jobs ----
  Jobs& jobs() { return jobs_; }
  const Jobs& jobs() const { return jobs_; }
  // Nothing where the job is unknown.
  Job* find_job(const JobId& id);
  const Job* find_job(const JobId& id) const;
  Job* find_job(std::uint32_t serial) const;
  Job& add_job(const wire::JobSpec& spec, Revision version, Time submitted, Time now);
  // The job is remembered as ended for `kTombstoneTtlSeconds`.
  void remove_job(const JobId& id, Time now);
  bool recently_ended(const JobId& id) const { return ended_jobs_.contains(id); }
  // Returns whether the job was not yet remembered as ended.
  bool remember_ended(const JobId& id, Time now);

  // ---- Machines ----
  Machines& machines() { return machines_; }
  const Machines& machines() const { return machines_; }
  Machine* find_machine(const MachineId& id);
  const Machine* find_machine(const MachineId& id) const;
  Machine& find_or_add_machine(const MachineId& id, Time now);
  void set_offering(Machine& machine, const std::string& type, const std::string& zone, bool spot);
  // The machine has no assignments any more. Its id is remembered as deleted for `kTombstoneTtlSeconds`.
  void remove_machine(const MachineId& id, Time now);
  bool recently_deleted(const MachineId& id) const { return deleted_machines_.contains(id); }
  // Forgets ended jobs and deleted machines whose time is over.
  void expire_tombstones(Time now);

  // Machines whose last heartbeat has not been answered: commands travel only in these responses.
  const MachineSet& awaiting_response() const { return awaiting_response_; }
  void expect_response(Machine& machine);
  void response_sent(Machine& machine, Time now);

  // ---- Machine types, numbered as first seen ----
  const std::vector<wire::MachineType>& types() const { return types_; }
  // A type that is offered no more keeps its number, since machines of it may be up, but no zone.
  void update_types(const std::vector<wire::MachineType>& types);
  // `kNoType` for a name that the cloud never described.
  std::size_t type_number(const std::string& name) const;
  // Nothing where the cloud has not described the machine's type.
  const wire::MachineType* type_of(const Machine& machine) const;
  // CPUs of the largest type, at least 1.
  double largest_cpus() const;
  void update_compatible_types(Job& job) const;

  // ---- Assignments ----
  void begin_assignment(Job& job, TaskIndex index, const TaskAssignment& assignment);
  // The task is proved to be off its machine, or its start was never sent. Returns false where it had no
  // assignment.
  bool end_assignment(Job& job, TaskIndex index, Time now);
  wire::Resources team_usage(const std::string& team) const;

  // Whether something has changed since the last pass that could let a waiting task be assigned.
  bool assignment_pass_requested() const { return assignment_pass_requested_; }
  void request_assignment_pass(bool requested = true) { assignment_pass_requested_ = requested; }

  // Machines and jobs looked at while tasks were assigned: the work that must not grow with the fleet.
  std::uint64_t scanned() const { return scanned_; }
  void count_scanned(std::size_t items) { scanned_ += items; }

 private:
  ClusterConfig config_;
  FencingToken token_;
  bool loaded_ = false;
  Jobs jobs_;
  std::unordered_map<std::uint32_t, Job*> jobs_by_serial_;
  std::uint32_t next_serial_ = 1;
  std::map<JobId, Time> ended_jobs_;  // late news of their submission start nothing
  Machines machines_;
  std::map<MachineId, Time> deleted_machines_;
  MachineSet awaiting_response_;
  std::vector<wire::MachineType> types_;
  std::map<std::string, wire::Resources> usage_;  // by team
  bool assignment_pass_requested_ = false;
  std::uint64_t scanned_ = 0;
};

}  // namespace dockdyke::core
