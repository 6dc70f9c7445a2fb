// Deletes keys that nobody needs any more, when there is budget for it.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "app/guarded_writer.hpp"
#include "app/term_context.hpp"
#include "net/task.hpp"

namespace dockdyke::app {

// One transaction is in flight at a time: queued one by one, the deletions once filled the queue of the rate
// limiter and had submissions refused.
class KeyDeleter {
 public:
  KeyDeleter(TermContext& context, GuardedWriter& writer);

  void delete_later(std::vector<std::string> keys);

 private:
  net::Task<void> delete_queued();

  TermContext& context_;
  GuardedWriter& writer_;
  std::deque<std::string> queue_;
  bool running_ = false;
};

}  // namespace dockdyke::app
