// Field names and enum values of the interface "Controller nodes -> cloud" in PROTOCOL.
#pragma once

#include "wire/cloud_messages.hpp"
#include "wire/enum_table.hpp"
#include "wire/shared_protocol.hpp"

namespace dockdyke::wire::field {

// protocol field -> meaning
inline constexpr const char* kTypeName = "name";                   // name of a machine type
inline constexpr const char* kImageCacheGb = "local_gb";           // size of the local image cache, GB
inline constexpr const char* kImageFetchGbPerS = "pull_gb_per_s";  // rate of image fetches, GB/s
inline constexpr const char* kPrice = "price";                     // on-demand price per hour
inline constexpr const char* kSpotPrice = "market_price";          // current spot price per hour
inline constexpr const char* kBootS = "ready_s";                   // typical boot time
inline constexpr const char* kZones = "polders";                   // zones that offer the type
inline constexpr const char* kScaleOutId = "charter";              // idempotency key of a scale-out request
inline constexpr const char* kCount = "count";                     // number of requested machines
inline constexpr const char* kMachines = "dykes";                  // list of machines or of machine names
inline constexpr const char* kAgeS = "held_s";                     // seconds since the scale-out request

inline constexpr const char* kError = "error";  // reason of a 503 response, see kNoCapacityError

}  // namespace dockdyke::wire::field

namespace dockdyke::wire {

// Value of field::kError: the cloud has no capacity for the requested type and zone.
inline constexpr const char* kNoCapacityError = "no capacity";

// Values of field::kState of a listed machine.
inline constexpr EnumTable<InstanceState, 3> kInstanceStates{{{"booting", InstanceState::booting},
                                                              {"running", InstanceState::running},
                                                              {"failed", InstanceState::failed}}};

}  // namespace dockdyke::wire
