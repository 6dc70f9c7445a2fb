// Applies the cloud's machine lists and the results of scale-out and deletion calls to the cluster state.
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

  // Applies a machine list. Lists may lag or arrive out of order, so missing machines are counted but kept.
  void apply(const MachinesListed& event, Time now);
  // Adds the machines that the cloud has granted for a scale-out request.
  void apply(const ScaleOutGranted& event, Time now);
  // Releases all assignments of the deleted machines and removes the machines.
  void apply(const MachinesDeleted& event, Time now);

 private:
  // Returns whether the machine has failed and its deletion has not been requested yet.
  bool update_from_listing(const wire::ListedMachine& listed, Time now);

  ClusterState& state_;
  ScaleOutRequests& scale_out_;
  ScaleInRequests& scale_in_;
  TaskLifecycle& lifecycle_;
};

}  // namespace dockdyke::core
