#include "core/gang_reservations.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <tuple>

#include "constants.hpp"
#include "core/gang_scheduler.hpp"
#include "core/objectives.hpp"
#include "core/task_fit.hpp"

namespace dockdyke::core {

GangReservations::GangReservations(ClusterState& state, const SchedulingConstraints& constraints,
                                   JobQueue& queue)
    : state_(state), constraints_(constraints), queue_(queue) {}

void GangReservations::record_arrival(const Job& job, Time now) {
  if (job.is_gang() && has_quick_start_objective(state_.config(), job.spec))
    reserve_.record_arrival(job.spec, now);
}

Job GangReservations::make_hypothetical_job(const wire::JobSpec& spec) const {
  Job job;
  job.spec = spec;
  state_.update_compatible_types(job);
  return job;
}

// ---- Reservation for a waiting gang -----------------------------------------------------------------------

namespace {

// A machine and the number of the gang's tasks that fit on it.
struct MachineCapacity {
  Machine* machine = nullptr;
  std::size_t task_capacity = 0;
};

}  // namespace

bool GangReservations::expire_reservations(Time now) {
  bool any_left = false;
  for (auto& [id, machine] : state_.machines()) {
    if (machine.reserved_for_gang == 0) continue;
    const Job* job = state_.find_job(machine.reserved_for_gang);
    const bool waiting = job && job->waiting_tasks() > 0;
    if (!waiting || now >= machine.reservation_expires_at) machine.reserved_for_gang = 0;
    any_left = any_left || machine.reserved_for_gang != 0;
  }
  return any_left;
}

void GangReservations::reserve_for_waiting_gang(Time now) {
  if (expire_reservations(now) || now < next_reservation_at_) return;
  for (const auto& queued : queue_.ordered(now)) {
    const Job& job = *queued.job;
    if (!job.is_gang() || now < job.backoff_ends_at ||
        now - job.queued_at < constants::kGangReservationDelaySeconds ||
        constraints_.quota_headroom(job) < job.spec.task_count)
      continue;
    if (!try_reserve(job, now)) continue;
    next_reservation_at_ = now + constants::kGangReservationSeconds + constants::kGangReservationPauseSeconds;
    return;
  }
}

FreeCapacity GangReservations::capacity_within_reservation(const Machine& machine, Time now) const {
  FreeCapacity capacity = constraints_.free_capacity(machine);
  for (const auto& task : machine.assignments) {
    const TaskAssignment& assignment = task.assignment();
    const double remaining_s = std::max(0.0, task.job->expected_run_s - assignment.ran_s(now));
    const bool ends_in_time =
        task.job->spec.kind != wire::JobKind::service && remaining_s < constants::kGangReservationSeconds;
    if (ends_in_time || assignment.stopping) capacity.release(task.job->spec.task_resources);
  }
  return capacity;
}

bool GangReservations::try_reserve(const Job& job, Time now) {
  const auto& spec = job.spec;
  std::map<std::string, std::vector<MachineCapacity>> groups;  // by `gang_zone_group`
  for (Machine* machine : machines_accepting_work(state_, constraints_, now)) {
    if (!constraints_.allowed_on(job, *machine) || job.failed_machines.contains(machine->id)) continue;
    const auto task_capacity = capacity_within_reservation(*machine, now).tasks_fitting(spec.task_resources);
    if (task_capacity > 0) groups[gang_zone_group(spec, machine->zone)].push_back({machine, task_capacity});
  }
  for (auto& [zone, machines] : groups) {
    std::stable_sort(machines.begin(), machines.end(),
                     [](const auto& a, const auto& b) { return a.task_capacity > b.task_capacity; });
    std::size_t total_capacity = 0;
    std::size_t count = 0;
    while (count < machines.size() && total_capacity < spec.task_count)
      total_capacity += machines[count++].task_capacity;
    if (total_capacity < spec.task_count) continue;
    for (std::size_t i = 0; i < count; ++i) {
      machines[i].machine->reserved_for_gang = job.serial;
      machines[i].machine->reservation_expires_at = now + constants::kGangReservationSeconds;
    }
    return true;
  }
  return false;
}

// ---- Reserve for expected gangs ---------------------------------------------------------------------------

void GangReservations::update_capacity_reserve(Time now) {
  double boot_s = 0;
  for (const auto& type : state_.types()) boot_s = std::max(boot_s, type.boot_s);
  expected_gangs_ = reserve_.expected_gangs(boot_s, now);
  for (auto& [id, machine] : state_.machines()) machine.in_gang_reserve = false;
  if (expected_gangs_.empty()) return;
  const auto machines = machines_accepting_work(state_, constraints_, now);
  for (const auto& expected : expected_gangs_) {
    // No capacity is held for gangs that allow spot instances.
    if (!expected.largest_gang.spot_allowed) hold_capacity(expected, machines);
  }
}

void GangReservations::hold_capacity(const ExpectedGangs& expected, const std::vector<Machine*>& machines) {
  const Job gang = make_hypothetical_job(expected.largest_gang);
  const std::set<std::string> recent_images = reserve_.recent_images();
  const auto count_recent_images = [&](const Machine& machine) {
    return static_cast<std::size_t>(
        std::count_if(machine.images.begin(), machine.images.end(),
                      [&](const CachedImage& image) { return recent_images.contains(image.name); }));
  };
  // Machines with the most images come first: fetching an image may take longer than the start objective.
  struct Candidate {
    Machine* machine = nullptr;
    std::size_t cached_images = 0;  // of recently arrived gangs
    std::size_t task_capacity = 0;
  };
  std::vector<Candidate> candidates;
  for (Machine* machine : machines) {
    if (machine->in_gang_reserve || !constraints_.allowed_on(gang, *machine)) continue;
    const auto task_capacity = constraints_.free_capacity(*machine).tasks_fitting(gang.spec.task_resources);
    if (task_capacity > 0) candidates.push_back({machine, count_recent_images(*machine), task_capacity});
  }
  std::stable_sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
    return std::tie(a.cached_images, a.task_capacity) > std::tie(b.cached_images, b.task_capacity);
  });
  std::size_t missing_tasks = expected.count * gang.spec.task_count;
  for (const auto& candidate : candidates) {
    if (missing_tasks == 0) break;
    candidate.machine->in_gang_reserve = true;
    missing_tasks -= std::min(missing_tasks, candidate.task_capacity);
  }
}

}  // namespace dockdyke::core
