#include "core/job.hpp"

#include <algorithm>

#include "constants.hpp"

namespace dockdyke::core {

void TaskAssignment::request_stop(double grace_period_s) {
  grace_s = stopping ? std::min(grace_s, grace_period_s) : grace_period_s;
  stopping = true;
}

void Job::allow_failed_machines_if_at_fault() {
  if (failed_machines.size() >= constants::kSuspectJobMachineThreshold) failed_machines.clear();
}

bool Job::assignment_durable(TaskIndex index) const {
  if (is_gang()) return gang.durable() && !gang.aborted && !complete();
  return tasks[index].durable();
}

bool Job::result_durable(TaskIndex index) const {
  // The terminal record makes the last result of a job durable, and all results of a gang.
  if (complete() || is_gang()) return !terminal_write_pending;
  return tasks[index].durable();
}

}  // namespace dockdyke::core
