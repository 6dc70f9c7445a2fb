// Requests to delete machines.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/cluster_state.hpp"
#include "core/effects.hpp"
#include "core/time.hpp"

namespace dockdyke::core {

// Creates scale-in requests and repeats those of a previous leader.
class ScaleInRequests {
 public:
  ScaleInRequests(ClusterState& state, EffectQueue& effects);

  // Requests the deletion of the machines, split into several requests where one would exceed the maximum
  // number of machines per deletion or the maximum size of a stored value.
  void request(const std::vector<MachineId>& machines);
  // Repeats a request that a previous leader stored under `key` and may not have carried out.
  void adopt(const std::string& key, const std::vector<MachineId>& machines, Time now);

 private:
  ClusterState& state_;
  EffectQueue& effects_;
  std::uint64_t next_number_ = 1;
};

}  // namespace dockdyke::core
