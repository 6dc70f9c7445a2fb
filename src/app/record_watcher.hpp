// Watches the records of active jobs for submissions and cancellations by other controllers.
#pragma once

#include <cstddef>
#include <string>

#include "app/term_context.hpp"
#include "app/view_freshness.hpp"
#include "core/leader_state_machine.hpp"
#include "net/task.hpp"
#include "wire/messages.hpp"

namespace dockdyke::app {

// Each completed watch call resets the staleness of the leader's local view.
class RecordWatcher {
 public:
  RecordWatcher(TermContext& context, const core::LeaderStateMachine& state_machine,
                ViewFreshness& freshness);

  // Watches for changes after the given revision until the term ends.
  net::Task<void> run(Revision after);
  // Returns the revision up to which all changes are known.
  Revision watched_revision() const { return watched_revision_; }
  // Returns the number of watch calls in this term that failed.
  std::size_t failed_watches() const { return failed_watches_; }

 private:
  void apply_events(const wire::KeyEvents& changes);
  // Compares the stored records with the state machine. Used if the state service no longer keeps the changes
  // since the watched revision.
  net::Task<void> reconcile();
  // Reads the job's record, with retries, and pushes a deletion event if it no longer exists.
  net::Task<void> confirm_deletion(JobId id);
  // Parses the record and pushes a submission event.
  void push_submission(const std::string& key, const wire::Json& value, Revision version);

  TermContext& context_;
  const core::LeaderStateMachine& state_machine_;
  ViewFreshness& freshness_;
  Revision watched_revision_;
  std::size_t failed_watches_ = 0;
};

}  // namespace dockdyke::app
