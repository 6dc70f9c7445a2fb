// Capacity that is set aside for gangs: for one that waits, and for those that are expected.
#pragma once

#include <vector>

#include "core/cluster_state.hpp"
#include "core/gang_capacity_reserve.hpp"
#include "core/job_queue.hpp"
#include "core/scheduling_constraints.hpp"
#include "core/time.hpp"

namespace dockdyke::core {

class GangReservations {
 public:
  GangReservations(ClusterState& state, const SchedulingConstraints& constraints, JobQueue& queue);

  // A job was submitted or taken over. Gangs of classes that want quick starts are a sign that more will
  // come.
  void note_arrival(const Job& job, Time now);
  // Keeps capacity, as it frees, for the first gang in the queue, which smaller work would otherwise take for
  // ever. For a bounded time, and then not for a while, so that what is kept out meanwhile is served as well.
  void reserve_for_waiting_gang(Time now);
  // Marks the machines whose capacity is held for expected gangs.
  void hold_reserve(Time now);
  // What `hold_reserve` last found to be wanted.
  const std::vector<ExpectedGangs>& expected() const { return expected_; }
  // A job like the gangs that are expected, to ask constraints with. It is not part of the state.
  Job model_job(const wire::JobSpec& spec) const;

 private:
  // Ends reservations that are over; returns whether any is left.
  bool expire_reservations(Time now);
  bool reserve(const Job& job, Time now);
  // What is free on the machine, or will be within a reservation's time.
  wire::Resources capacity_within_reservation(const Machine& machine, Time now) const;
  void hold(const ExpectedGangs& expected, const std::vector<Machine*>& machines);

  ClusterState& state_;
  const SchedulingConstraints& constraints_;
  JobQueue& queue_;
  GangCapacityReserve reserve_;
  std::vector<ExpectedGangs> expected_;
  Time next_reservation_at_ = 0;
};

}  // namespace dockdyke::core
