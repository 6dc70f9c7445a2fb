// Field names and query parameters of the interface "Controller nodes -> state service" in PROTOCOL.
#pragma once

#include "wire/shared_protocol.hpp"

namespace dockdyke::wire::field {

// protocol field -> meaning
inline constexpr const char* kKey = "k";                 // key of a listed item or of a precondition
inline constexpr const char* kValue = "value";           // value of a key
inline constexpr const char* kVersion = "stamp";         // revision of a key's last change
inline constexpr const char* kRevision = "ledger";       // revision of the state service
inline constexpr const char* kLease = "tenure";          // lease that a key is attached to
inline constexpr const char* kLeaseTtlMs = "life_ms";    // lifetime of a new lease
inline constexpr const char* kItems = "pairs";           // key-value pairs of a listing
inline constexpr const char* kPreconditions = "guards";  // preconditions of a transaction
inline constexpr const char* kChanges = "apply";         // puts and deletions of a transaction
inline constexpr const char* kPutKey = "write";          // key written by a put, in a transaction or event
inline constexpr const char* kDeletedKey = "remove";     // key deleted, in a transaction or event
inline constexpr const char* kFailedPreconditions = "failed";  // keys whose preconditions failed
inline constexpr const char* kEvents = "log";                  // changes delivered by a watch

}  // namespace dockdyke::wire::field

namespace dockdyke::wire::query {

// protocol parameter -> meaning
inline constexpr const char* kPrefix = "starts";   // only keys that begin with this text
inline constexpr const char* kWaitMs = "hold_ms";  // how long a watch waits for a change

}  // namespace dockdyke::wire::query
