#include "app/held_responses.hpp"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "constants.hpp"

namespace dockdyke::app {

using core::ResponseHold;

HeldResponses::HeldResponses(TermContext& context, const core::LeaderStateMachine& state_machine,
                             std::size_t max_idle_held)
    : context_(context), state_machine_(state_machine), max_idle_held_(max_idle_held) {}

double HeldResponses::idle_hold_s() const {
  return std::min(constants::kMaxIdleHoldSeconds,
                  constants::kIdleHoldFraction * context_.config().heartbeat_interval_s);
}

net::Task<void> HeldResponses::wait_for_release(MachineId machine) {
  auto& loop = context_.loop();
  const auto idle_deadline = loop.now() + net::seconds(idle_hold_s());
  std::optional<net::TimePoint> write_deadline;
  while (context_.alive()) {
    const auto hold = state_machine_.response_hold(machine, context_.now());
    if (hold == ResponseHold::none) co_return;
    if (hold == ResponseHold::awaiting_work && release_signals_.size() >= max_idle_held_) co_return;
    // Work that is assigned during an idle hold gets the full timeout for its write.
    if (hold == ResponseHold::awaiting_write && !write_deadline)
      write_deadline = loop.now() + net::seconds(constants::kWriteHoldTimeoutSeconds);
    const auto deadline = write_deadline.value_or(idle_deadline);
    if (loop.now() >= deadline) co_return;
    const net::OneShot<bool> release_signal(loop);
    release_signals_.insert_or_assign(machine, release_signal);
    const std::optional<bool> signalled = co_await release_signal.wait_until(deadline);
    if (signalled) continue;
    // A newer heartbeat of the machine may have replaced the entry during the wait.
    if (const auto entry = release_signals_.find(machine);
        entry != release_signals_.end() && entry->second.shares_state_with(release_signal))
      release_signals_.erase(entry);
  }
}

void HeldResponses::release_ready() {
  std::vector<MachineId> ready;
  for (const auto& [machine, release_signal] : release_signals_)
    if (state_machine_.response_hold(machine, context_.now()) == ResponseHold::none) ready.push_back(machine);
  for (const auto& machine : ready) {
    release_signals_.at(machine).set(true);
    release_signals_.erase(machine);
  }
}

void HeldResponses::release_all() {
  for (const auto& [machine, release_signal] : std::exchange(release_signals_, {})) release_signal.set(true);
}

}  // namespace dockdyke::app
