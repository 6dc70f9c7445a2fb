// Selection of the instance offering to request for a job.
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

// Parameters of a selection. The referenced objects must outlive the call.
struct OfferingRequest {
  const Job& job;
  std::size_t tasks = 0;
  bool allow_on_demand = false;
  const std::set<std::size_t>& avoided_types;                  // type numbers
  const ZoneCapacity& zones;                                   // how many tasks of the job each zone allows
  const std::map<std::string, std::size_t>& machines_by_zone;  // ties go to the zone with the fewest
};

// Selects the cheapest offering on which the tasks of a job may run.
class OfferingSelector {
 public:
  OfferingSelector(const ClusterState& state, const SchedulingConstraints& constraints,
                   const ScaleOutRequests& scale_out);

  // Returns the offering with the lowest total price for all tasks of the request, or std::nullopt if every
  // allowed offering is in backoff.
  std::optional<InstanceOffering> select(const OfferingRequest& request, Time now) const;
  // Returns whether on-demand machines may be requested: the job allows no spot machines, has waited too long
  // for them, or would miss its objective by waiting longer.
  bool needs_on_demand(const QueuedJob& queued, Time now) const;

 private:
  struct OfferingCandidate {
    InstanceOffering offering;
    double price = 0;  // per hour, of all machines that the tasks need
    std::size_t machines_in_zone = 0;

    // The candidate with the smallest key is selected.
    std::pair<double, std::size_t> sort_key() const { return {price, machines_in_zone}; }
  };

  // Returns std::nullopt if the job does not allow the offering or it is in backoff.
  std::optional<OfferingCandidate> make_candidate(const OfferingRequest& request, std::size_t type_number,
                                                  const std::string& zone, bool spot, Time now) const;

  const ClusterState& state_;
  const SchedulingConstraints& constraints_;
  const ScaleOutRequests& scale_out_;
};

}  // namespace dockdyke::core
