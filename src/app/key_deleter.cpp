#include "app/key_deleter.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dockdyke::app {

KeyDeleter::KeyDeleter(TermContext& context, FencedWriter& writer) : context_(context), writer_(writer) {}

void KeyDeleter::enqueue(std::vector<std::string> keys) {
  std::move(keys.begin(), keys.end(), std::back_inserter(queue_));
  if (!running_) context_.spawn(delete_queued_keys());
}

net::Task<void> KeyDeleter::delete_queued_keys() {
  running_ = true;
  while (context_.alive() && !queue_.empty()) {
    const auto count = std::min(queue_.size(), context_.config().max_transaction_changes);
    const auto end = queue_.begin() + static_cast<std::ptrdiff_t>(count);
    wire::Transaction transaction;
    transaction.deletions.assign(queue_.begin(), end);
    queue_.erase(queue_.begin(), end);
    const bool written = co_await writer_.commit(std::move(transaction), store::RequestPriority::background);
    if (!written) break;
  }
  running_ = false;
}

}  // namespace dockdyke::app
