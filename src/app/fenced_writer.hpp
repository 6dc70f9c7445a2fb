// Background writes of the leader, each with the precondition that it is still the leader.
#pragma once

#include <string>

#include "app/term_context.hpp"
#include "net/task.hpp"
#include "store/state_client.hpp"
#include "wire/messages.hpp"

namespace dockdyke::app {

// Retries each write until its outcome is known.
class FencedWriter {
 public:
  explicit FencedWriter(TermContext& context);

  // Commits the transaction, with retries. Returns false if the term has ended. A conflict on any other
  // precondition than that on the leader key counts as success; see `insert`.
  net::Task<bool> commit(wire::Transaction transaction, store::RequestPriority priority);
  // Writes a key unless it exists. Returns false if the term has ended. No other controller may write the
  // key: if it exists, a previous attempt whose response was lost has written it.
  net::Task<bool> insert(std::string key, wire::Json value, store::RequestPriority priority);

 private:
  TermContext& context_;
};

}  // namespace dockdyke::app
