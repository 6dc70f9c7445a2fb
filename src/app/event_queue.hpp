// Events for the state of a leader's term, applied in batches by its main loop.
#pragma once

#include <utility>
#include <vector>

#include "core/events.hpp"
#include "net/loop.hpp"

namespace dockdyke::app {

// Unbounded: what pushes events is bounded itself.
class EventQueue {
 public:
  explicit EventQueue(net::Loop& loop) : wake_up_(loop) {}

  void push(core::Event event) {
    events_.push_back(std::move(event));
    wake();
  }
  std::vector<core::Event> take() { return std::exchange(events_, {}); }

  // Wakes the main loop for something other than an event.
  void wake() { wake_up_.notify(); }
  // Waits until something is pushed or `wake` is called, for at most `limit`. One coroutine may wait.
  auto wait_for(net::Duration limit) { return wake_up_.wait_for(limit); }

 private:
  net::WakeUp wake_up_;
  std::vector<core::Event> events_;
};

}  // namespace dockdyke::app
