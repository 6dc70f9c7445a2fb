// Commits the state machine's pending transactions to the state service, several concurrently.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "app/term_context.hpp"
#include "core/leader_state_machine.hpp"
#include "net/task.hpp"
#include "store/state_client.hpp"

namespace dockdyke::app {

// Keeps at most constants::kMaxWritesInFlight writes in flight.
class StateWriter {
 public:
  // Called when a job's completion is stored.
  using CompletionListener = std::function<void(const JobId&, const wire::JobStatus&)>;

  StateWriter(TermContext& context, core::LeaderStateMachine& state_machine,
              CompletionListener on_job_completed);

  // Starts the writes that are due, up to the limit of writes in flight.
  void start_due_writes();
  // Returns the seconds until the next write is due, or std::nullopt if none is pending or can be started.
  std::optional<double> next_due_in_s() const;
  std::size_t in_flight() const { return in_flight_; }

 private:
  bool can_start_write() const;
  // Commits the write, with retries, and pushes its outcome to the event queue.
  net::Task<void> run_write(core::StateWrite write);
  // Handles the result of a commit. Returns true if it is final: applied or in conflict.
  bool handle_outcome(const core::StateWrite& write, store::Result<store::CommitResult>& committed);
  // Logs the completion and notifies the listener.
  void notify_job_completed(const JobId& id) const;

  TermContext& context_;
  core::LeaderStateMachine& state_machine_;
  CompletionListener on_job_completed_;
  std::size_t in_flight_ = 0;
};

}  // namespace dockdyke::app
