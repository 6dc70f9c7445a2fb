// Capacity on which waiting tasks can be planned: that of machines that are up, booting or requested.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/cluster_state.hpp"
#include "core/job_queue.hpp"
#include "core/scale_out_requests.hpp"
#include "core/scheduling_constraints.hpp"
#include "core/task_fit.hpp"
#include "core/time.hpp"

namespace dockdyke::core {

// Machines of the same offering with the same free capacity (rounded down). Planning with groups takes far
// fewer steps than planning with single machines.
struct MachineGroup {
  std::size_t type = 0;  // type number
  std::string zone;
  bool spot = false;
  FreeCapacity free;  // on each machine
  std::size_t machines = 0;
};

class AvailableCapacity {
 public:
  AvailableCapacity(const ClusterState& state, const SchedulingConstraints& constraints, JobQueue& queue,
                    const ScaleOutRequests& scale_out);

  // Groups the machines that are up, booting or requested by their free capacity. With `include_soon_free`,
  // capacity of tasks that are expected to end soon counts as free.
  std::vector<MachineGroup> groups(bool include_soon_free, Time now);

 private:
  // Returns, by type number, whether a compatible job has waited so long that its start objective is at risk.
  std::vector<bool> types_at_slo_risk(Time now);
  // Adds the capacity of the machine's tasks that are expected to end soon. With `at_slo_risk` only tasks
  // that are nearly done count.
  void add_soon_free_capacity(const Machine& machine, bool at_slo_risk, Time now, FreeCapacity& free) const;

  const ClusterState& state_;
  const SchedulingConstraints& constraints_;
  JobQueue& queue_;
  const ScaleOutRequests& scale_out_;
};

}  // namespace dockdyke::core
