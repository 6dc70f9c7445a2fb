#include "core/task_fit.hpp"

#include <algorithm>
#include <cmath>

#include "constants.hpp"

namespace dockdyke::core {

bool can_run_on(const wire::JobSpec& spec, const wire::MachineType& type) {
  const auto& allowed = spec.machine_types;
  const bool type_allowed =
      !allowed || std::find(allowed->begin(), allowed->end(), type.name) != allowed->end();
  return type_allowed && spec.task_resources.fits_into(type.size);
}

std::size_t tasks_fitting(const wire::Resources& task, const wire::Resources& free) {
  constexpr double kRoundingTolerance = 1e-6;
  if (!task.fits_into(free)) return 0;
  double count = constants::kMaxDemandTasks;
  const auto limit_count = [&](double needed, double available) {
    if (needed > 0)
      count = std::min(count, std::floor(std::max(0.0, available + kRoundingTolerance) / needed));
  };
  limit_count(task.cpus, free.cpus);
  limit_count(task.gpus, free.gpus);
  limit_count(task.memory_gb, free.memory_gb);
  return static_cast<std::size_t>(count);
}

std::ptrdiff_t FreeCapacity::slots_for(const wire::Resources& task) const {
  constexpr std::ptrdiff_t kSlotsForLargerTasks = constants::kMaxTasksPerMachine - constants::kSmallTaskSlots;
  const bool small = task.fits_into(machine_size * constants::kSmallTaskFraction);
  return small ? task_slots - kSlotsForLargerTasks : task_slots;
}

std::size_t FreeCapacity::tasks_fitting(const wire::Resources& task) const {
  const std::ptrdiff_t slots = slots_for(task);
  if (slots <= 0) return 0;
  return std::min(static_cast<std::size_t>(slots), core::tasks_fitting(task, resources));
}

bool FreeCapacity::may_fit(const wire::Resources& minimum) const {
  return task_slots > 0 && minimum.fits_into(resources);
}

void FreeCapacity::take(const wire::Resources& total, std::size_t tasks) {
  resources -= total;
  task_slots -= static_cast<std::ptrdiff_t>(tasks);
}

void FreeCapacity::release(const wire::Resources& task) {
  resources += task;
  ++task_slots;
}

FreeCapacity empty_machine_capacity(const wire::MachineType& type) {
  return {type.size, static_cast<std::ptrdiff_t>(constants::kMaxTasksPerMachine), type.size};
}

}  // namespace dockdyke::core
