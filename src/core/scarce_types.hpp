// Machine types to be kept free for jobs that can run on no other type.
#pragma once

#include <cstddef>
#include <set>

#include "core/cluster_state.hpp"
#include "core/job_queue.hpp"
#include "core/offering_selector.hpp"
#include "core/time.hpp"

namespace dockdyke::core {

// Tracks scarce machine types. A type is scarce if it is the only compatible type of some waiting job and has
// no offering that can be requested now. Jobs that are compatible with other types avoid scarce ones, as
// their small tasks would occupy machines that large tasks need as a whole.
class ScarceTypes {
 public:
  ScarceTypes(const ClusterState& state, JobQueue& queue, const OfferingSelector& selector);

  void update(Time now);
  // Returns the numbers of the types that this job should avoid. Empty if the job is compatible with scarce
  // types only, or if its objective leaves no time to boot a machine of another type.
  std::set<std::size_t> types_to_avoid(const QueuedJob& queued, Time now) const;

 private:
  const ClusterState& state_;
  JobQueue& queue_;
  const OfferingSelector& selector_;
  std::set<std::size_t> scarce_;  // type numbers
};

}  // namespace dockdyke::core
