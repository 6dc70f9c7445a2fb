// Messages of the interface "Controller nodes -> cloud" in PROTOCOL: machine types, the machine list,
// scale-out requests and machine deletions. Functions named parse_* throw ParseError if the body does not
// follow the protocol. The suffix of a name states its unit; `_s` stands for seconds.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wire/codec.hpp"
#include "wire/ids.hpp"
#include "wire/parse_error.hpp"
#include "wire/resources.hpp"

namespace dockdyke::wire {

// A machine type that the cloud offers. PROTOCOL, "GET /flavors".
struct MachineType {
  std::string name;
  Resources size;                   // total resources of the machine
  double image_cache_gb = 0;        // size of the local image cache
  double image_fetch_gb_per_s = 0;  // nominal rate of image fetches, shared by concurrent fetches
  double price = 0;                 // per hour, on-demand
  double spot_price = 0;            // per hour, current spot price
  double boot_s = 0;                // typical time from the scale-out request to the worker's first heartbeat
  std::vector<std::string> zones;
};

// Parses the cloud's response or its stored copy. GPUs and image cache default to 0, the fetch rate to 1 GB/s
// and the spot price to the on-demand price.
std::vector<MachineType> parse_machine_types(const Json& body);
Json to_json(const std::vector<MachineType>& types);

// State of a listed machine. A `failed` machine has stopped on its own; it stays listed until it is deleted.
enum class InstanceState { booting, running, failed };

// An entry of the machine list. The list is seconds out of date. PROTOCOL, "GET /machines".
struct ListedMachine {
  MachineId id;
  std::string type;
  std::string zone;
  bool spot = false;
  InstanceState state = InstanceState::booting;
  double age_s = 0;  // time since the scale-out request, at the time when the list was made
};

// One page of the machine list, ordered by name.
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;  // whether further pages follow
};
MachinePage parse_machine_page(const Json& body);

// A request for new machines. The cloud treats the id as an idempotency key: a resubmission gets the response
// of the first request, so an id must never be reused for another request. PROTOCOL, "POST /machines".
struct ScaleOutRequest {
  ScaleOutId id;
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t count = 1;  // at most constants::kMaxMachinesPerScaleOut
};
Json to_json(const ScaleOutRequest& request);
ScaleOutRequest parse_scale_out_request(const Json& body);

// Returns whether the body of a 503 response says that the cloud has no capacity for the request. During an
// outage the cloud also returns 503, with a different body. PROTOCOL, "POST /machines".
bool is_no_capacity_error(const Json& body);

// Parse and build a list of machine ids: the response to a scale-out request, the body of a deletion request,
// or the stored record of a deletion. PROTOCOL, "POST /machines", "POST /machines/delete".
std::vector<MachineId> parse_machine_ids(const Json& body);
Json machine_ids_to_json(const std::vector<MachineId>& ids);

namespace path {

inline constexpr std::string_view kMachineTypes = "/flavors";  // GET
inline constexpr std::string_view kMachines = "/machines";     // POST: scale out; GET: machine list
inline constexpr std::string_view kMachineDeletion = "/machines/delete";  // POST

// GET: the page of the machine list that follows the name `after` (empty: the first page), with at most
// `limit` machines.
std::string machine_page(const std::string& after, std::uint64_t limit);

}  // namespace path

}  // namespace dockdyke::wire
