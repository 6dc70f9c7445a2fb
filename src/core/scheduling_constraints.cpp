#include "core/scheduling_constraints.hpp"

#include <algorithm>
#include <limits>

#include "constants.hpp"

namespace dockdyke::core {

std::string_view to_string(StartObstacle obstacle) {
  switch (obstacle) {
    case StartObstacle::none:
      return "none";
    case StartObstacle::token_not_acknowledged:
      return "token_not_acknowledged";
    case StartObstacle::draining:
      return "draining";
    case StartObstacle::terminating:
      return "terminating";
    case StartObstacle::deletion_requested:
      return "deletion_requested";
    case StartObstacle::unresponsive:
      return "unresponsive";
    case StartObstacle::responses_lost:
      return "responses_lost";
  }
  return "none";
}

bool is_lasting(StartObstacle obstacle) {
  return obstacle != StartObstacle::none && obstacle != StartObstacle::token_not_acknowledged;
}

bool SchedulingConstraints::unresponsive(const Machine& machine, Time now) const {
  return now - machine.last_heartbeat_at >
         constants::kUnresponsiveIntervalFactor * state_.config().heartbeat_interval_s;
}

bool SchedulingConstraints::boot_overdue(const Machine& machine, Time now) const {
  const auto* type = state_.type_of(machine);
  return type && now - machine.launched_at > constants::kLateBootFactor * type->boot_s;
}

bool SchedulingConstraints::accepts_work(const Machine& machine, Time now) const {
  return machine.state == MachineState::up && start_obstacle(machine, now) == StartObstacle::none &&
         !machine.runs_unknown_tasks && machine.failed_jobs.size() < constants::kFaultyMachineJobThreshold &&
         now >= machine.assignments_resume_at;
}

StartObstacle SchedulingConstraints::start_obstacle(const Machine& machine, Time now) const {
  if (machine.scale_in_requested) return StartObstacle::deletion_requested;
  if (machine.terminates_at) return StartObstacle::terminating;
  if (machine.draining) return StartObstacle::draining;
  if (unresponsive(machine, now)) return StartObstacle::unresponsive;
  if (machine.undelivered_responses >= constants::kUndeliveredResponsesThreshold)
    return StartObstacle::responses_lost;
  if (!machine.token_acknowledged) return StartObstacle::token_not_acknowledged;
  return StartObstacle::none;
}

FreeCapacity SchedulingConstraints::free_capacity(const Machine& machine) const {
  const auto* type = state_.type_of(machine);
  if (!type) return {};
  FreeCapacity free = empty_machine_capacity(*type);
  free.take(machine.used, machine.assignments.size() + machine.unassigned_tasks.size());
  return free;
}

bool SchedulingConstraints::allowed_on(const Job& job, std::size_t type, const std::string& zone,
                                       bool spot) const {
  const auto& spec = job.spec;
  return job.compatible_with(type) && (!spot || spec.spot_allowed) && (!spec.zone || *spec.zone == zone);
}

std::size_t SchedulingConstraints::quota_headroom(const Job& job) const {
  constexpr std::size_t kUnlimited = std::numeric_limits<std::uint32_t>::max();
  const Team* team = state_.config().find_team(job.spec.team);
  if (!team) return kUnlimited;
  const auto used = state_.team_usage(job.spec.team);
  constexpr double kRoundingTolerance = 1e-6;
  auto headroom = [&](double quota, double usage, double per_task) -> std::size_t {
    if (quota <= 0 || per_task <= 0) return kUnlimited;
    const double tasks = (quota - usage + kRoundingTolerance) / per_task;
    return tasks <= 0 ? 0 : static_cast<std::size_t>(std::min(tasks, static_cast<double>(kUnlimited)));
  };
  return std::min(headroom(team->quota.cpus, used.cpus, job.spec.task_resources.cpus),
                  headroom(team->quota.gpus, used.gpus, job.spec.task_resources.gpus));
}

double SchedulingConstraints::heartbeat_round_s() const {
  return constants::kHeartbeatRoundFactor * state_.config().heartbeat_interval_s;
}

}  // namespace dockdyke::core
