// Background writes of a leader, each under the precondition that it still leads.
#pragma once

#include <string>

#include "app/term_context.hpp"
#include "net/task.hpp"
#include "store/state_client.hpp"
#include "wire/messages.hpp"

namespace dockdyke::app {

// Writes are repeated until their outcome is known.
class GuardedWriter {
 public:
  explicit GuardedWriter(TermContext& context);

  // Repeats the transaction until it is applied; false when the term has ended. A conflict with any other
  // precondition than the leader's counts as applied: see `insert`.
  net::Task<bool> commit(wire::Transaction transaction, store::RequestPriority priority);
  // Writes a key that nobody else writes, unless it exists; false when the term has ended.
  net::Task<bool> insert(std::string key, wire::Json value, store::RequestPriority priority);

 private:
  TermContext& context_;
};

}  // namespace dockdyke::app
