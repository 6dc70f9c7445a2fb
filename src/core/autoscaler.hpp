// Scales the fleet out and in, within the operators' bounds on its size.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/capacity_planner.hpp"
#include "core/cluster_state.hpp"
#include "core/scale_in_requests.hpp"
#include "core/scale_out_requests.hpp"
#include "core/scheduling_constraints.hpp"
#include "core/time.hpp"
#include "core/views.hpp"

namespace dockdyke::core {

// Runs every `kAutoscalerIntervalSeconds`: requests machines for waiting tasks, spot replacements and the
// operators' minimum, and deletes idle machines. Machines for waiting tasks are also requested between those
// runs.
class Autoscaler {
 public:
  Autoscaler(ClusterState& state, const SchedulingConstraints& constraints, CapacityPlanner& planner,
             ScaleOutRequests& scale_out, ScaleInRequests& scale_in);

  // Returns whether `kAutoscalerIntervalSeconds` has passed since the last call of `run`.
  bool run_due(Time now) const;
  void run(Time now);
  // Requests machines for waiting tasks. Called between runs, so that after a refused or partially filled
  // request the next offering is tried without waiting for a whole interval.
  void scale_out_for_waiting_tasks(Time now);
  const FleetSummary& summary() const { return summary_; }

 private:
  // Returns the number of machines that exist or are requested, without those that are being deleted.
  std::size_t fleet_size() const;
  // Returns how many machines may be requested without exceeding the operators' maximum.
  std::size_t allowed_additional_machines() const;
  // Requests the machines that the capacity planner asks for, at most `max_machines`, and returns their
  // number.
  std::size_t request_planned_machines(std::size_t max_machines, Time now);
  // Requests cheaper spot machines to replace on-demand machines whose tasks may all run on spot machines.
  void request_spot_replacements(std::size_t max_machines, Time now);
  void update_replaceable_machines();
  // Returns, by type, the number of spot machines that are idle, booting or requested.
  std::map<std::string, double> available_spot_machines(Time now) const;
  // Returns a spot offering of the type that is not in backoff, or std::nullopt if there is none.
  std::optional<InstanceOffering> first_available_spot_offering(const wire::MachineType& type,
                                                                Time now) const;
  // Counts the machines into `summary_` and returns the idle ones that accept work.
  std::vector<const Machine*> update_summary(Time now);
  // Returns the allocated fraction of the machine's CPUs or memory, whichever is larger.
  double utilization_of(const Machine& machine) const;
  // Requests machines to keep the operators' minimum and number of free machines, unless `requested` machines
  // have already been requested in this run.
  void request_minimum_machines(std::size_t requested, Time now);
  // Returns the cheapest spot offering that is not in backoff, or std::nullopt if there is none.
  std::optional<InstanceOffering> cheapest_available_spot_offering(Time now) const;
  // Deletes machines that have been idle for a fraction of their boot time: keeping them longer would cost
  // more than booting new ones.
  void scale_in_idle_machines(std::vector<const Machine*> idle, Time now);

  ClusterState& state_;
  const SchedulingConstraints& constraints_;
  CapacityPlanner& planner_;
  ScaleOutRequests& scale_out_;
  ScaleInRequests& scale_in_;
  Time last_run_at_ = 0;
  FleetSummary summary_;
  // By type: moving average of the number of on-demand machines that spot machines could replace.
  std::map<std::string, double> replaceable_machines_;
};

}  // namespace dockdyke::core
