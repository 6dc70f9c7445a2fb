// Catalog of the machine types that the cloud offers.
#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "wire/messages.hpp"

namespace dockdyke::app {

// Empty until the types have been fetched from the cloud or, during a cloud outage, loaded from the state
// service.
class MachineTypeCatalog {
 public:
  const std::vector<wire::MachineType>& types() const { return types_; }
  bool known() const { return !types_.empty(); }
  bool offers(const std::string& name) const {
    return std::any_of(types_.begin(), types_.end(), [&](const auto& type) { return type.name == name; });
  }
  void replace(std::vector<wire::MachineType> types) { types_ = std::move(types); }

 private:
  std::vector<wire::MachineType> types_;
};

}  // namespace dockdyke::app
