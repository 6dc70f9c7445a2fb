// Watches the records of active jobs for submissions and cancellations by other controllers (PROTOCOL, "GET
// /watch").
#pragma once

#include <cstddef>
#include <string>

#include "app/term_context.hpp"
#include "app/view_freshness.hpp"
#include "core/leader_state_machine.hpp"
#include "net/task.hpp"
#include "wire/messages.hpp"

namespace dockdyke::app {

// A completed watch proves the view of the state machine fresh.
class RecordWatcher {
 public:
  RecordWatcher(TermContext& context, const core::LeaderStateMachine& state_machine,
                ViewFreshness& freshness);

  // Watches for changes after the revision until the term ends.
  net::Task<void> run(Revision after);
  // Up to which all changes are known.
  Revision watched_revision() const { return watched_revision_; }
  // Watches without a response, or refused, in this term.
  std::size_t failed_watches() const { return failed_watches_; }

 private:
  void apply(const wire::KeyEvents& changes);
  // Too much has happened since the watched revision: compares the present records with the state.
  net::Task<void> reconcile();
  // Asks until the state service tells whether the job is still active.
  net::Task<void> confirm_removal(JobId id);
  // Pushes a record as a submitted job.
  void push_submission(const std::string& key, const wire::Json& value, Revision version);

  TermContext& context_;
  const core::LeaderStateMachine& state_machine_;
  ViewFreshness& freshness_;
  Revision watched_revision_;
  std::size_t failed_watches_ = 0;
};

}  // namespace dockdyke::app
