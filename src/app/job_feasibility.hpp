// Whether a submitted job can ever run (PROTOCOL, "POST /work", status 422).
#pragma once

#include <cstddef>

#include "app/machine_type_catalog.hpp"
#include "core/config.hpp"
#include "wire/messages.hpp"

namespace dockdyke::app {

// Decides by teams, quotas and the catalog alone; whether there is capacity now does not matter.
class JobFeasibility {
 public:
  JobFeasibility(const core::ClusterConfig& config, const MachineTypeCatalog& catalog);

  // False until the machine types are known: nothing can be decided yet.
  bool decidable() const { return catalog_.known(); }
  // The team is known, its quota suffices and the tasks fit an offered machine type in an allowed zone.
  bool can_ever_run(const wire::JobSpec& spec) const;
  // Removes allowed types that the cloud does not offer: they need no space in the record.
  void drop_unknown_types(wire::JobSpec& spec) const;

 private:
  bool quota_suffices(const wire::JobSpec& spec) const;
  std::size_t count_possible_zones(const wire::JobSpec& spec) const;

  const core::ClusterConfig& config_;
  const MachineTypeCatalog& catalog_;
};

}  // namespace dockdyke::app
