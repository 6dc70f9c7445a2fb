// Queue of events that a leader term's main loop applies to the state machine in batches.
#pragma once

#include <utility>
#include <vector>

#include "core/events.hpp"
#include "net/loop.hpp"

namespace dockdyke::app {

// The queue has no size limit; the sources of events are bounded themselves.
class EventQueue {
 public:
  explicit EventQueue(net::Loop& loop) : wake_up_(loop) {}

  void push(core::Event event) {
    events_.push_back(std::move(event));
    wake();
  }
  // Removes and returns all queued events.
  std::vector<core::Event> take_all() { return std::exchange(events_, {}); }

  // Wakes the main loop without an event.
  void wake() { wake_up_.notify(); }
  // Waits until an event is pushed or `wake` is called, for at most `limit`. Only one coroutine may wait.
  auto wait_for(net::Duration limit) { return wake_up_.wait_for(limit); }

 private:
  net::WakeUp wake_up_;
  std::vector<core::Event> events_;
};

}  // namespace dockdyke::app
