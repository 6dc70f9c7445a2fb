#include "app/terminal_job_cache.hpp"

#include "constants.hpp"

namespace dockdyke::app {

const wire::JobStatus* TerminalJobCache::find(const JobId& id) const {
  const auto cached = statuses_.find(id);
  return cached == statuses_.end() ? nullptr : &cached->second;
}

void TerminalJobCache::insert(const JobId& id, const wire::JobStatus& status) {
  if (!statuses_.emplace(id, status).second) return;
  insertion_order_.push_back(id);
  if (insertion_order_.size() <= constants::kTerminalJobCacheSize) return;
  statuses_.erase(insertion_order_.front());
  insertion_order_.pop_front();
}

}  // namespace dockdyke::app
