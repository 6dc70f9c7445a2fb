#include "core/machine_inventory.hpp"

#include <algorithm>
#include <set>

namespace dockdyke::core {

MachineInventory::MachineInventory(ClusterState& state, ScaleOutRequests& scale_out,
                                   ScaleInRequests& scale_in, TaskLifecycle& lifecycle)
    : state_(state), scale_out_(scale_out), scale_in_(scale_in), lifecycle_(lifecycle) {}

void MachineInventory::apply(const MachinesListed& event, Time now) {
  std::set<MachineId> listed;
  std::vector<MachineId> failed;
  for (const auto& listed_machine : event.machines) {
    listed.insert(listed_machine.id);
    if (state_.recently_deleted(listed_machine.id)) continue;
    if (update_from_listing(listed_machine, now)) failed.push_back(listed_machine.id);
  }
  for (auto& [id, machine] : state_.machines())
    if (machine.listed && !listed.contains(id)) ++machine.missed_listings;
  scale_in_.request(failed);
}

bool MachineInventory::update_from_listing(const wire::ListedMachine& listed, Time now) {
  Machine& machine = state_.find_or_add_machine(listed.id, now);
  if (!machine.listed) {
    machine.listed = true;
    machine.launched_at = std::min(machine.launched_at, now - listed.age_s);
    if (machine.type.empty()) state_.set_offering(machine, listed.type, listed.zone, listed.spot);
  }
  machine.missed_listings = 0;
  if (listed.state == wire::InstanceState::failed) {
    lifecycle_.release_all(machine, now);
    machine.state = MachineState::failed;
    return !machine.scale_in_requested;
  }
  if (listed.state == wire::InstanceState::running && machine.state == MachineState::booting) {
    // The first heartbeat is due now, so the time since the last heartbeat starts here.
    machine.state = MachineState::up;
    machine.last_heartbeat_at = now;
  }
  return false;
}

void MachineInventory::apply(const ScaleOutGranted& event, Time now) {
  const auto pending = scale_out_.on_granted(event.id, event.machines.size(), now);
  if (!pending) return;
  const auto& request = pending->request;
  for (const auto& id : event.machines) {
    if (state_.recently_deleted(id)) continue;
    Machine& machine = state_.find_or_add_machine(id, now);
    state_.set_offering(machine, request.type, request.zone, request.spot);
    machine.launched_at = std::min(machine.launched_at, pending->requested_at);
  }
}

void MachineInventory::apply(const MachinesDeleted& event, Time now) {
  for (const auto& id : event.machines) lifecycle_.remove_machine(id, now);
}

}  // namespace dockdyke::core
