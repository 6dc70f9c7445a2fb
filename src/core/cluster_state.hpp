// The leader's in-memory model of the cluster: jobs, machines, task assignments and the indices over them.
//
// Assignments change only in `begin_assignment` and `end_assignment`, which update the job, the machine and
// the team's usage together and so keep them consistent.
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
  using MachineSet = std::set<Machine*, MachineIdLess>;

  // `token` is the fencing token of this leader's term.
  ClusterState(ClusterConfig config, FencingToken token);

  const ClusterConfig& config() const { return config_; }
  FencingToken token() const { return token_; }
  // Lowers the write rate limit; a higher value than the current one has no effect.
  void lower_write_rate(double writes_per_second);
  // Returns whether all stored records have been read. Until then no task may be started or stopped.
  bool loaded() const { return loaded_; }
  void mark_loaded();

  // ---- Jobs ----
  Jobs& jobs() { return jobs_; }
  const Jobs& jobs() const { return jobs_; }
  // Returns nullptr if the job is unknown.
  Job* find_job(const JobId& id);
  const Job* find_job(const JobId& id) const;
  Job* find_job(std::uint32_t serial) const;
  Job& add_job(const wire::JobSpec& spec, Revision version, Time submitted_at, Time now);
  // Returns the time until the tasks of the cancelled job must have ended; negative afterwards.
  double cancellation_time_left_s(const Job& job, Time now) const;
  // Removes the job and keeps a tombstone of it for `kTombstoneTtlSeconds`.
  void remove_job(const JobId& id, Time now);
  bool recently_ended(const JobId& id) const { return ended_jobs_.contains(id); }
  // Adds or refreshes the tombstone of an ended job. Returns whether there was none before.
  bool record_ended_job(const JobId& id, Time now);

  // ---- Machines ----
  Machines& machines() { return machines_; }
  const Machines& machines() const { return machines_; }
  Machine* find_machine(const MachineId& id);
  const Machine* find_machine(const MachineId& id) const;
  Machine& find_or_add_machine(const MachineId& id, Time now);
  void set_offering(Machine& machine, const std::string& type, const std::string& zone, bool spot);
  // Removes a machine that has no assignments and keeps a tombstone of it for `kTombstoneTtlSeconds`.
  void remove_machine(const MachineId& id, Time now);
  bool recently_deleted(const MachineId& id) const { return deleted_machines_.contains(id); }
  // Removes tombstones of jobs and machines that are older than `kTombstoneTtlSeconds`.
  void expire_tombstones(Time now);

  // Machines whose last heartbeat has no response yet. Commands are sent in these responses.
  const MachineSet& awaiting_response() const { return awaiting_response_; }
  void mark_response_pending(Machine& machine);
  void mark_response_sent(Machine& machine, Time now);

  // ---- Machine types, numbered in the order in which the cloud first listed them ----
  const std::vector<wire::MachineType>& types() const { return types_; }
  // Replaces the list of types. A type that is no longer offered keeps its number, since machines of it may
  // still be running, but has no zones.
  void update_types(const std::vector<wire::MachineType>& types);
  // Returns `kNoType` if the cloud has never listed a type of this name.
  std::size_t type_number(const std::string& name) const;
  // Returns nullptr if the machine's type is unknown.
  const wire::MachineType* type_of(const Machine& machine) const;
  // Returns the number of CPUs of the largest type, at least 1.
  double largest_cpus() const;
  void update_compatible_types(Job& job) const;
  // Returns the zones that a type or a machine has had so far.
  const std::set<std::string>& zones() const { return zones_; }

  // ---- Assignments ----
  void begin_assignment(Job& job, TaskIndex index, const TaskAssignment& assignment);
  // Releases the assignment of a task that is confirmed ended or was never dispatched. Returns false if the
  // task has no assignment.
  bool end_assignment(Job& job, TaskIndex index, Time now);
  wire::Resources team_usage(const std::string& team) const;

  // Returns whether a change since the last assignment pass may allow a waiting task to be assigned.
  bool assignment_pass_requested() const { return assignment_pass_requested_; }
  void request_assignment_pass(bool requested = true) { assignment_pass_requested_ = requested; }

  // The number of machines and jobs examined while assigning tasks; a measure of the scheduling cost, which
  // must not grow with the fleet.
  std::uint64_t scanned() const { return scanned_; }
  void count_scanned(std::size_t items) { scanned_ += items; }

 private:
  // Updates the job's assignments by zone.
  static void add_to_zone(Job& job, const std::string& zone);
  static void remove_from_zone(Job& job, const std::string& zone);
  void set_zone(Machine& machine, const std::string& zone);

  ClusterConfig config_;
  FencingToken token_;
  bool loaded_ = false;
  Jobs jobs_;
  std::unordered_map<std::uint32_t, Job*> jobs_by_serial_;
  std::uint32_t next_serial_ = 1;
  std::map<JobId, Time> ended_jobs_;  // tombstones: a late submission event does not start the job again
  Machines machines_;
  std::map<MachineId, Time> deleted_machines_;  // tombstones
  MachineSet awaiting_response_;
  std::vector<wire::MachineType> types_;
  std::set<std::string> zones_;
  std::map<std::string, wire::Resources> usage_;  // by team
  bool assignment_pass_requested_ = false;
  std::uint64_t scanned_ = 0;
};

}  // namespace dockdyke::core
