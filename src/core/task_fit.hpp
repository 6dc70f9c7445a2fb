// Checks on which machine types a job's tasks can run, and how many tasks fit into free capacity.
#pragma once

#include <cstddef>

#include "wire/messages.hpp"

namespace dockdyke::core {

// Returns whether the job allows the type and one of its tasks fits on an empty machine of the type.
bool can_run_on(const wire::JobSpec& spec, const wire::MachineType& type);

// Returns how many tasks of this size fit into the free resources, at most `kMaxDemandTasks`.
std::size_t tasks_fitting(const wire::Resources& task, const wire::Resources& free);

// Capacity of one machine for further tasks.
struct FreeCapacity {
  wire::Resources resources;
  // Number of tasks that the machine may still be assigned, whatever they request. Negative if it holds more
  // than `kMaxTasksPerMachine`.
  std::ptrdiff_t task_slots = 0;
  wire::Resources machine_size;

  // Returns whether a task of this size fits.
  bool fits(const wire::Resources& task) const { return tasks_fitting(task) > 0; }
  // Returns how many tasks of this size fit.
  std::size_t tasks_fitting(const wire::Resources& task) const;
  // Returns whether some task that requests at least these amounts may fit.
  bool may_fit(const wire::Resources& minimum) const;
  // Subtracts the capacity of `tasks` tasks that together take these resources.
  void take(const wire::Resources& total, std::size_t tasks);
  // Adds the capacity of a task that ends.
  void release(const wire::Resources& task);

 private:
  // Returns the number of slots that tasks of this size may use.
  std::ptrdiff_t slots_for(const wire::Resources& task) const;
};

// Returns the capacity of an empty machine of the type.
FreeCapacity empty_machine_capacity(const wire::MachineType& type);

}  // namespace dockdyke::core
