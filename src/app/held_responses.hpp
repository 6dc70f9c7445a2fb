// Delays heartbeat responses briefly so that they can carry more commands.
#pragma once

#include <cstddef>
#include <map>

#include "app/term_context.hpp"
#include "core/leader_state_machine.hpp"
#include "net/loop.hpp"
#include "net/task.hpp"
#include "wire/ids.hpp"

namespace dockdyke::app {

// A response is held until a pending write that unblocks further commands is stored or, for a machine with
// free capacity, until work is assigned to it.
class HeldResponses {
 public:
  // While `max_idle_held` or more responses are held, no further response is held to await work.
  HeldResponses(TermContext& context, const core::LeaderStateMachine& state_machine,
                std::size_t max_idle_held);

  // Waits until there is no reason to hold the response to the machine's last heartbeat, or the wait times
  // out. The caller then checks that the term has not ended and the worker still awaits the response.
  net::Task<void> wait_for_release(MachineId machine);
  // Releases the responses that there is no more reason to hold.
  void release_ready();
  void release_all();
  std::size_t size() const { return release_signals_.size(); }
  // Returns how long the response to a machine with free capacity is held to await work.
  double idle_hold_s() const;

 private:
  TermContext& context_;
  const core::LeaderStateMachine& state_machine_;
  std::size_t max_idle_held_;
  std::map<MachineId, net::OneShot<bool>> release_signals_;
};

}  // namespace dockdyke::app
