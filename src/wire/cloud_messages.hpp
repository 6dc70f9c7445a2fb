// Messages of the interface "Controller nodes -> cloud" in PROTOCOL: machine types, the machine list,
// scale-out requests and deletions. Functions named parse_* throw Malformed if the body does not follow the
// protocol. Names end in the unit of what they hold; `_s` are seconds.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wire/codec.hpp"
#include "wire/ids.hpp"
#include "wire/malformed.hpp"
#include "wire/resources.hpp"

namespace dockdyke::wire {

// A machine type that the cloud offers. PROTOCOL, "GET /flavors".
struct MachineType {
  std::string name;
  Resources size;             // of the whole machine
  double cache_gb = 0;        // local storage for images
  double fetch_gb_per_s = 0;  // nominal rate of image fetches, shared by concurrent ones
  double price = 0;           // per hour, on-demand
  double spot_price = 0;      // per hour, current price of spot instances
  double boot_s = 0;          // usual time from the request until the worker's first heartbeat
  std::vector<std::string> zones;
};

// Reads the cloud's response, or the stored copy of it. GPUs and image cache default to 0, the fetch rate to
// 1 GB/s and the spot price to the on-demand price.
std::vector<MachineType> parse_machine_types(const Json& body);
Json to_json(const std::vector<MachineType>& types);

// `failed`: the machine has stopped by itself; it remains listed until it is deleted.
enum class InstanceState { booting, running, failed };

// A machine in the machine list, which lags behind by seconds. PROTOCOL, "GET /machines".
struct ListedMachine {
  MachineId id;
  std::string type;
  std::string zone;
  bool spot = false;
  InstanceState state = InstanceState::booting;
  double age_s = 0;  // since the scale-out request, as of the moment that the list describes
};

// One page of the machine list, in the order of names.
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;  // whether further pages follow
};
MachinePage parse_machine_page(const Json& body);

// A request for machines. The cloud answers a repeated id as it did the first time, so an id must never be
// used for another request. PROTOCOL, "POST /machines".
struct ScaleOutRequest {
  ScaleOutId id;
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t count = 1;  // at most constants::kMaxMachinesPerScaleOut
};
Json to_json(const ScaleOutRequest& request);
ScaleOutRequest parse_scale_out_request(const Json& value);

// Whether the body of a 503 says that no machine of the type, zone and kind is available. In an outage the
// cloud also returns 503, without having examined the request. PROTOCOL, "POST /machines".
bool is_no_capacity_error(const Json& body);

// A list of machine names: the response to a scale-out request, the body of a deletion, and the record of
// one. PROTOCOL, "POST /machines" and "POST /machines/delete".
std::vector<MachineId> parse_machine_names(const Json& body);
Json machine_names(const std::vector<MachineId>& names);

namespace path {

inline constexpr std::string_view kMachineTypes = "/flavors";    // GET
inline constexpr std::string_view kMachines = "/machines";       // POST: scale out; GET: machine list
inline constexpr std::string_view kDelete = "/machines/delete";  // POST

// The machine list from after the name `after` (empty: from its start), with at most `limit` machines.
std::string machine_page(const std::string& after, std::uint64_t limit);

}  // namespace path

}  // namespace dockdyke::wire
