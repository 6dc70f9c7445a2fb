// An in-memory network with a state service and a cloud on it, by their protocols.
#pragma once

#include <algorithm>
#include <charconv>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "net/http_client.hpp"
#include "net/loop.hpp"
#include "wire/messages.hpp"

namespace dockdyke::testing {

using wire::Json;

inline net::HttpMessage reply(int status, const Json& body) {
  net::HttpMessage out;
  out.status = status;
  out.body = wire::encode(body);
  return out;
}

inline std::string query(const std::string& target, const std::string& name) {
  auto at = target.find(name + "=");
  if (at == std::string::npos) return {};
  at += name.size() + 1;
  return target.substr(at, target.find('&', at) - at);
}

// What the service takes; requests beyond the rate get 429, anything larger 400.
struct FakeStateLimits {
  std::size_t max_value_bytes = 4096;
  std::size_t max_transaction_changes = 8;
  double writes_per_second = 500;
};

class FakeState {
 public:
  FakeStateLimits limits;
  std::size_t too_large = 0;  // requests answered 400 for their size
  std::size_t over_rate = 0;  // and 429

  struct Entry {
    Json value;
    std::uint64_t version;
    std::uint64_t lease = 0;
  };
  std::map<std::string, Entry> keys;
  std::uint64_t revision = 10;

  // Ends a lease as if it had not been renewed in time.
  void end_lease_of(const std::string& key) {
    ++revision;
    leases_.erase(keys.at(key).lease);
    keys.erase(key);
    log_.push_back({{"remove", key}, {"stamp", revision}});
  }

  // The time goes on, and leases that were not renewed end. Without it they live for ever.
  void pass(net::TimePoint now) {
    now_ = now;
    std::vector<std::uint64_t> ended;
    for (const auto& [id, lease] : leases_)
      if (lease.until < now) ended.push_back(id);
    for (const auto id : ended) end_lease(id);
    rated_ = true;
  }
  // After an outage every lease has its full time again.
  void outage_over() {
    for (auto& [id, lease] : leases_) lease.until = now_ + lease.life;
  }

  net::HttpMessage handle(const std::string& method, const std::string& target, const std::string& body) {
    const auto decoded = body.empty() ? std::optional<Json>(Json::object()) : wire::decode(body);
    if (!decoded) return reply(400, Json::object());
    if (target == "/txn") return transact(*decoded);
    if (target == "/holds") {
      const std::chrono::milliseconds life(decoded->value("life_ms", 3500));
      leases_[++next_lease_] = {life, now_ + life};
      return reply(200, {{"tenure", next_lease_}});
    }
    if (target.starts_with("/holds/")) {
      const auto id = std::stoull(target.substr(7));
      if (method == "DELETE") {
        end_lease(id);
        return reply(200, Json::object());
      }
      auto lease = leases_.find(id);
      if (lease == leases_.end()) return reply(404, Json::object());
      lease->second.until = now_ + lease->second.life;
      return reply(200, Json::object());
    }
    if (target.starts_with("/watch")) return watch(target);
    if (target.starts_with("/store?")) return page(query(target, "starts"));
    if (method == "GET" && target.starts_with("/store/")) {
      auto found = keys.find(target.substr(7));
      if (found == keys.end()) return reply(404, {{"ledger", revision}});
      return reply(200,
                   {{"k", found->first}, {"value", found->second.value}, {"stamp", found->second.version}});
    }
    return reply(400, Json::object());
  }

 private:
  struct Lease {
    net::Duration life;
    net::TimePoint until;
  };

  void end_lease(std::uint64_t id) {
    for (bool found = true; found;) {
      auto attached =
          std::find_if(keys.begin(), keys.end(), [&](const auto& each) { return each.second.lease == id; });
      found = attached != keys.end();
      if (found) end_lease_of(std::string(attached->first));
    }
    leases_.erase(id);
  }

  // Without a clock (see `pass`) there is no rate.
  bool within_rate(std::size_t writes) {
    if (!rated_) return true;
    const double passed_s = std::chrono::duration<double>(now_ - filled_at_).count();
    budget_ = std::min(limits.writes_per_second, budget_ + passed_s * limits.writes_per_second);
    filled_at_ = now_;
    if (budget_ < static_cast<double>(writes)) return false;
    budget_ -= static_cast<double>(writes);
    return true;
  }

  bool takes(const Json& txn) const {
    constexpr std::size_t kPreconditionsPerChange = 4;
    if (txn["apply"].size() > limits.max_transaction_changes ||
        txn["guards"].size() > kPreconditionsPerChange * limits.max_transaction_changes)
      return false;
    return std::all_of(txn["apply"].begin(), txn["apply"].end(), [&](const Json& change) {
      return !change.contains("value") || change["value"].dump().size() <= limits.max_value_bytes;
    });
  }

  net::HttpMessage transact(const Json& txn) {
    if (!takes(txn)) {
      ++too_large;
      return reply(400, {{"error", "too large"}});
    }
    if (!within_rate(txn["apply"].size())) {
      ++over_rate;
      return reply(429, Json::object());
    }
    for (const auto& change : txn["apply"])
      if (change.contains("tenure") && !leases_.contains(change["tenure"].get<std::uint64_t>()))
        return reply(400, {{"error", "no such lease"}});
    Json failed = Json::array();
    for (const auto& precondition : txn["guards"]) {
      auto found = keys.find(precondition["k"]);
      const std::uint64_t version = found == keys.end() ? 0 : found->second.version;
      if (version != precondition["stamp"].get<std::uint64_t>()) failed.push_back(precondition["k"]);
    }
    if (!failed.empty()) return reply(409, {{"failed", failed}, {"ledger", revision}});
    ++revision;
    for (const auto& change : txn["apply"]) {
      if (change.contains("write")) {
        const std::uint64_t lease = change.value("tenure", std::uint64_t{0});
        keys[change["write"]] = {change["value"], revision, lease};
        log_.push_back({{"write", change["write"]}, {"value", change["value"]}, {"stamp", revision}});
      } else if (keys.erase(change["remove"]) > 0) {
        log_.push_back({{"remove", change["remove"]}, {"stamp", revision}});
      }
    }
    return reply(200, {{"ledger", revision}});
  }

  net::HttpMessage page(const std::string& prefix) {
    Json items = Json::array();
    for (const auto& [key, entry] : keys)
      if (key.starts_with(prefix))
        items.push_back({{"k", key}, {"value", entry.value}, {"stamp", entry.version}});
    return reply(200, {{"pairs", items}, {"more", false}, {"ledger", revision}});
  }

  net::HttpMessage watch(const std::string& target) {
    const auto prefix = query(target, "starts");
    const auto since = std::stoull(query(target, "since"));
    std::vector<Json> newest_first;
    for (auto event = log_.rbegin(); event != log_.rend(); ++event) {
      if ((*event)["stamp"].get<std::uint64_t>() <= since) break;
      const std::string key = event->contains("write") ? (*event)["write"] : (*event)["remove"];
      if (key.starts_with(prefix)) newest_first.push_back(*event);
    }
    Json events = Json::array();
    for (auto event = newest_first.rbegin(); event != newest_first.rend(); ++event)
      events.push_back(std::move(*event));
    return reply(200, {{"ledger", revision}, {"log", events}});
  }

  std::map<std::uint64_t, Lease> leases_;
  net::TimePoint now_;
  bool rated_ = false;
  double budget_ = 0;
  net::TimePoint filled_at_;
  std::uint64_t next_lease_ = 0;
  std::vector<Json> log_;
};

class FakeCloud {
 public:
  std::map<std::string, Json> answers;  // by charter
  std::size_t rented = 0;
  std::vector<std::string> deleted;
  bool types_known = true;

  net::HttpMessage handle(const std::string& target, const std::string& body) {
    if (target == "/flavors") {
      if (!types_known) return reply(503, {{"error", "trouble"}});
      return reply(200, wire::to_json(std::vector<wire::MachineType>{type}));
    }
    if (target.starts_with("/machines?")) return reply(200, {{"dykes", Json::array()}, {"more", false}});
    const auto request = wire::decode(body);
    if (target == "/machines/delete") {
      for (const auto& each : (*request)["dykes"]) deleted.push_back(each);
      return reply(200, Json::object());
    }
    auto& known = answers[(*request)["charter"]];
    if (known.is_null()) {
      Json names = Json::array();
      for (std::uint64_t i = 0; i < (*request)["count"].get<std::uint64_t>(); ++i)
        names.push_back("n-" + std::to_string(++rented));
      known = {{"dykes", names}};
    }
    return reply(200, known);
  }

  wire::MachineType type{"small", {8, 0, 16}, 30, 1, 1.0, 0.3, 40, {"a", "b"}};
};

// Carries calls to handlers by address. Faults are set per caller or per destination.
class FakeNetwork {
 public:
  using Handler =
      std::function<net::Task<net::HttpMessage>(std::string method, std::string target, std::string body)>;
  enum class LinkFault { none, refuse, lose_request, lose_answer };

  explicit FakeNetwork(net::Loop& loop) : loop(loop) {}

  net::Loop& loop;
  std::map<net::Address, Handler> handlers;
  // Asked for each call; decides its fate.
  std::function<LinkFault(const std::string& caller, const std::string& target)> inject_fault;
  // Sees every call as it is sent, also one that is lost.
  std::function<void(const std::string& target, const std::string& body)> tap;

  // Processes of this name that run now have ended: nothing they send arrives any more.
  void mute(const std::string& caller) { ended_.insert({caller, started_}); }
  // The next process's number; a later one with the same name is heard.
  std::size_t started() { return ++started_; }
  bool muted(const std::string& caller, std::size_t number) const {
    auto found = ended_.find(caller);
    return found != ended_.end() && number <= found->second;
  }

 private:
  std::map<std::string, std::size_t> ended_;
  std::size_t started_ = 0;
};

class FakeTransport : public net::Transport {
 public:
  FakeTransport(FakeNetwork& network, std::string caller)
      : network_(network), caller_(std::move(caller)), number_(network.started()) {}

  net::Task<net::CallResult> call(net::Address to, std::string method, std::string target, std::string body,
                                  net::Duration timeout) override {
    if (network_.muted(caller_, number_)) co_await network_.loop.sleep(std::chrono::hours(1));
    if (network_.tap) network_.tap(target, body);
    const auto fate =
        network_.inject_fault ? network_.inject_fault(caller_, target) : FakeNetwork::LinkFault::none;
    net::CallResult result;
    if (fate == FakeNetwork::LinkFault::refuse) {
      result.response = reply(503, Json::object());
      co_return result;
    }
    if (fate == FakeNetwork::LinkFault::lose_request) {
      co_await network_.loop.sleep(timeout);
      co_return result;
    }
    net::HttpMessage answer = co_await network_.handlers.at(to)(method, target, body);
    if (target.starts_with("/watch") && wire::decode(answer.body)->at("log").empty()) {
      // Far shorter than asked, so that the tests are quick; an early empty answer is allowed.
      co_await network_.loop.sleep(std::chrono::milliseconds(20));
      answer = co_await network_.handlers.at(to)(method, target, body);
    }
    if (fate == FakeNetwork::LinkFault::lose_answer) {
      co_await network_.loop.sleep(std::chrono::milliseconds(20));
      co_return result;
    }
    result.response = std::move(answer);
    co_return result;
  }

 private:
  FakeNetwork& network_;
  std::string caller_;
  std::size_t number_;
};

}  // namespace dockdyke::testing
