#include "app/fenced_writer.hpp"

#include <utility>

namespace dockdyke::app {

FencedWriter::FencedWriter(TermContext& context) : context_(context) {}

net::Task<bool> FencedWriter::commit(wire::Transaction transaction, store::RequestPriority priority) {
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
      // The key exists already: a previous attempt whose response was lost has written it.
      co_return context_.alive();
    }
    co_await context_.retry_delay();
  }
  co_return false;
}

net::Task<bool> FencedWriter::insert(std::string key, wire::Json value, store::RequestPriority priority) {
  wire::Transaction transaction;
  transaction.preconditions.push_back({key, Revision(0)});
  transaction.puts.push_back({std::move(key), std::move(value), {}});
  const bool written = co_await commit(std::move(transaction), priority);
  co_return written;
}

}  // namespace dockdyke::app
