// What all parts of a leader's term share: services, lifetime, fencing token and event queue.
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

// The services a term works with. They outlive every term.
struct TermServices {
  net::Loop& loop;
  store::StateClient& state;
  cloud::CloudClient& cloud;
  net::Transport& transport;       // to workers
  std::size_t max_held_responses;  // to workers at the same time, as far as connections allow
};

// Owned by the term. Parts refer to it and never to each other's fields.
class TermContext {
 public:
  // `on_superseded` is called when something shows that a newer leader exists.
  TermContext(TermServices services, const core::ClusterConfig& config, FencingToken token,
              std::function<void()> on_superseded);

  // The object whose parts run the spawned tasks; to be set before the first `spawn`.
  void set_owner(std::weak_ptr<const void> owner);
  // Runs a task of the term on its own. The owner lives at least until the task has ended.
  void spawn(net::Task<void> task);

  // False once the leadership has ended: whatever a task does after a suspension is done only while true.
  bool alive() const { return alive_; }
  void end();
  // A newer leader exists: ends the leadership, unless it has ended already.
  void report_superseded();

  net::Loop& loop() const { return services_.loop; }
  store::StateClient& state() const { return services_.state; }
  cloud::CloudClient& cloud() const { return services_.cloud; }
  net::Transport& transport() const { return services_.transport; }
  const core::ClusterConfig& config() const { return config_; }
  EventQueue& events() { return events_; }
  FencingToken token() const { return token_; }
  // Holds while no other controller has become the leader.
  wire::Precondition leader_precondition() const;
  // Whether a transaction failed since another controller is the leader.
  static bool leader_changed(const store::CommitResult& committed);
  // The present time as the state machine counts it (s).
  core::Time now() const;
  // Waits before a failed background call is repeated.
  net::Loop::Sleep retry_delay() const;
  // Until when a background call may take.
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

// A moment of the steady clock as the state machine counts it (s).
core::Time core_time(net::TimePoint time);

}  // namespace dockdyke::app
