#include "core/cluster_state.hpp"

#include <algorithm>
#include <utility>

#include "constants.hpp"
#include "core/task_fit.hpp"

namespace dockdyke::core {

ClusterState::ClusterState(ClusterConfig config, FencingToken token)
    : config_(std::move(config)), token_(token) {}

void ClusterState::lower_write_rate(double writes_per_second) {
  config_.write_rps = std::min(config_.write_rps, writes_per_second);
}

void ClusterState::mark_loaded() {
  loaded_ = true;
  request_assignment_pass();
}

// ---- Jobs -------------------------------------------------------------------------------------------------

Job* ClusterState::find_job(const JobId& id) {
  auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

const Job* ClusterState::find_job(const JobId& id) const {
  auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

Job* ClusterState::find_job(std::uint32_t serial) const {
  auto found = jobs_by_serial_.find(serial);
  return found == jobs_by_serial_.end() ? nullptr : found->second;
}

Job& ClusterState::add_job(const wire::JobSpec& spec, Revision version, Time submitted_at, Time now) {
  Job& job = jobs_[spec.id];
  job.spec = spec;
  job.serial = next_serial_++;
  jobs_by_serial_[job.serial] = &job;
  job.submitted_at = submitted_at;
  job.tasks.assign(spec.task_count, TaskProgress{});
  job.version = version;
  job.queued_at = now;
  job.team_usage = &usage_[spec.team];
  update_compatible_types(job);
  request_assignment_pass();
  return job;
}

double ClusterState::cancellation_time_left_s(const Job& job, Time now) const {
  return config_.cancellation_timeout_s - (now - job.cancelled_at);
}

void ClusterState::remove_job(const JobId& id, Time now) {
  ended_jobs_[id] = now;
  jobs_by_serial_.erase(jobs_.at(id).serial);
  jobs_.erase(id);
}

bool ClusterState::record_ended_job(const JobId& id, Time now) {
  return ended_jobs_.insert_or_assign(id, now).second;
}

// ---- Machines ---------------------------------------------------------------------------------------------

Machine* ClusterState::find_machine(const MachineId& id) {
  auto found = machines_.find(id);
  return found == machines_.end() ? nullptr : &found->second;
}

const Machine* ClusterState::find_machine(const MachineId& id) const {
  auto found = machines_.find(id);
  return found == machines_.end() ? nullptr : &found->second;
}

Machine& ClusterState::find_or_add_machine(const MachineId& id, Time now) {
  auto [found, added] = machines_.try_emplace(id);
  Machine& machine = found->second;
  if (added) {
    machine.id = id;
    machine.launched_at = now;
    machine.became_idle_at = now;
    // A machine known only by its id may run tasks, so the time since its last heartbeat counts from now.
    machine.last_heartbeat_at = now;
  }
  return machine;
}

void ClusterState::set_offering(Machine& machine, const std::string& type, const std::string& zone,
                                bool spot) {
  if (machine.type != type || machine.type_number == kNoType) {
    machine.type = type;
    machine.type_number = type_number(type);
  }
  if (machine.zone != zone) set_zone(machine, zone);
  machine.spot = spot;
}

void ClusterState::set_zone(Machine& machine, const std::string& zone) {
  for (const auto& task : machine.assignments) {
    remove_from_zone(*task.job, machine.zone);
    add_to_zone(*task.job, zone);
  }
  machine.zone = zone;
  if (!zone.empty()) zones_.insert(zone);
}

void ClusterState::remove_machine(const MachineId& id, Time now) {
  if (Machine* machine = find_machine(id)) {
    awaiting_response_.erase(machine);
    machines_.erase(id);
  }
  deleted_machines_[id] = now;
}

void ClusterState::expire_tombstones(Time now) {
  const auto expired = [now](const auto& tombstone) {
    return now - tombstone.second > constants::kTombstoneTtlSeconds;
  };
  std::erase_if(deleted_machines_, expired);
  std::erase_if(ended_jobs_, expired);
}

void ClusterState::mark_response_pending(Machine& machine) {
  machine.response_pending = true;
  awaiting_response_.insert(&machine);
}

void ClusterState::mark_response_sent(Machine& machine, Time now) {
  machine.last_response_at = now;
  machine.response_pending = false;
  awaiting_response_.erase(&machine);
}

// ---- Machine types ----------------------------------------------------------------------------------------

void ClusterState::update_types(const std::vector<wire::MachineType>& types) {
  for (auto& type : types_) type.zones.clear();
  for (const auto& type : types) {
    const auto number = type_number(type.name);
    if (number == kNoType) {
      types_.push_back(type);
    } else {
      types_[number] = type;
    }
  }
  for (const auto& type : types) zones_.insert(type.zones.begin(), type.zones.end());
  for (auto& [id, job] : jobs_) update_compatible_types(job);
  for (auto& [id, machine] : machines_)
    if (!machine.type.empty()) set_offering(machine, machine.type, machine.zone, machine.spot);
  request_assignment_pass();
}

std::size_t ClusterState::type_number(const std::string& name) const {
  auto found =
      std::find_if(types_.begin(), types_.end(), [&](const auto& type) { return type.name == name; });
  return found == types_.end() ? kNoType : static_cast<std::size_t>(found - types_.begin());
}

const wire::MachineType* ClusterState::type_of(const Machine& machine) const {
  return machine.type_number < types_.size() ? &types_[machine.type_number] : nullptr;
}

double ClusterState::largest_cpus() const {
  double largest = 1;
  for (const auto& type : types_) largest = std::max(largest, type.size.cpus);
  return largest;
}

void ClusterState::update_compatible_types(Job& job) const {
  job.compatible_types.assign(types_.size(), false);
  for (std::size_t i = 0; i < types_.size(); ++i) job.compatible_types[i] = can_run_on(job.spec, types_[i]);
}

// ---- Assignments ------------------------------------------------------------------------------------------

void ClusterState::begin_assignment(Job& job, TaskIndex index, const TaskAssignment& assignment) {
  Machine& machine = *assignment.machine;
  machine.assignments.push_back({&job, index});
  machine.used += job.spec.task_resources;
  *job.team_usage += job.spec.task_resources;
  job.assignments.insert_or_assign(index, assignment);
  add_to_zone(job, machine.zone);
}

bool ClusterState::end_assignment(Job& job, TaskIndex index, Time now) {
  auto found = job.assignments.find(index);
  if (found == job.assignments.end()) return false;
  Machine& machine = *found->second.machine;
  std::erase(machine.assignments, AssignedTask{&job, index});
  machine.used -= job.spec.task_resources;
  if (machine.assignments.empty()) {
    machine.used = {};
    machine.became_idle_at = now;
  }
  *job.team_usage -= job.spec.task_resources;
  remove_from_zone(job, machine.zone);
  job.assignments.erase(found);
  return true;
}

void ClusterState::add_to_zone(Job& job, const std::string& zone) {
  ++job.assignments_by_zone[zone];
}

void ClusterState::remove_from_zone(Job& job, const std::string& zone) {
  const auto found = job.assignments_by_zone.find(zone);
  if (--found->second == 0) job.assignments_by_zone.erase(found);
}

wire::Resources ClusterState::team_usage(const std::string& team) const {
  auto found = usage_.find(team);
  return found == usage_.end() ? wire::Resources{} : found->second;
}

}  // namespace dockdyke::core
