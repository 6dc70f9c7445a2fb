// Messages of the interface "Controller nodes -> state service" in PROTOCOL: keys, transactions, leases and
// watches. Functions named parse_* throw ParseError if the body does not follow the protocol.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/codec.hpp"
#include "wire/ids.hpp"
#include "wire/parse_error.hpp"

namespace dockdyke::wire {

// A stored key with its value. PROTOCOL, "GET /store/{key}".
struct KeyValue {
  std::string key;  // 1 to 200 bytes, no spaces
  Json value;
  Revision version;  // revision of the key's last change
};
KeyValue parse_key_value(const Json& body);

// One page of a listing, ordered by key. PROTOCOL, "GET /store?starts=".
struct KeyPage {
  std::vector<KeyValue> items;
  bool more = false;  // whether further pages follow
  Revision revision;  // of the state service when the page was read
};
KeyPage parse_key_page(const Json& body);

// A precondition of a transaction: the key must have this version. 0: the key must not exist.
struct Precondition {
  std::string key;
  Revision version;
};

// Writes a key and attaches it to the lease. Without a lease, the key is detached from its current one.
struct Put {
  std::string key;
  Json value;
  std::optional<LeaseId> lease;
};

// A compare-and-swap transaction: if all preconditions hold, all changes are applied atomically; otherwise
// none is. PROTOCOL, "POST /txn".
struct Transaction {
  std::vector<Precondition> preconditions;
  std::vector<Put> puts;
  std::vector<std::string> deletions;  // keys
};
Json to_json(const Transaction& transaction);

// Parses the revision in the response to an applied transaction or to the read of a key that does not exist.
Revision parse_revision(const Json& body);
// Parses a 409 response and returns the keys whose preconditions failed.
std::vector<std::string> parse_failed_preconditions(const Json& body);

// A change of one key, delivered by a watch.
struct KeyEvent {
  std::string key;
  std::optional<Json> value;  // empty if the key was deleted
  Revision version;           // revision of the change
};

// Response to a watch. PROTOCOL, "GET /watch".
struct KeyEvents {
  std::vector<KeyEvent> events;
  Revision revision;  // the next watch starts after this revision
};
KeyEvents parse_key_events(const Json& body);

// Builds the request for a lease that expires `ttl_ms` (100 to 600,000) after its last renewal. PROTOCOL,
// "POST /holds".
Json lease_request(std::uint64_t ttl_ms);
// Parses the lease id from the response.
LeaseId parse_lease_id(const Json& body);

namespace path {

inline constexpr std::string_view kTransaction = "/txn";  // POST
inline constexpr std::string_view kLeases = "/holds";     // POST: create a lease

// GET: reads one key.
std::string key(const std::string& key);
// GET: lists at most `limit` keys that begin with `prefix` and follow the key `after` (empty: from the
// first).
std::string key_page(const std::string& prefix, const std::string& after, std::uint64_t limit);
// GET: returns the changes after the revision `after` of keys that begin with `prefix`. The state service
// waits up to `wait_ms` for the first change.
std::string watch(const std::string& prefix, Revision after, std::uint64_t wait_ms);
// DELETE: revokes the lease.
std::string lease(LeaseId id);
// POST: renews the lease.
std::string lease_renewal(LeaseId id);

}  // namespace path

}  // namespace dockdyke::wire
