// Final states of jobs, kept in memory to answer late polls without the state service.
#pragma once

#include <deque>
#include <unordered_map>

#include "wire/ids.hpp"
#include "wire/messages.hpp"

namespace dockdyke::app {

// Holds at most constants::kTerminalJobCacheSize jobs; the oldest entry is dropped first. Only states that
// are stored may be inserted: they never change again (PROTOCOL, "GET /work/{id}").
class TerminalJobCache {
 public:
  // Null when the job is not cached. The pointer is valid until the next call of `insert`, so not beyond a
  // suspension.
  const wire::JobStatus* find(const JobId& id) const;
  bool contains(const JobId& id) const { return statuses_.contains(id); }
  // Keeps the first status of a job.
  void insert(const JobId& id, const wire::JobStatus& status);

 private:
  std::unordered_map<JobId, wire::JobStatus> statuses_;
  std::deque<JobId> insertion_order_;
};

}  // namespace dockdyke::app
