#include "core/scale_out_requests.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "constants.hpp"

namespace dockdyke::core {

ScaleOutRequests::ScaleOutRequests(FencingToken token, EffectQueue& effects)
    : token_(token), effects_(effects) {}

void ScaleOutRequests::request(const InstanceOffering& offering, std::size_t count, Time now) {
  wire::ScaleOutRequest request;
  // A fencing token belongs to a single leadership term, so the id is never reused.
  request.id = ScaleOutId("r-" + std::to_string(token_.value) + "-" + std::to_string(next_number_++));
  request.type = offering.type;
  request.zone = offering.zone;
  request.spot = offering.spot;
  request.count = std::min<std::uint64_t>(count, constants::kMaxMachinesPerScaleOut);
  pending_[request.id] = {request, now};
  effects_.push(RequestScaleOut{request, false});
}

void ScaleOutRequests::adopt(const wire::ScaleOutRequest& request, Time now) {
  pending_.try_emplace(request.id, PendingScaleOut{request, now});
  effects_.push(RequestScaleOut{request, true});
}

std::optional<PendingScaleOut> ScaleOutRequests::on_granted(const ScaleOutId& id, std::size_t machines,
                                                            Time now) {
  auto found = pending_.find(id);
  if (found == pending_.end()) return std::nullopt;
  PendingScaleOut pending = std::move(found->second);
  pending_.erase(found);
  const InstanceOffering offering = offering_of(pending.request);
  if (machines < pending.request.count) {
    backoffs_[offering] = {now + constants::kInitialOfferingBackoffSeconds,
                           constants::kInitialOfferingBackoffSeconds};
  } else {
    backoffs_.erase(offering);
  }
  return pending;
}

void ScaleOutRequests::on_refused(const ScaleOutId& id, Time now) {
  auto found = pending_.find(id);
  if (found == pending_.end()) return;
  OfferingBackoff& backoff = backoffs_[offering_of(found->second.request)];
  backoff.delay_s = backoff.delay_s == 0
                        ? constants::kInitialOfferingBackoffSeconds
                        : std::min(constants::kMaxOfferingBackoffSeconds, 2 * backoff.delay_s);
  backoff.until = now + backoff.delay_s;
  pending_.erase(found);
}

bool ScaleOutRequests::in_backoff(const InstanceOffering& offering, Time now) const {
  const auto backoff = backoffs_.find(offering);
  return backoff != backoffs_.end() && now < backoff->second.until;
}

std::size_t ScaleOutRequests::pending_machines() const {
  std::size_t machines = 0;
  for (const auto& [id, pending] : pending_) machines += pending.request.count;
  return machines;
}

}  // namespace dockdyke::core
