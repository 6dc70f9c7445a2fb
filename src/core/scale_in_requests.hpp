// Requests to return machines.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/cluster_state.hpp"
#include "core/effects.hpp"
#include "core/time.hpp"

namespace dockdyke::core {

class ScaleInRequests {
 public:
  ScaleInRequests(ClusterState& state, EffectQueue& effects);

  // Returns the machines, in as many requests as one deletion and one stored value take.
  void request(const std::vector<MachineId>& machines);
  // Recorded by an earlier leader under `key` and perhaps never carried out.
  void adopt(const std::string& key, const std::vector<MachineId>& machines, Time now);

 private:
  ClusterState& state_;
  EffectQueue& effects_;
  std::uint64_t next_number_ = 1;
};

}  // namespace dockdyke::core
