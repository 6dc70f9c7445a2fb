#include "core/config.hpp"

#include <algorithm>

namespace dockdyke::core {

const Team* ClusterConfig::find_team(const std::string& name) const {
  const auto found =
      std::find_if(teams.begin(), teams.end(), [&](const Team& team) { return team.name == name; });
  return found == teams.end() ? nullptr : &*found;
}

}  // namespace dockdyke::core
