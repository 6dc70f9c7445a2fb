// Autoscaling: how many machines there are, between the operators' bounds.
//
// Every `kAutoscalerIntervalSeconds` overwhelmed, underwhelmed and free machines are counted and the fleet is
// changed, as the CCV report describes ("Auto Scaler"). Capacity for waiting tasks is requested between those
// runs as well.
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

class Autoscaler {
 public:
  Autoscaler(ClusterState& state, const SchedulingConstraints& constraints, CapacityPlanner& planner,
             ScaleOutRequests& scale_out, ScaleInRequests& scale_in);

  // Whether the next full run is due; otherwise only `scale_out_for_waiting` is.
  bool run_due(Time now) const;
  void run(Time now);
  // Requests machines for tasks that have waited long enough. Not only in full runs: every offering that is
  // refused or filled only partly would cost a whole interval before the next is tried (31 s for the first
  // fleet of a day, simulated).
  void scale_out_for_waiting(Time now);
  const FleetSummary& summary() const { return summary_; }

 private:
  // Machines that are there or requested.
  std::size_t fleet_size() const;
  // How many more machines the operators' bound allows.
  std::size_t headroom() const;
  std::size_t request_needed(std::size_t max_machines, Time now);
  // Requests spot machines in place of on-demand ones that have work which may run on either.
  void replace_on_demand(std::size_t max_machines, Time now);
  void update_on_demand_load();
  // By type: spot machines that are free or coming.
  std::map<std::string, double> free_spot_machines(Time now) const;
  std::optional<InstanceOffering> spot_offering(const wire::MachineType& type, Time now) const;
  // Counts the fleet into `summary_`; returns the empty machines that accept work.
  std::vector<const Machine*> count_fleet(Time now);
  double load_of(const Machine& machine) const;
  // Keeps the operators' minimum and the buffer of free machines.
  void fill_buffer(std::size_t requested, Time now);
  std::optional<InstanceOffering> cheapest_spot_offering(Time now) const;
  // Returns machines that have been empty for about as long as keeping them costs what booting another would.
  void return_idle(std::vector<const Machine*> idle, Time now);

  ClusterState& state_;
  const SchedulingConstraints& constraints_;
  CapacityPlanner& planner_;
  ScaleOutRequests& scale_out_;
  ScaleInRequests& scale_in_;
  Time last_run_at_ = 0;
  FleetSummary summary_;
  std::map<std::string, double> on_demand_load_;  // lasting, in machines, by type
};

}  // namespace dockdyke::core
