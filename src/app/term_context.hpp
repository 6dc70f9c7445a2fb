// Context shared by the components of a leader's term: services, lifetime, fencing token and event queue.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "app/event_queue.hpp"
#include "cloud/cloud_client.hpp"
#include "core/config.hpp"
#include "core/time.hpp"
#include "net/http_client.hpp"
#include "net/loop.hpp"
#include "net/task.hpp"
#include "store/state_client.hpp"
#include "wire/ids.hpp"

namespace dockdyke::app {

// External services that a term uses. They must outlive the term.
struct TermServices {
  net::Loop& loop;
  store::StateClient& state;
  cloud::CloudClient& cloud;
  net::Transport& transport;       // to workers
  std::size_t max_held_responses;  // limit of heartbeat responses held at the same time
};

// Owned by the term; its components hold references to it.
class TermContext {
 public:
  // `on_superseded` is called when a newer leader is detected.
  TermContext(TermServices services, const core::ClusterConfig& config, FencingToken token,
              std::function<void()> on_superseded);

  // Sets the object that spawned tasks keep alive; must be called before the first `spawn`.
  void set_owner(std::weak_ptr<const void> owner);
  // Runs a detached task. The owner is kept alive until the task has ended.
  void spawn(net::Task<void> task);

  // Returns false once the term has ended. Tasks must check this after each suspension.
  bool alive() const { return alive_; }
  void end();
  // Handles the detection of a newer leader: ends the leadership, unless it has ended already.
  void report_superseded();

  net::Loop& loop() const { return services_.loop; }
  store::StateClient& state() const { return services_.state; }
  cloud::CloudClient& cloud() const { return services_.cloud; }
  net::Transport& transport() const { return services_.transport; }
  const core::ClusterConfig& config() const { return config_; }
  EventQueue& events() { return events_; }
  FencingToken token() const { return token_; }
  // Returns the precondition that no other controller has become the leader.
  wire::Precondition leader_precondition() const;
  // Returns whether a transaction failed because another controller has become the leader.
  static bool leader_changed(const store::CommitResult& committed);
  // Returns the current time as used by the state machine.
  core::Time now() const;
  // Waits before a failed background call is retried.
  net::Loop::Sleep retry_delay() const;
  // Returns the deadline for a background call that starts now.
  net::TimePoint background_deadline() const;

 private:
  TermServices services_;
  const core::ClusterConfig& config_;
  FencingToken token_;
  std::function<void()> on_superseded_;
  EventQueue events_;
  std::weak_ptr<const void> owner_;
  bool alive_ = true;
};

// Converts a time of the steady clock to the state machine's time, in seconds.
core::Time to_core_time(net::TimePoint time);

}  // namespace dockdyke::app
