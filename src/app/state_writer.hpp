// Writes the transactions that the leader's state asks for, several at a time.
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

// At most constants::kMaxWritesInFlight writes are in flight.
class StateWriter {
 public:
  // A job's completion is stored.
  using CompletionListener = std::function<void(const JobId&, const wire::JobStatus&)>;

  StateWriter(TermContext& context, core::LeaderStateMachine& state_machine,
              CompletionListener on_job_completed);

  // Starts all writes that are due and may be in flight.
  void start_due_writes();
  // Seconds until the next write is due; nothing while none can be started.
  std::optional<double> next_due_in_s() const;
  std::size_t in_flight() const { return in_flight_; }

 private:
  bool may_start() const;
  // Repeats the write until its outcome is known, and tells the state machine.
  net::Task<void> run(core::StateWrite write);
  // True when the outcome is final: applied, or in conflict.
  bool finish(const core::StateWrite& write, store::Result<store::CommitResult>& committed);
  void report_completion(const JobId& id) const;

  TermContext& context_;
  core::LeaderStateMachine& state_machine_;
  CompletionListener on_job_completed_;
  std::size_t in_flight_ = 0;
};

}  // namespace dockdyke::app
