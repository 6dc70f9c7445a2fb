// Requests for additional machines.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "core/effects.hpp"
#include "core/offering.hpp"
#include "core/time.hpp"
#include "wire/messages.hpp"

namespace dockdyke::core {

// Tracks scale-out requests until the cloud responds, and the backoff of offerings without capacity.
class ScaleOutRequests {
 public:
  using Pending = std::map<ScaleOutId, PendingScaleOut>;

  ScaleOutRequests(FencingToken token, EffectQueue& effects);

  // Requests `count` machines, at most `kMaxMachinesPerScaleOut`.
  void request(const InstanceOffering& offering, std::size_t count, Time now);
  // Repeats a request that a previous leader stored and to which the cloud may not have responded. The cloud
  // executes a request id only once.
  void adopt(const wire::ScaleOutRequest& request, Time now);

  // Ends a request for which the cloud created `machines` machines, and returns it, or std::nullopt if it is
  // unknown. Fewer machines than requested put the offering into backoff.
  std::optional<PendingScaleOut> on_granted(const ScaleOutId& id, std::size_t machines, Time now);
  // Ends a request that the cloud refused for lack of capacity. Each consecutive refusal doubles the backoff
  // of the offering, up to a maximum.
  void on_refused(const ScaleOutId& id, Time now);

  // Returns whether the offering must not be requested yet, because the cloud lacked capacity for it.
  bool in_backoff(const InstanceOffering& offering, Time now) const;
  const Pending& pending() const { return pending_; }
  // Returns the number of machines in all pending requests.
  std::size_t pending_machines() const;

 private:
  FencingToken token_;
  EffectQueue& effects_;
  std::uint64_t next_number_ = 1;
  Pending pending_;
  std::map<InstanceOffering, OfferingBackoff> backoffs_;
};

}  // namespace dockdyke::core
