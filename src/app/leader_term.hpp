// One term of leadership: owns the state machine and the components that load, persist and execute for it.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "app/cancellation_log.hpp"
#include "app/effect_executor.hpp"
#include "app/fenced_writer.hpp"
#include "app/heartbeat_gap.hpp"
#include "app/heartbeat_handler.hpp"
#include "app/held_responses.hpp"
#include "app/key_deleter.hpp"
#include "app/record_loader.hpp"
#include "app/record_watcher.hpp"
#include "app/state_writer.hpp"
#include "app/term_context.hpp"
#include "app/view_freshness.hpp"
#include "app/zone_conflict_log.hpp"
#include "core/leader_state_machine.hpp"
#include "net/http_server.hpp"
#include "net/loop.hpp"
#include "net/task.hpp"
#include "store/election.hpp"

namespace dockdyke::app {

// Must be owned by a shared pointer. Its detached coroutines share the ownership, so that it outlives them
// after the term has ended.
class LeaderTerm : public std::enable_shared_from_this<LeaderTerm> {
 public:
  struct Listener {
    // Called when a newer leader is detected.
    std::function<void()> on_superseded;
    StateWriter::CompletionListener on_job_completed;
  };

  // `requested_at` is when the leader's lease was requested. `config` must outlive the term.
  LeaderTerm(TermServices services, const core::ClusterConfig& config, store::Leadership leadership,
             net::TimePoint requested_at, Listener listener);
  LeaderTerm(const LeaderTerm&) = delete;
  LeaderTerm& operator=(const LeaderTerm&) = delete;

  // Starts the main loop and the background tasks; `machine_types` may be empty.
  void start(const std::vector<wire::MachineType>& machine_types);
  // Ends the term. Its coroutines stop after their current call.
  void end() { context_.end(); }

  FencingToken token() const { return context_.token(); }
  // Returns the seconds since the election.
  double age_s() const { return context_.now() - elected_at_; }
  // Records that a call sent at `requested_at` renewed the lease.
  void lease_renewed(net::TimePoint requested_at) { freshness_.lease_renewed(requested_at); }
  HeartbeatGap heartbeat_gap() const { return heartbeat_handler_.heartbeat_gap(); }
  // Sets whether neither the state service nor any peer responds.
  void set_isolated(bool isolated) { freshness_.set_isolated(isolated); }
  void push(core::Event event) { context_.events().push(std::move(event)); }
  net::Task<net::HttpResponse> handle_heartbeat(wire::Heartbeat heartbeat);
  // Returns the progress of an active job, or std::nullopt if the records are not loaded, or the job is
  // unknown or cancelled.
  std::optional<core::JobProgress> progress(const JobId& id) const { return state_machine_.progress(id); }

 private:
  // Only the main loop and heartbeat responses modify the state machine.
  net::Task<void> run_main_loop();
  // Returns the longest time that the main loop may wait for an event.
  double next_wakeup_s() const;
  // Applies the queued events. Returns true if a write has finished, so that held responses may be ready.
  bool apply_events(core::Time now);
  net::Task<void> load_and_watch();
  net::Task<void> refresh_machine_list();
  net::Task<void> run_timers();
  void log_assignments() const;
  void log_zone_conflicts();
  void log_statistics();
  void log_state_view() const;

  TermContext context_;
  core::Time elected_at_;
  core::LeaderStateMachine state_machine_;
  ViewFreshness freshness_;
  HeldResponses held_responses_;
  HeartbeatHandler heartbeat_handler_;
  FencedWriter fenced_writer_;
  KeyDeleter key_deleter_;
  StateWriter state_writer_;
  EffectExecutor effect_executor_;
  RecordLoader record_loader_;
  RecordWatcher record_watcher_;
  CancellationLog cancellation_log_;
  ZoneConflictLog zone_conflict_log_;
};

}  // namespace dockdyke::app
