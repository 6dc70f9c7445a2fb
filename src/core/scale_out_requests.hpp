// Requests for more machines that the cloud has not answered, and offerings that it refused lately.
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

class ScaleOutRequests {
 public:
  using Pending = std::map<ScaleOutId, PendingScaleOut>;

  ScaleOutRequests(FencingToken token, EffectQueue& effects);

  // Asks for machines, at most `kMaxMachinesPerScaleOut`.
  void request(const InstanceOffering& offering, std::size_t count, Time now);
  // Recorded by an earlier leader and perhaps never answered: asked again under the same name, which rents
  // nothing twice (PROTOCOL, "POST /machines").
  void adopt(const wire::ScaleOutRequest& request, Time now);

  // The cloud granted some machines. Returns the request; nothing where it is unknown. An offering that was
  // filled only partly is empty for now.
  std::optional<PendingScaleOut> granted(const ScaleOutId& id, std::size_t machines, Time now);
  // The cloud refused the request for lack of capacity; the backoff doubles from one refusal to the next.
  void refused(const ScaleOutId& id, Time now);

  // The offering was refused lately and is not to be asked for.
  bool in_backoff(const InstanceOffering& offering, Time now) const;
  const Pending& pending() const { return pending_; }
  // Machines asked for in all pending requests.
  std::size_t pending_machines() const;

 private:
  FencingToken token_;
  EffectQueue& effects_;
  std::uint64_t next_number_ = 1;
  Pending pending_;
  std::map<InstanceOffering, OfferingBackoff> backoffs_;
};

}  // namespace dockdyke::core
