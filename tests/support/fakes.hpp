// Fakes of the state service, the cloud and the network, for tests in one process.
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

// Returns a response with this body, encoded as on the wire.
inline net::HttpMessage msgpack_response(int status, const Json& body) {
  net::HttpMessage out;
  out.status = status;
  out.body = wire::encode(body);
  return out;
}

// Returns the value of a query parameter of the target, or an empty string.
inline std::string query_parameter(const std::string& target, const std::string& name) {
  auto at = target.find(name + "=");
  if (at == std::string::npos) return {};
  at += name.size() + 1;
  return target.substr(at, target.find('&', at) - at);
}

// Limits of the fake state service. Writes beyond the rate get 429, larger requests 400.
struct FakeStateServiceLimits {
  std::size_t max_value_bytes = 4096;
  std::size_t max_transaction_changes = 8;
  double writes_per_second = 500;
};

// Implements the protocol of the state service: records, leases, transactions and watches.
class FakeStateService {
 public:
  FakeStateServiceLimits limits;
  std::size_t size_rejections = 0;  // transactions rejected with 400 for their size
  std::size_t rate_rejections = 0;  // transactions rejected with 429

  struct Entry {
    Json value;
    std::uint64_t version;
    std::uint64_t lease = 0;
  };
  std::map<std::string, Entry> keys;
  std::uint64_t revision = 10;

  // Removes the key and its lease, as if the lease had expired.
  void expire_lease_of(const std::string& key) {
    ++revision;
    leases_.erase(keys.at(key).lease);
    keys.erase(key);
    change_log_.push_back({{"remove", key}, {"stamp", revision}});
  }

  // Sets the time and expires leases that were not renewed. Leases and the write rate are unlimited until the
  // first call.
  void advance_to(net::TimePoint now) {
    now_ = now;
    std::vector<std::uint64_t> expired;
    for (const auto& [id, lease] : leases_)
      if (lease.expires_at < now) expired.push_back(id);
    for (const auto id : expired) remove_lease(id);
    rate_limited_ = true;
  }
  // Extends every lease by its full time to live, as the service does after an outage.
  void renew_all_leases() {
    for (auto& [id, lease] : leases_) lease.expires_at = now_ + lease.ttl;
  }

  net::HttpMessage handle(const std::string& method, const std::string& target, const std::string& body) {
    const auto decoded = body.empty() ? std::optional<Json>(Json::object()) : wire::decode(body);
    if (!decoded) return msgpack_response(400, Json::object());
    if (target == "/txn") return transact(*decoded);
    if (target == "/holds") {
      const std::chrono::milliseconds ttl(decoded->value("life_ms", 3500));
      leases_[++next_lease_] = {ttl, now_ + ttl};
      return msgpack_response(200, {{"tenure", next_lease_}});
    }
    if (target.starts_with("/holds/")) {
      const auto id = std::stoull(target.substr(7));
      if (method == "DELETE") {
        remove_lease(id);
        return msgpack_response(200, Json::object());
      }
      auto lease = leases_.find(id);
      if (lease == leases_.end()) return msgpack_response(404, Json::object());
      lease->second.expires_at = now_ + lease->second.ttl;
      return msgpack_response(200, Json::object());
    }
    if (target.starts_with("/watch")) return watch(target);
    if (target.starts_with("/store?")) return list_keys(query_parameter(target, "starts"));
    if (method == "GET" && target.starts_with("/store/")) {
      auto found = keys.find(target.substr(7));
      if (found == keys.end()) return msgpack_response(404, {{"ledger", revision}});
      return msgpack_response(
          200, {{"k", found->first}, {"value", found->second.value}, {"stamp", found->second.version}});
    }
    return msgpack_response(400, Json::object());
  }

 private:
  struct Lease {
    net::Duration ttl;
    net::TimePoint expires_at;
  };

  // Removes the lease with all keys attached to it.
  void remove_lease(std::uint64_t id) {
    for (bool found = true; found;) {
      auto key =
          std::find_if(keys.begin(), keys.end(), [&](const auto& each) { return each.second.lease == id; });
      found = key != keys.end();
      if (found) expire_lease_of(std::string(key->first));
    }
    leases_.erase(id);
  }

  // Returns whether the write rate admits these writes, and counts them. Unlimited until `advance_to` is
  // called.
  bool consume_write_budget(std::size_t writes) {
    if (!rate_limited_) return true;
    const double elapsed_s = std::chrono::duration<double>(now_ - refilled_at_).count();
    write_budget_ = std::min(limits.writes_per_second, write_budget_ + elapsed_s * limits.writes_per_second);
    refilled_at_ = now_;
    if (write_budget_ < static_cast<double>(writes)) return false;
    write_budget_ -= static_cast<double>(writes);
    return true;
  }

  bool within_size_limits(const Json& txn) const {
    constexpr std::size_t kPreconditionsPerChange = 4;
    if (txn["apply"].size() > limits.max_transaction_changes ||
        txn["guards"].size() > kPreconditionsPerChange * limits.max_transaction_changes)
      return false;
    return std::all_of(txn["apply"].begin(), txn["apply"].end(), [&](const Json& change) {
      return !change.contains("value") || change["value"].dump().size() <= limits.max_value_bytes;
    });
  }

  net::HttpMessage transact(const Json& txn) {
    if (!within_size_limits(txn)) {
      ++size_rejections;
      return msgpack_response(400, {{"error", "too large"}});
    }
    if (!consume_write_budget(txn["apply"].size())) {
      ++rate_rejections;
      return msgpack_response(429, Json::object());
    }
    for (const auto& change : txn["apply"])
      if (change.contains("tenure") && !leases_.contains(change["tenure"].get<std::uint64_t>()))
        return msgpack_response(400, {{"error", "no such lease"}});
    Json failed = Json::array();
    for (const auto& precondition : txn["guards"]) {
      auto found = keys.find(precondition["k"]);
      const std::uint64_t version = found == keys.end() ? 0 : found->second.version;
      if (version != precondition["stamp"].get<std::uint64_t>()) failed.push_back(precondition["k"]);
    }
    if (!failed.empty()) return msgpack_response(409, {{"failed", failed}, {"ledger", revision}});
    ++revision;
    for (const auto& change : txn["apply"]) {
      if (change.contains("write")) {
        const std::uint64_t lease = change.value("tenure", std::uint64_t{0});
        keys[change["write"]] = {change["value"], revision, lease};
        change_log_.push_back({{"write", change["write"]}, {"value", change["value"]}, {"stamp", revision}});
      } else if (keys.erase(change["remove"]) > 0) {
        change_log_.push_back({{"remove", change["remove"]}, {"stamp", revision}});
      }
    }
    return msgpack_response(200, {{"ledger", revision}});
  }

  net::HttpMessage list_keys(const std::string& prefix) {
    Json items = Json::array();
    for (const auto& [key, entry] : keys)
      if (key.starts_with(prefix))
        items.push_back({{"k", key}, {"value", entry.value}, {"stamp", entry.version}});
    return msgpack_response(200, {{"pairs", items}, {"more", false}, {"ledger", revision}});
  }

  net::HttpMessage watch(const std::string& target) {
    const auto prefix = query_parameter(target, "starts");
    const auto since = std::stoull(query_parameter(target, "since"));
    std::vector<Json> newest_first;
    for (auto event = change_log_.rbegin(); event != change_log_.rend(); ++event) {
      if ((*event)["stamp"].get<std::uint64_t>() <= since) break;
      const std::string key = event->contains("write") ? (*event)["write"] : (*event)["remove"];
      if (key.starts_with(prefix)) newest_first.push_back(*event);
    }
    Json events = Json::array();
    for (auto event = newest_first.rbegin(); event != newest_first.rend(); ++event)
      events.push_back(std::move(*event));
    return msgpack_response(200, {{"ledger", revision}, {"log", events}});
  }

  std::map<std::uint64_t, Lease> leases_;
  net::TimePoint now_;
  bool rate_limited_ = false;
  double write_budget_ = 0;
  net::TimePoint refilled_at_;
  std::uint64_t next_lease_ = 0;
  std::vector<Json> change_log_;
};

// Implements the protocol of the cloud, without a list of machines.
class FakeCloud {
 public:
  std::map<std::string, Json> scale_out_responses;  // by idempotency key of the request
  std::size_t created_machine_count = 0;
  std::vector<std::string> deleted_machines;
  bool machine_types_available = true;

  net::HttpMessage handle(const std::string& target, const std::string& body) {
    if (target == "/flavors") {
      if (!machine_types_available) return msgpack_response(503, {{"error", "trouble"}});
      return msgpack_response(200, wire::to_json(std::vector<wire::MachineType>{machine_type}));
    }
    if (target.starts_with("/machines?"))
      return msgpack_response(200, {{"dykes", Json::array()}, {"more", false}});
    const auto request = wire::decode(body);
    if (target == "/machines/delete") {
      for (const auto& each : (*request)["dykes"]) deleted_machines.push_back(each);
      return msgpack_response(200, Json::object());
    }
    auto& response = scale_out_responses[(*request)["charter"]];
    if (response.is_null()) {
      Json machine_names = Json::array();
      for (std::uint64_t i = 0; i < (*request)["count"].get<std::uint64_t>(); ++i)
        machine_names.push_back("n-" + std::to_string(++created_machine_count));
      response = {{"dykes", machine_names}};
    }
    return msgpack_response(200, response);
  }

  wire::MachineType machine_type{"small", {8, 0, 16}, 30, 1, 1.0, 0.3, 40, {"a", "b"}};
};

// Passes calls to the handler of their destination address, with faults that a test injects.
class FakeNetwork {
 public:
  using Handler =
      std::function<net::Task<net::HttpMessage>(std::string method, std::string target, std::string body)>;
  enum class LinkFault { none, refuse, drop_request, drop_response };

  explicit FakeNetwork(net::Loop& loop) : loop(loop) {}

  net::Loop& loop;
  std::map<net::Address, Handler> handlers;
  // Returns the fault of a call; called once for each, if set.
  std::function<LinkFault(const std::string& caller, const std::string& target)> inject_fault;
  // Called with every request that is sent, including dropped ones, if set.
  std::function<void(const std::string& target, const std::string& body)> on_request;

  // Ends all processes of this name that have been started so far: none of their later requests is sent.
  void terminate_process(const std::string& caller) {
    last_terminated_process_.insert({caller, process_count_});
  }
  // Returns the number of a process that is being started.
  std::size_t next_process_number() { return ++process_count_; }
  bool is_terminated(const std::string& caller, std::size_t number) const {
    auto found = last_terminated_process_.find(caller);
    return found != last_terminated_process_.end() && number <= found->second;
  }

 private:
  std::map<std::string, std::size_t> last_terminated_process_;  // by name of the caller
  std::size_t process_count_ = 0;
};

// Sends the calls of one process over the network.
class FakeTransport : public net::Transport {
 public:
  FakeTransport(FakeNetwork& network, std::string caller)
      : network_(network), caller_(std::move(caller)), process_number_(network.next_process_number()) {}

  net::Task<net::CallResult> call(net::Address to, std::string method, std::string target, std::string body,
                                  net::Duration timeout) override {
    if (network_.is_terminated(caller_, process_number_)) co_await network_.loop.sleep(std::chrono::hours(1));
    if (network_.on_request) network_.on_request(target, body);
    const auto fault =
        network_.inject_fault ? network_.inject_fault(caller_, target) : FakeNetwork::LinkFault::none;
    net::CallResult result;
    if (fault == FakeNetwork::LinkFault::refuse) {
      result.response = msgpack_response(503, Json::object());
      co_return result;
    }
    if (fault == FakeNetwork::LinkFault::drop_request) {
      co_await network_.loop.sleep(timeout);
      co_return result;
    }
    net::HttpMessage response = co_await network_.handlers.at(to)(method, target, body);
    if (target.starts_with("/watch") && wire::decode(response.body)->at("log").empty()) {
      // Waits much shorter than requested to keep tests fast; the protocol allows early empty responses.
      co_await network_.loop.sleep(std::chrono::milliseconds(20));
      response = co_await network_.handlers.at(to)(method, target, body);
    }
    if (fault == FakeNetwork::LinkFault::drop_response) {
      co_await network_.loop.sleep(std::chrono::milliseconds(20));
      co_return result;
    }
    result.response = std::move(response);
    co_return result;
  }

 private:
  FakeNetwork& network_;
  std::string caller_;
  std::size_t process_number_;
};

}  // namespace dockdyke::testing
