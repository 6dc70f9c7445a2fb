// Refreshes the catalog of machine types and their prices.
#pragma once

#include <vector>

#include "app/leadership_state.hpp"
#include "app/machine_type_catalog.hpp"
#include "cloud/cloud_client.hpp"
#include "net/loop.hpp"
#include "net/task.hpp"
#include "store/state_client.hpp"

namespace dockdyke::app {

// Runs on every controller. The leader also persists the types once.
class MachineTypeRefresher {
 public:
  MachineTypeRefresher(net::Loop& loop, cloud::CloudClient& cloud, store::StateClient& state,
                       const LeadershipState& leadership, MachineTypeCatalog& catalog);

  // Fetches the types periodically; never returns.
  net::Task<void> run();

 private:
  // Replaces the catalog's types and, on the leader, pushes them to the term.
  void update_catalog(std::vector<wire::MachineType> types);
  // Persists the catalog, so that a controller restarted during a cloud outage can still validate
  // submissions.
  net::Task<void> store_types();
  // Loads the types that a leader has persisted.
  net::Task<void> load_stored_types();

  net::Loop& loop_;
  cloud::CloudClient& cloud_;
  store::StateClient& state_;
  const LeadershipState& leadership_;
  MachineTypeCatalog& catalog_;
  bool stored_ = false;  // persisted by this process, or too large to be persisted
};

}  // namespace dockdyke::app
