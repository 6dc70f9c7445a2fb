#include "app/response_holds.hpp"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "constants.hpp"

namespace dockdyke::app {

using core::ResponseHold;

ResponseHolds::ResponseHolds(TermContext& context, const core::LeaderStateMachine& state_machine,
                             std::size_t max_held)
    : context_(context), state_machine_(state_machine), max_held_(max_held) {}

double ResponseHolds::idle_hold_s() const {
  return std::min(constants::kMaxIdleHoldSeconds,
                  constants::kIdleHoldFraction * context_.config().heartbeat_interval_s);
}

net::Task<void> ResponseHolds::wait(MachineId machine) {
  auto& loop = context_.loop();
  const auto idle_until = loop.now() + net::seconds(idle_hold_s());
  std::optional<net::TimePoint> write_until;
  while (context_.alive()) {
    const auto hold = state_machine_.response_hold(machine, context_.now());
    if (hold == ResponseHold::none) co_return;
    if (hold == ResponseHold::awaiting_work && held_.size() >= max_held_) co_return;
    // Work assigned to an idle machine meanwhile has the same time to be stored as any other.
    if (hold == ResponseHold::awaiting_write && !write_until)
      write_until = loop.now() + net::seconds(constants::kWriteHoldTimeoutSeconds);
    const auto until = write_until.value_or(idle_until);
    if (loop.now() >= until) co_return;
    const net::OneShot<bool> released(loop);
    held_.insert_or_assign(machine, released);
    const std::optional<bool> ready = co_await released.wait_until(until);
    if (ready) continue;
    // A newer heartbeat of the machine may have replaced the entry during the wait.
    if (const auto entry = held_.find(machine);
        entry != held_.end() && entry->second.shares_state_with(released))
      held_.erase(entry);
  }
}

void ResponseHolds::release_ready() {
  std::vector<MachineId> ready;
  for (const auto& [machine, released] : held_)
    if (state_machine_.response_hold(machine, context_.now()) == ResponseHold::none) ready.push_back(machine);
  for (const auto& machine : ready) {
    held_.at(machine).set(true);
    held_.erase(machine);
  }
}

void ResponseHolds::release_all() {
  for (const auto& [machine, released] : std::exchange(held_, {})) released.set(true);
}

}  // namespace dockdyke::app
