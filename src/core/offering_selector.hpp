// Which offering to ask for when a job needs machines.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "core/cluster_state.hpp"
#include "core/job_queue.hpp"
#include "core/offering.hpp"
#include "core/scale_out_requests.hpp"
#include "core/scheduling_constraints.hpp"
#include "core/time.hpp"

namespace dockdyke::core {

// What is asked for. The referred parts must outlive the call.
struct OfferingRequest {
  const Job& job;
  std::size_t tasks = 0;
  bool allow_on_demand = false;
  const std::set<std::size_t>& avoided_types;                  // by number
  const ZoneCapacity& zones;                                   // of the job
  const std::map<std::string, std::size_t>& machines_by_zone;  // ties go to the zone with the fewest
};

class OfferingSelector {
 public:
  OfferingSelector(const ClusterState& state, const SchedulingConstraints& constraints,
                   const ScaleOutRequests& scale_out);

  // The cheapest offering for all the tasks that was not refused lately; nothing where there is none.
  std::optional<InstanceOffering> select(const OfferingRequest& request, Time now) const;
  // Waiting any longer for a spot machine would cost the job its objective, or it allows none.
  bool needs_on_demand(const QueuedJob& queued, Time now) const;

 private:
  struct RankedOffering {
    InstanceOffering offering;
    double price = 0;  // per hour, of all the machines
    std::size_t machines_in_zone = 0;

    // Smaller is better.
    std::pair<double, std::size_t> rank() const { return {price, machines_in_zone}; }
  };

  // Nothing where the job does not allow the offering or it was refused lately.
  std::optional<RankedOffering> rank(const OfferingRequest& request, std::size_t type_number,
                                     const std::string& zone, bool spot, Time now) const;

  const ClusterState& state_;
  const SchedulingConstraints& constraints_;
  const ScaleOutRequests& scale_out_;
};

}  // namespace dockdyke::core
