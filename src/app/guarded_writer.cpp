#include "app/guarded_writer.hpp"

#include <utility>

namespace dockdyke::app {

GuardedWriter::GuardedWriter(TermContext& context) : context_(context) {}

net::Task<bool> GuardedWriter::commit(wire::Transaction transaction, store::RequestPriority priority) {
  transaction.preconditions.push_back(context_.leader_precondition());
  while (context_.alive()) {
    store::Result<store::CommitResult> committed =
        co_await context_.state().commit(transaction, priority, context_.background_deadline());
    if (committed) co_return context_.alive();
    if (committed.outcome == store::Outcome::conflict) {
      if (TermContext::leader_changed(committed.value)) {
        context_.report_superseded();
        co_return false;
      }
      // The other precondition says that the key exists: an earlier call of this loop, whose response was
      // lost, wrote it.
      co_return context_.alive();
    }
    co_await context_.retry_delay();
  }
  co_return false;
}

net::Task<bool> GuardedWriter::insert(std::string key, wire::Json value, store::RequestPriority priority) {
  wire::Transaction transaction;
  transaction.preconditions.push_back({key, Revision(0)});
  transaction.puts.push_back({std::move(key), std::move(value), {}});
  const bool written = co_await commit(std::move(transaction), priority);
  co_return written;
}

}  // namespace dockdyke::app
