// Caches final job states in memory, so that late polls need no read of the state service.
#pragma once

#include <deque>
#include <unordered_map>

#include "wire/ids.hpp"
#include "wire/messages.hpp"

namespace dockdyke::app {

// Holds at most constants::kTerminalJobCacheSize jobs and removes the oldest entry first. Only stored
// terminal states may be inserted, since these never change.
class TerminalJobCache {
 public:
  // Returns nullptr if the job is not cached. The pointer is valid until the next call of `insert`; do not
  // keep it across a coroutine suspension.
  const wire::JobStatus* find(const JobId& id) const;
  bool contains(const JobId& id) const { return statuses_.contains(id); }
  // Does nothing if the job is already cached.
  void insert(const JobId& id, const wire::JobStatus& status);

 private:
  std::unordered_map<JobId, wire::JobStatus> statuses_;
  std::deque<JobId> insertion_order_;
};

}  // namespace dockdyke::app
