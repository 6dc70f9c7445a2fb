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

void GangReservations::note_arrival(const Job& job, Time now) {
  if (job.is_gang() && has_quick_start_objective(state_.config(), job.spec))
    reserve_.note_arrival(job.spec, now);
}

Job GangReservations::model_job(const wire::JobSpec& spec) const {
  Job job;
  job.spec = spec;
  state_.update_compatible_types(job);
  return job;
}

// ---- For a gang that waits --------------------------------------------------------------------------------

namespace {

// A machine with the number of the gang's tasks that it can hold.
struct MachineCapacity {
  Machine* machine = nullptr;
  std::size_t tasks = 0;
};

}  // namespace

bool GangReservations::expire_reservations(Time now) {
  bool any_left = false;
  for (auto& [id, machine] : state_.machines()) {
    if (machine.reserved_for_gang == 0) continue;
    const Job* job = state_.find_job(machine.reserved_for_gang);
    const bool waits = job && job->waiting_tasks() > 0;
    if (!waits || now >= machine.reservation_expires_at) machine.reserved_for_gang = 0;
    any_left = any_left || machine.reserved_for_gang != 0;
  }
  return any_left;
}

void GangReservations::reserve_for_waiting_gang(Time now) {
  if (expire_reservations(now) || now < next_reservation_at_) return;
  for (const auto& queued : queue_.ordered(now)) {
    const Job& job = *queued.job;
    if (!job.is_gang() || now < job.backoff_until ||
        now - job.queued_since < constants::kGangReservationDelay ||
        constraints_.quota_headroom(job) < job.spec.task_count)
      continue;
    if (!reserve(job, now)) continue;
    next_reservation_at_ = now + constants::kGangReservationTime + constants::kGangReservationPause;
    return;
  }
}

wire::Resources GangReservations::capacity_within_reservation(const Machine& machine, Time now) const {
  wire::Resources capacity = constraints_.free_capacity(machine);
  for (const auto& task : machine.assignments) {
    const TaskAssignment& assignment = task.assignment();
    const double remaining_s = std::max(0.0, task.job->expected_run_s - assignment.ran_s(now));
    const bool ends =
        task.job->spec.kind != wire::JobKind::service && remaining_s < constants::kGangReservationTime;
    if (ends || assignment.stopping) capacity += task.job->spec.task_resources;
  }
  return capacity;
}

bool GangReservations::reserve(const Job& job, Time now) {
  const auto& spec = job.spec;
  std::map<std::string, std::vector<MachineCapacity>> groups;  // by zone where all tasks must share one
  for (Machine* machine : machines_accepting_work(state_, constraints_, now)) {
    if (!constraints_.allowed_on(job, *machine) || job.failed_machines.contains(machine->id)) continue;
    const auto tasks = tasks_fitting(spec.task_resources, capacity_within_reservation(*machine, now));
    if (tasks > 0) groups[spec.same_zone ? machine->zone : std::string()].push_back({machine, tasks});
  }
  for (auto& [zone, machines] : groups) {
    std::stable_sort(machines.begin(), machines.end(),
                     [](const auto& a, const auto& b) { return a.tasks > b.tasks; });
    std::size_t tasks = 0;
    std::size_t count = 0;
    while (count < machines.size() && tasks < spec.task_count) tasks += machines[count++].tasks;
    if (tasks < spec.task_count) continue;
    for (std::size_t i = 0; i < count; ++i) {
      machines[i].machine->reserved_for_gang = job.serial;
      machines[i].machine->reservation_expires_at = now + constants::kGangReservationTime;
    }
    return true;
  }
  return false;
}

// ---- For gangs that are expected --------------------------------------------------------------------------

void GangReservations::hold_reserve(Time now) {
  double boot_s = 0;
  for (const auto& type : state_.types()) boot_s = std::max(boot_s, type.boot_s);
  expected_ = reserve_.expected(boot_s, now);
  for (auto& [id, machine] : state_.machines()) machine.in_gang_reserve = false;
  if (expected_.empty()) return;
  const auto machines = machines_accepting_work(state_, constraints_, now);
  for (const auto& each : expected_) {
    // Where spot machines are allowed, other work may use the same machines at no loss.
    if (!each.largest.spot_allowed) hold(each, machines);
  }
}

void GangReservations::hold(const ExpectedGangs& expected, const std::vector<Machine*>& machines) {
  const Job gang = model_job(expected.largest);
  const std::set<std::string> recent_images = reserve_.images();
  const auto images_on = [&](const Machine& machine) {
    return static_cast<std::size_t>(
        std::count_if(machine.images.begin(), machine.images.end(),
                      [&](const CachedImage& image) { return recent_images.contains(image.name); }));
  };
  // Those that have the most images first: a single fetch may take longer than a quick start.
  struct Candidate {
    Machine* machine = nullptr;
    std::size_t images = 0;
    std::size_t tasks = 0;
  };
  std::vector<Candidate> candidates;
  for (Machine* machine : machines) {
    if (machine->in_gang_reserve || !constraints_.allowed_on(gang, *machine)) continue;
    const auto tasks = tasks_fitting(gang.spec.task_resources, constraints_.free_capacity(*machine));
    if (tasks > 0) candidates.push_back({machine, images_on(*machine), tasks});
  }
  std::stable_sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
    return std::tie(a.images, a.tasks) > std::tie(b.images, b.tasks);
  });
  std::size_t missing = expected.gangs * gang.spec.task_count;
  for (const auto& candidate : candidates) {
    if (missing == 0) break;
    candidate.machine->in_gang_reserve = true;
    missing -= std::min(missing, candidate.tasks);
  }
}

}  // namespace dockdyke::core
