// Instance offerings of the cloud and the state of scale-out requests for them.
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

// Exponential backoff of an offering for which the cloud lacked capacity.
struct OfferingBackoff {
  Time until = 0;  // the offering is not requested before
  double delay_s = 0;
};

// A scale-out request to which the cloud has not responded yet.
struct PendingScaleOut {
  wire::ScaleOutRequest request;
  Time requested_at = 0;
};

}  // namespace dockdyke::core
