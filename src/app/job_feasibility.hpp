// Checks whether a submitted job can ever run; the user gets status 422 otherwise.
#pragma once

#include <cstddef>

#include "app/machine_type_catalog.hpp"
#include "core/config.hpp"
#include "wire/messages.hpp"

namespace dockdyke::app {

// Checks jobs against team quotas and the catalog of machine types. Ignores how much capacity is free now.
class JobFeasibility {
 public:
  JobFeasibility(const core::ClusterConfig& config, const MachineTypeCatalog& catalog);

  // Returns whether the catalog has been loaded; `can_ever_run` requires it.
  bool machine_types_known() const { return catalog_.known(); }
  // Returns whether the team exists, its quota suffices and the tasks fit on an offered machine type in
  // enough allowed zones.
  bool can_ever_run(const wire::JobSpec& spec) const;
  // Removes allowed machine types that the cloud does not offer, to make the stored record smaller.
  void remove_unoffered_types(wire::JobSpec& spec) const;

 private:
  // Returns false also if the team is unknown.
  bool quota_suffices(const wire::JobSpec& spec) const;
  // Returns the number of allowed zones that offer a machine type on which the tasks fit.
  std::size_t count_feasible_zones(const wire::JobSpec& spec) const;

  const core::ClusterConfig& config_;
  const MachineTypeCatalog& catalog_;
};

}  // namespace dockdyke::app
