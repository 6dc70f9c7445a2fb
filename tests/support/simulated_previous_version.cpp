// Model of the previous version, which has neither gangs nor lower limits, for upgrade scenarios.
//
// Filters the messages of a current controller: gangs are treated as malformed and their records not listed,
// heartbeats with states of gang tasks get 400, the path for lower limits gets 404, and transactions that the
// state service rejects as too large are retried unchanged. Other differences between the versions, such as
// the queue order and the choice of machines, are not modelled.
#include "simulation.hpp"

namespace dockdyke::testing {

void Simulation::set_previous_version(int number, bool previous_version) {
  if (previous_version) {
    options_.previous_version_controllers.insert(number);
  } else {
    options_.previous_version_controllers.erase(number);
  }
}

bool Simulation::runs_previous_version(const std::string& host) const {
  for (const auto& slot : controller_slots_)
    if (slot.previous_version && Simulation::host(static_cast<int>(&slot - controller_slots_.data())) == host)
      return true;
  return false;
}

std::string Simulation::hide_gang_kind(std::string body) {
  // MessagePack encodes a short string as its length and bytes, so the replacement has the same length.
  static const std::string kGang = "\xa5group";
  static const std::string kUnknown = "\xa5gr-up";
  for (auto at = body.find(kGang); at != std::string::npos; at = body.find(kGang, at))
    body.replace(at, kGang.size(), kUnknown);
  return body;
}

net::HttpMessage Simulation::call_state_service_as_previous_version(const std::string& method,
                                                                    const std::string& target,
                                                                    const std::string& body) {
  constexpr int kTooLarge = 400;
  constexpr int kTooManyRequests = 429;
  if (target.starts_with("/store?starts=" + core::key::kGangPrefix))
    return msgpack_response(200,
                            {{"pairs", Json::array()}, {"more", false}, {"ledger", state_service.revision}});
  net::HttpMessage response = state_service.handle(method, target, body);
  // The previous version cannot split a transaction; it retries the same one, as after 429.
  if (target == "/txn" && response.status == kTooLarge) response.status = kTooManyRequests;
  response.body = hide_gang_kind(std::move(response.body));
  return response;
}

std::optional<int> Simulation::previous_version_rejection(const std::string& target,
                                                          const std::string& body) {
  if (target == peer::kWriteLimitPath) return 404;
  if (target != wire::path::kHeartbeat) return std::nullopt;
  for (const char* gang_value : {"waiting", "mates_gone", "alone"})
    if (body.find(gang_value) != std::string::npos) return 400;
  return std::nullopt;
}

}  // namespace dockdyke::testing
