// A model of the version in production (before gangs and lowered limits), for scenarios in which both serve.
//
// It is today's controller behind a filter that takes from it what the earlier one does not have: gangs are
// malformed to it wherever they appear, their records are not listed, a report with a gang's words is
// answered 400, the path that tells of lowered limits 404, and a transaction that the store calls too large
// is repeated as it is. What else differs between the two versions (the order of work, the choice of
// machines) is not modelled; the bench plays the upgrade with the real one.
#include "simulation.hpp"

namespace dockdyke::testing {

void Simulation::set_older(int number, bool older) {
  if (older) {
    options_.older.insert(number);
  } else {
    options_.older.erase(number);
  }
}

bool Simulation::is_older(const std::string& host) const {
  for (const auto& seat : seats_)
    if (seat.older && Simulation::host(static_cast<int>(&seat - seats_.data())) == host) return true;
  return false;
}

std::string Simulation::foreign_to_older(std::string body) {
  // MessagePack writes a short text as its length and its bytes; another one of the same length fits in.
  static const std::string kGang = "\xa5group";
  static const std::string kUnknown = "\xa5gr-up";
  for (auto at = body.find(kGang); at != std::string::npos; at = body.find(kGang, at))
    body.replace(at, kGang.size(), kUnknown);
  return body;
}

net::HttpMessage Simulation::older_store_call(const std::string& method, const std::string& target,
                                              const std::string& body) {
  constexpr int kRejected = 400;
  constexpr int kOverRate = 429;
  if (target.starts_with("/store?starts=" + core::key::kGangPrefix))
    return reply(200, {{"pairs", Json::array()}, {"more", false}, {"ledger", store.revision}});
  net::HttpMessage answer = store.handle(method, target, body);
  // The earlier version tries the same again and again; it has no smaller form to fall back on.
  if (target == "/txn" && answer.status == kRejected) answer.status = kOverRate;
  answer.body = foreign_to_older(std::move(answer.body));
  return answer;
}

std::optional<int> Simulation::older_refusal(const std::string& target, const std::string& body) {
  if (target == peer::kWriteLimitPath) return 404;
  if (target != wire::path::kHeartbeat) return std::nullopt;
  for (const char* word : {"waiting", "mates_gone", "alone"})
    if (body.find(word) != std::string::npos) return 400;
  return std::nullopt;
}

}  // namespace dockdyke::testing
