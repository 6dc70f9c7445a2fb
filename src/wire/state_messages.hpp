// Messages of the interface "Controller nodes -> state service" in PROTOCOL: keys, transactions, leases and
// watches. Functions named parse_* throw Malformed if the body does not follow the protocol.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/codec.hpp"
#include "wire/ids.hpp"
#include "wire/malformed.hpp"

namespace dockdyke::wire {

// A key as stored. PROTOCOL, "GET /store/{key}".
struct KeyValue {
  std::string key;  // 1 to 200 bytes without spaces
  Json value;
  Revision version;  // revision of the key's last change
};
KeyValue parse_key_value(const Json& body);

// A page of a listing, in the order of keys. PROTOCOL, "GET /store?starts=".
struct KeyPage {
  std::vector<KeyValue> items;
  bool more = false;  // whether further pages follow
  Revision revision;  // of the store when the page was read
};
KeyPage parse_key_page(const Json& body);

// A condition of a transaction: the key has this version. 0: the key must not exist.
struct Precondition {
  std::string key;
  Revision version;
};

// Writes a key and attaches it to the lease; without one the key is detached from any.
struct Put {
  std::string key;
  Json value;
  std::optional<LeaseId> lease;
};

// Changes that are made all or not at all, if all preconditions hold. PROTOCOL, "POST /txn", states its
// limits.
struct Transaction {
  std::vector<Precondition> preconditions;
  std::vector<Put> puts;
  std::vector<std::string> deletions;  // keys
};
Json to_json(const Transaction& transaction);

// The revision in the response to a transaction that was applied, and in that to a key that does not exist.
Revision parse_revision(const Json& body);
// The keys whose preconditions failed, from a 409 response.
std::vector<std::string> parse_failed_preconditions(const Json& body);

// A change that a watch returns.
struct KeyEvent {
  std::string key;
  std::optional<Json> value;  // nothing: the key was removed
  Revision version;           // of the change
};

// Response of a watch. PROTOCOL, "GET /watch".
struct KeyEvents {
  std::vector<KeyEvent> events;
  Revision revision;  // the next watch continues after it
};
KeyEvents parse_key_events(const Json& body);

// Request for a lease that ends `ttl_ms` (100 to 600,000) after its last renewal. PROTOCOL, "POST /holds".
Json lease_request(std::uint64_t ttl_ms);
// The lease in the response.
LeaseId parse_lease(const Json& body);

namespace path {

inline constexpr std::string_view kTransaction = "/txn";  // POST
inline constexpr std::string_view kLeases = "/holds";     // POST: new lease

// GET: one key.
std::string key(const std::string& key);
// GET: keys that begin with `prefix`, from after the key `after` (empty: from the first), at most `limit`.
std::string key_page(const std::string& prefix, const std::string& after, std::uint64_t limit);
// GET: changes of keys that begin with `prefix` after the revision `after`; waits up to `wait_ms` for the
// first one.
std::string watch(const std::string& prefix, Revision after, std::uint64_t wait_ms);
// DELETE: ends the lease.
std::string lease(LeaseId id);
// POST: renews the lease.
std::string lease_renewal(LeaseId id);

}  // namespace path

}  // namespace dockdyke::wire
