// Machine types that some waiting job cannot do without while none can be rented. Jobs with another choice
// keep off them: small tasks strewn over the machines that large ones need keep these out for as long as
// any runs.
#pragma once

#include <cstddef>
#include <set>

#include "core/cluster_state.hpp"
#include "core/job_queue.hpp"
#include "core/offering_selector.hpp"
#include "core/time.hpp"

namespace dockdyke::core {

class ScarceTypes {
 public:
  ScarceTypes(const ClusterState& state, JobQueue& queue, const OfferingSelector& selector);

  void update(Time now);
  // Numbers of the types that this job keeps off. Empty where it has no other choice, or no time to wait
  // for another type to boot.
  std::set<std::size_t> avoided_by(const QueuedJob& queued, Time now) const;

 private:
  const ClusterState& state_;
  JobQueue& queue_;
  const OfferingSelector& selector_;
  std::set<std::size_t> scarce_;
};

}  // namespace dockdyke::core
