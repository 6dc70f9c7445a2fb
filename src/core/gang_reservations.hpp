// Reserves capacity for gangs: for one waiting gang, and for gangs that are expected to arrive.
#pragma once

#include <vector>

#include "core/cluster_state.hpp"
#include "core/gang_capacity_reserve.hpp"
#include "core/job_queue.hpp"
#include "core/scheduling_constraints.hpp"
#include "core/time.hpp"

namespace dockdyke::core {

// Marks machines as reserved for a waiting gang or as part of the gang capacity reserve.
class GangReservations {
 public:
  GangReservations(ClusterState& state, const SchedulingConstraints& constraints, JobQueue& queue);

  // Records a submitted or adopted job if it is a gang whose class has a short start objective.
  void record_arrival(const Job& job, Time now);
  // Reserves machines for the first waiting gang in queue order for which there are enough, since smaller
  // jobs would otherwise take all capacity that becomes free. Each reservation is followed by a pause, so
  // that other jobs do not starve either.
  void reserve_for_waiting_gang(Time now);
  // Recomputes which machines form the gang capacity reserve.
  void update_capacity_reserve(Time now);
  // Returns the gangs that the last `update_capacity_reserve` expected.
  const std::vector<ExpectedGangs>& expected_gangs() const { return expected_gangs_; }
  // Returns a job with this spec for checks of constraints. It is not part of the cluster state.
  Job make_hypothetical_job(const wire::JobSpec& spec) const;

 private:
  // Removes reservations that have expired or are not needed any more. Returns whether any is left.
  bool expire_reservations(Time now);
  // Reserves enough machines for all tasks of the gang. Returns false, reserving none, if they do not fit.
  bool try_reserve(const Job& job, Time now);
  // Returns the machine's free capacity, including that of tasks expected to end within a reservation.
  FreeCapacity capacity_within_reservation(const Machine& machine, Time now) const;
  // Adds machines with enough free capacity for the expected gangs of a class to the reserve.
  void hold_capacity(const ExpectedGangs& expected, const std::vector<Machine*>& machines);

  ClusterState& state_;
  const SchedulingConstraints& constraints_;
  JobQueue& queue_;
  GangCapacityReserve reserve_;
  std::vector<ExpectedGangs> expected_gangs_;
  Time next_reservation_at_ = 0;
};

}  // namespace dockdyke::core
