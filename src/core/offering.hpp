// What the cloud offers and what it was asked for.
#pragma once

#include <string>

#include "core/time.hpp"
#include "wire/messages.hpp"

namespace dockdyke::core {

// Machines of one type in one zone, spot or on-demand.
struct InstanceOffering {
  std::string type;
  std::string zone;
  bool spot = false;
  auto operator<=>(const InstanceOffering&) const = default;
};

inline InstanceOffering offering_of(const wire::ScaleOutRequest& request) {
  return {request.type, request.zone, request.spot};
}

// An offering that was refused for lack of capacity is not asked for again before `until`.
struct OfferingBackoff {
  Time until = 0;
  double delay_s = 0;
};

// A request that the cloud has not answered yet.
struct PendingScaleOut {
  wire::ScaleOutRequest request;
  Time since = 0;
};

}  // namespace dockdyke::core
