// One leadership: the owner of the cluster's state and of the parts that read, write and execute for it.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "app/cancellation_log.hpp"
#include "app/effect_executor.hpp"
#include "app/guarded_writer.hpp"
#include "app/heartbeat_handler.hpp"
#include "app/heartbeat_silence.hpp"
#include "app/key_deleter.hpp"
#include "app/record_loader.hpp"
#include "app/record_watcher.hpp"
#include "app/response_holds.hpp"
#include "app/state_writer.hpp"
#include "app/term_context.hpp"
#include "app/view_freshness.hpp"
#include "core/leader_state_machine.hpp"
#include "net/http_server.hpp"
#include "net/loop.hpp"
#include "net/task.hpp"
#include "store/election.hpp"

namespace dockdyke::app {

// Held by a shared pointer. Its detached coroutines share the ownership, so that the state outlives the last
// call of a term that has ended.
class LeaderTerm : public std::enable_shared_from_this<LeaderTerm> {
 public:
  struct Listener {
    // A newer leader exists.
    std::function<void()> on_superseded;
    StateWriter::CompletionListener on_job_completed;
  };

  // `asked_at`: when the request was sent that made this controller the leader. `config` outlives the term.
  LeaderTerm(TermServices services, const core::ClusterConfig& config, store::Leadership leadership,
             net::TimePoint asked_at, Listener listener);
  LeaderTerm(const LeaderTerm&) = delete;
  LeaderTerm& operator=(const LeaderTerm&) = delete;

  // Starts the main loop and the background tasks; `types` may be empty.
  void start(const std::vector<wire::MachineType>& types);
  // Nothing of this term goes on after its present call.
  void end() { context_.end(); }

  FencingToken token() const { return context_.token(); }
  // Seconds since the election.
  double age_s() const { return context_.now() - elected_at_; }
  // The lease was renewed by a call sent at the given moment.
  void lease_renewed(net::TimePoint sent_at) { freshness_.lease_renewed(sent_at); }
  HeartbeatSilence heartbeat_silence() const { return heartbeats_.silence(); }
  // Whether neither the state service nor any peer responds.
  void set_isolated(bool isolated) { freshness_.set_isolated(isolated); }
  void push(core::Event event) { context_.events().push(std::move(event)); }
  net::Task<net::HttpResponse> heartbeat(wire::Heartbeat heartbeat);
  // The state of an active job; nothing when it is unknown here or its end is being stored.
  std::optional<core::JobProgress> progress(const JobId& id) const { return state_machine_.progress(id); }

 private:
  // The main loop: only it and the responses to heartbeats change the state.
  net::Task<void> run();
  // Seconds until the main loop has something to do, at the latest.
  double next_wakeup_s() const;
  // True when a write has finished, so that held responses may be ready.
  bool apply_events(core::Time now);
  net::Task<void> load_and_watch();
  net::Task<void> refresh_machine_list();
  net::Task<void> run_timers();
  void log_statistics();
  void log_state_view() const;

  TermContext context_;
  core::Time elected_at_;
  core::LeaderStateMachine state_machine_;
  ViewFreshness freshness_;
  ResponseHolds holds_;
  HeartbeatHandler heartbeats_;
  GuardedWriter guarded_writer_;
  KeyDeleter key_deleter_;
  StateWriter state_writer_;
  EffectExecutor effects_;
  RecordLoader loader_;
  RecordWatcher watcher_;
  CancellationLog cancellation_log_;
};

}  // namespace dockdyke::app
