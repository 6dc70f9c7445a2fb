// Keeps the catalog of machine types and their prices up to date (PROTOCOL, "GET /flavors").
#pragma once

#include <vector>

#include "app/leadership_state.hpp"
#include "app/machine_type_catalog.hpp"
#include "cloud/cloud_client.hpp"
#include "net/loop.hpp"
#include "net/task.hpp"
#include "store/state_client.hpp"

namespace dockdyke::app {

// Runs on every controller. The leader also stores the types, once.
class MachineTypeRefresher {
 public:
  MachineTypeRefresher(net::Loop& loop, cloud::CloudClient& cloud, store::StateClient& state,
                       const LeadershipState& leadership, MachineTypeCatalog& catalog);

  // Reads the types again and again; never returns.
  net::Task<void> run();

 private:
  // Replaces the catalog and tells the leader's term, if there is one.
  void adopt(std::vector<wire::MachineType> types);
  // Stores the catalog so that a controller that restarts while the cloud is out can still decide on
  // submissions.
  net::Task<void> store_types();
  // Adopts what an earlier leader stored.
  net::Task<void> load_stored_types();

  net::Loop& loop_;
  cloud::CloudClient& cloud_;
  store::StateClient& state_;
  const LeadershipState& leadership_;
  MachineTypeCatalog& catalog_;
  bool stored_ = false;  // by this process, or too large to be stored
};

}  // namespace dockdyke::app
