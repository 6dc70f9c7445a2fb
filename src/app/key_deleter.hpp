// Deletes obsolete keys of the state service at background priority.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "app/fenced_writer.hpp"
#include "app/term_context.hpp"
#include "net/task.hpp"

namespace dockdyke::app {

// Keeps one batched transaction in flight at a time, so that deletions do not fill the rate limiter's queue
// and cause submissions to be refused.
class KeyDeleter {
 public:
  KeyDeleter(TermContext& context, FencedWriter& writer);

  // Queues the keys for deletion.
  void enqueue(std::vector<std::string> keys);

 private:
  net::Task<void> delete_queued_keys();

  TermContext& context_;
  FencedWriter& writer_;
  std::deque<std::string> queue_;
  bool running_ = false;
};

}  // namespace dockdyke::app
