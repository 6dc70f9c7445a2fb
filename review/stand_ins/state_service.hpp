// A stand-in of the state service: keys, transactions, leases, watches and limits of the protocol.
#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "http.hpp"

namespace review {

class StateService {
 public:
  struct Limits {
    double rps = 200;
    double write_rps = 20;
    std::size_t value_bytes = 4096;
    std::size_t txn_ops = 8;
  };
  // What a test may do to the link of one controller.
  struct Link {
    std::atomic<bool> refuse{false};          // 503 to every request; open watches wait
    std::atomic<bool> lose_requests{false};   // no request arrives, nothing is answered
    std::atomic<int> lose_next_answers{0};    // so many transactions are carried out, their answer is lost
  };

  explicit StateService(Limits limits) : limits_(limits), requests_left_(limits.rps), writes_left_(limits.write_rps) {
    std::thread([this] {
      for (;;) {
        sleep_s(0.02);
        expire_leases();
      }
    }).detach();
  }

  // Returns the address under which controller `index` reaches the service.
  std::string address_for(std::size_t index) {
    while (links_.size() <= index) {
      links_.push_back(std::make_unique<Link>());
      Link* link = links_.back().get();
      servers_.push_back(std::make_unique<Server>(
          [this, link](const std::string& method, const std::string& target, const Json& body) {
            return handle(*link, method, target, body);
          }));
    }
    return servers_[index]->address();
  }
  Link& link(std::size_t index) { return *links_.at(index); }

  std::optional<Json> value(const std::string& key) {
    std::lock_guard lock(mutex_);
    const auto found = keys_.find(key);
    if (found == keys_.end()) return std::nullopt;
    return found->second.value;
  }

 private:
  struct Entry {
    Json value;
    std::uint64_t stamp = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    double life_s = 0;
    TimePoint ends;
  };
  struct Change {
    std::uint64_t stamp;
    std::string key;
    Json event;
  };

  Reply handle(Link& link, const std::string& method, const std::string& target, const Json& body) {
    const bool watch = target.rfind("/watch", 0) == 0;
    if (link.lose_requests) {
      while (link.lose_requests) sleep_s(0.05);
      return {0, {}, true, 0};
    }
    if (link.refuse && !watch) return {503, Json{{"error", "trouble"}}, false, 0};
    if (watch) return handle_watch(link, target);
    std::lock_guard lock(mutex_);
    if (!take(requests_left_, requests_at_, limits_.rps, 1)) return {429, Json::object(), false, 0};
    if (target == "/txn") {
      Reply reply = transact(body);
      if (reply.status == 200 && !body.value("apply", Json::array()).empty() && link.lose_next_answers > 0) {
        --link.lose_next_answers;
        reply.drop = true;
      }
      return reply;
    }
    if (target == "/holds") {
      const double life_s = body.value("life_ms", 5000.0) / 1000;
      leases_[++next_lease_] = {life_s, in_seconds(life_s)};
      return {200, Json{{"tenure", next_lease_}}, false, 0};
    }
    if (target.rfind("/holds/", 0) == 0) {
      const auto id = std::stoull(target.substr(7));
      const auto lease = leases_.find(id);
      if (lease == leases_.end()) return {404, Json::object(), false, 0};
      if (method == "DELETE") {
        remove_lease(id);
      } else {
        lease->second.ends = in_seconds(lease->second.life_s);
      }
      return {200, Json::object(), false, 0};
    }
    if (target.rfind("/store?", 0) == 0) return list(target);
    if (target.rfind("/store/", 0) == 0) {
      const auto found = keys_.find(query_parameter("?k=" + target.substr(7), "k"));
      if (found == keys_.end()) return {404, Json{{"ledger", ledger_}}, false, 0};
      Json out{{"k", found->first}, {"value", found->second.value}, {"stamp", found->second.stamp}};
      if (found->second.lease != 0) out["tenure"] = found->second.lease;
      return {200, out, false, 0};
    }
    return {400, Json::object(), false, 0};
  }

  Reply list(const std::string& target) {
    const std::string prefix = query_parameter(target, "starts");
    const std::string since = query_parameter(target, "since");
    const std::string page_text = query_parameter(target, "page");
    const std::size_t page = page_text.empty() ? 1000 : std::min<std::size_t>(1000, std::stoul(page_text));
    Json pairs = Json::array();
    bool more = false;
    std::size_t bytes = 0;
    for (auto entry = keys_.lower_bound(prefix); entry != keys_.end(); ++entry) {
      if (entry->first.compare(0, prefix.size(), prefix) != 0) break;
      if (!since.empty() && entry->first <= since) continue;
      bytes += entry->second.value.dump().size() + entry->first.size() + 40;
      if (pairs.size() >= page || bytes > 512 * 1024) {
        more = true;
        break;
      }
      pairs.push_back({{"k", entry->first}, {"value", entry->second.value}, {"stamp", entry->second.stamp}});
    }
    return {200, Json{{"pairs", pairs}, {"more", more}, {"ledger", ledger_}}, false, 0};
  }

  Reply transact(const Json& body) {
    const Json guards = body.value("guards", Json::array());
    const Json apply = body.value("apply", Json::array());
    if (apply.size() > limits_.txn_ops || guards.size() > 4 * limits_.txn_ops)
      return {400, Json{{"error", "too large"}}, false, 0};
    for (const auto& change : apply)
      if (change.contains("value") && change["value"].dump().size() > limits_.value_bytes)
        return {400, Json{{"error", "too large"}}, false, 0};
    if (!apply.empty() && !take(writes_left_, writes_at_, limits_.write_rps, static_cast<double>(apply.size())))
      return {429, Json::object(), false, 0};
    for (const auto& change : apply)
      if (change.contains("write") && change.contains("tenure") && !change["tenure"].is_null() &&
          !leases_.count(change["tenure"].get<std::uint64_t>()))
        return {400, Json{{"error", "no such lease"}}, false, 0};
    Json failed = Json::array();
    for (const auto& guard : guards) {
      const auto found = keys_.find(guard.at("k").get<std::string>());
      const std::uint64_t stamp = found == keys_.end() ? 0 : found->second.stamp;
      if (stamp != guard.at("stamp").get<std::uint64_t>()) failed.push_back(guard.at("k"));
    }
    if (!failed.empty()) return {409, Json{{"failed", failed}, {"ledger", ledger_}}, false, 0};
    if (apply.empty()) return {200, Json{{"ledger", ledger_}}, false, 0};
    ++ledger_;
    for (const auto& change : apply) {
      if (change.contains("write")) {
        const std::string key = change["write"];
        std::uint64_t lease = 0;
        if (change.contains("tenure") && !change["tenure"].is_null()) lease = change["tenure"];
        keys_[key] = {change.at("value"), ledger_, lease};
        record({ledger_, key, Json{{"write", key}, {"value", change.at("value")}, {"stamp", ledger_}}});
      } else {
        const std::string key = change.at("remove");
        if (keys_.erase(key) > 0) record({ledger_, key, Json{{"remove", key}, {"stamp", ledger_}}});
      }
    }
    changed_.notify_all();
    return {200, Json{{"ledger", ledger_}}, false, 0};
  }

  Reply handle_watch(Link& link, const std::string& target) {
    const std::string prefix = query_parameter(target, "starts");
    const std::uint64_t since = std::stoull(query_parameter(target, "since"));
    const std::string hold = query_parameter(target, "hold_ms");
    const TimePoint deadline = in_seconds(hold.empty() ? 0 : std::stod(hold) / 1000);
    std::unique_lock lock(mutex_);
    if (!take(requests_left_, requests_at_, limits_.rps, 1)) return {429, Json::object(), false, 0};
    for (;;) {
      if (!link.refuse) {
        if (changes_dropped_ && since < changes_.front().stamp - 1) return {410, Json::object(), false, 0};
        Json log = Json::array();
        for (const auto& change : changes_)
          if (change.stamp > since && change.key.compare(0, prefix.size(), prefix) == 0)
            log.push_back(change.event);
        if (!log.empty() || Clock::now() >= deadline)
          return {200, Json{{"ledger", ledger_}, {"log", log}}, false, 0};
      }
      changed_.wait_for(lock, std::chrono::milliseconds(50));
    }
  }

  void record(Change change) {
    changes_.push_back(std::move(change));
    if (changes_.size() <= 10000) return;
    changes_.pop_front();
    changes_dropped_ = true;
  }

  void expire_leases() {
    std::lock_guard lock(mutex_);
    std::vector<std::uint64_t> expired;
    for (const auto& [id, lease] : leases_)
      if (lease.ends < Clock::now()) expired.push_back(id);
    for (const auto id : expired) remove_lease(id);
  }
  void remove_lease(std::uint64_t id) {
    leases_.erase(id);
    for (auto entry = keys_.begin(); entry != keys_.end();) {
      if (entry->second.lease != id) {
        ++entry;
        continue;
      }
      ++ledger_;
      record({ledger_, entry->first, Json{{"remove", entry->first}, {"stamp", ledger_}}});
      entry = keys_.erase(entry);
    }
    changed_.notify_all();
  }
  // Takes tokens of a rate that allows bursts of one second's worth.
  static bool take(double& left, TimePoint& at, double rate, double cost) {
    const TimePoint now = Clock::now();
    left = std::min(rate, left + seconds_between(at, now) * rate);
    at = now;
    if (left < cost) return false;
    left -= cost;
    return true;
  }

  Limits limits_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Entry> keys_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<Change> changes_;
  bool changes_dropped_ = false;
  std::uint64_t ledger_ = 100;
  std::uint64_t next_lease_ = 0;
  double requests_left_;
  double writes_left_;
  TimePoint requests_at_ = Clock::now();
  TimePoint writes_at_ = Clock::now();
  std::vector<std::unique_ptr<Link>> links_;
  std::vector<std::unique_ptr<Server>> servers_;
};

}  // namespace review
