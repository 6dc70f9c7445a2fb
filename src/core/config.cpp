#include "core/config.hpp"

#include <algorithm>

#include "constants.hpp"

namespace dockdyke::core {

std::size_t ClusterConfig::max_record_bytes() const {
  return max_value_bytes - std::min(max_value_bytes, constants::kSegmentMarginBytes);
}

const Team* ClusterConfig::find_team(const std::string& name) const {
  const auto found =
      std::find_if(teams.begin(), teams.end(), [&](const Team& team) { return team.name == name; });
  return found == teams.end() ? nullptr : &*found;
}

}  // namespace dockdyke::core
