#include "core/job.hpp"

#include <algorithm>

namespace dockdyke::core {

void TaskAssignment::request_stop(double grace_period_s) {
  grace_s = stopping ? std::min(grace_s, grace_period_s) : grace_period_s;
  stopping = true;
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
