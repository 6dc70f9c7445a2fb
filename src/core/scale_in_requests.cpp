#include "core/scale_in_requests.hpp"

#include <utility>

#include "constants.hpp"
#include "core/state_keys.hpp"

namespace dockdyke::core {

ScaleInRequests::ScaleInRequests(ClusterState& state, EffectQueue& effects)
    : state_(state), effects_(effects) {}

void ScaleInRequests::request(const std::vector<MachineId>& machines) {
  constexpr std::size_t kListOverheadBytes = 32;
  constexpr std::size_t kNameOverheadBytes = 3;
  for (std::size_t next = 0; next < machines.size();) {
    const std::string number = std::to_string(state_.token().value) + "-" + std::to_string(next_number_++);
    RequestScaleIn effect{key::kScaleInPrefix + number, {}, false};
    std::size_t bytes = kListOverheadBytes;
    while (next < machines.size() && effect.machines.size() < constants::kMaxMachinesPerDeletion) {
      bytes += machines[next].value.size() + kNameOverheadBytes;
      if (bytes > state_.config().max_value_bytes && !effect.machines.empty()) break;
      state_.find_machine(machines[next])->scale_in_requested = true;
      effect.machines.push_back(machines[next++]);
    }
    effects_.push(std::move(effect));
  }
}

void ScaleInRequests::adopt(const std::string& key, const std::vector<MachineId>& machines, Time now) {
  for (const auto& id : machines) state_.find_or_add_machine(id, now).scale_in_requested = true;
  effects_.push(RequestScaleIn{key, machines, true});
}

}  // namespace dockdyke::core
