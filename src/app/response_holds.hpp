// Heartbeat responses that wait a little so that they can carry more commands.
#pragma once

#include <cstddef>
#include <map>

#include "app/term_context.hpp"
#include "core/leader_state_machine.hpp"
#include "net/loop.hpp"
#include "net/task.hpp"
#include "wire/ids.hpp"

namespace dockdyke::app {

// A response waits for a write that allows more commands, or, where the machine has capacity, for work.
class ResponseHolds {
 public:
  // At most `max_held` responses wait for work at the same time.
  ResponseHolds(TermContext& context, const core::LeaderStateMachine& state_machine, std::size_t max_held);

  // Waits until the response to the machine's last heartbeat has nothing to wait for, or its time is up. The
  // caller checks afterwards whether the term goes on and the response is still awaited.
  net::Task<void> wait(MachineId machine);
  // Lets those responses go that have nothing more to wait for.
  void release_ready();
  void release_all();
  std::size_t size() const { return held_.size(); }
  // Seconds for which the response to a machine with capacity waits for work.
  double idle_hold_s() const;

 private:
  TermContext& context_;
  const core::LeaderStateMachine& state_machine_;
  std::size_t max_held_;
  std::map<MachineId, net::OneShot<bool>> held_;
};

}  // namespace dockdyke::app
