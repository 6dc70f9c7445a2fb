// Which machines there are, by what the cloud says.
#pragma once

#include <vector>

#include "core/cluster_state.hpp"
#include "core/events.hpp"
#include "core/offering.hpp"
#include "core/scale_in_requests.hpp"
#include "core/scale_out_requests.hpp"
#include "core/task_lifecycle.hpp"
#include "core/time.hpp"

namespace dockdyke::core {

class MachineInventory {
 public:
  MachineInventory(ClusterState& state, ScaleOutRequests& scale_out, ScaleInRequests& scale_in,
                   TaskLifecycle& lifecycle);

  // Lists lag and may be older than the one before, so a missing machine proves nothing.
  void apply(const MachinesListed& event, Time now);
  void apply(const ScaleOutGranted& event, Time now);
  // The deletion was answered: the machines and everything on them are gone.
  void apply(const MachinesDeleted& event, Time now);

 private:
  // Returns whether the machine has failed and is to be deleted.
  bool update(const wire::ListedMachine& listed, Time now);

  ClusterState& state_;
  ScaleOutRequests& scale_out_;
  ScaleInRequests& scale_in_;
  TaskLifecycle& lifecycle_;
};

}  // namespace dockdyke::core
