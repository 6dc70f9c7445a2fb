#include "wire/cloud_messages.hpp"

#include <utility>

#include "wire/cloud_protocol.hpp"
#include "wire/fields.hpp"
#include "wire/query_string.hpp"

namespace dockdyke::wire {

namespace {

constexpr double kDefaultImageFetchGbPerS = 1;

MachineType parse_machine_type(const Json& body) {
  MachineType type;
  type.name = require_text(body, field::kTypeName);
  type.size = {require_amount(body, field::kCpus), optional_amount(body, field::kGpus).value_or(0),
               require_amount(body, field::kMemoryGb)};
  type.image_cache_gb = optional_amount(body, field::kImageCacheGb).value_or(0);
  type.image_fetch_gb_per_s =
      optional_amount(body, field::kImageFetchGbPerS).value_or(kDefaultImageFetchGbPerS);
  type.price = require_amount(body, field::kPrice);
  type.spot_price = optional_amount(body, field::kSpotPrice).value_or(type.price);
  type.boot_s = require_amount(body, field::kBootS);
  type.zones = require_name_list(body, field::kZones);
  return type;
}

Json to_json(const MachineType& type) {
  return Json{{field::kTypeName, type.name},
              {field::kCpus, type.size.cpus},
              {field::kGpus, type.size.gpus},
              {field::kMemoryGb, type.size.memory_gb},
              {field::kImageCacheGb, type.image_cache_gb},
              {field::kImageFetchGbPerS, type.image_fetch_gb_per_s},
              {field::kPrice, type.price},
              {field::kSpotPrice, type.spot_price},
              {field::kBootS, type.boot_s},
              {field::kZones, type.zones}};
}

ListedMachine parse_listed_machine(const Json& body) {
  ListedMachine machine;
  machine.id = MachineId(require_text(body, field::kId));
  machine.type = require_text(body, field::kMachineType);
  machine.zone = require_text(body, field::kZone);
  machine.spot = flag_or(body, field::kSpot, false);
  machine.state = require_enum(body, field::kState, kInstanceStates);
  machine.age_s = optional_amount(body, field::kAgeS).value_or(0);
  return machine;
}

}  // namespace

std::vector<MachineType> parse_machine_types(const Json& body) {
  return require_items(body, field::kMachineTypes, parse_machine_type);
}

Json to_json(const std::vector<MachineType>& types) {
  Json list = Json::array();
  for (const auto& type : types) list.push_back(to_json(type));
  return Json{{field::kMachineTypes, std::move(list)}};
}

MachinePage parse_machine_page(const Json& body) {
  MachinePage page;
  page.machines = require_items(body, field::kMachines, parse_listed_machine);
  page.more = flag_or(body, field::kMore, false);
  return page;
}

Json to_json(const ScaleOutRequest& request) {
  return Json{{field::kScaleOutId, request.id.value},
              {field::kMachineType, request.type},
              {field::kZone, request.zone},
              {field::kSpot, request.spot},
              {field::kCount, request.count}};
}

ScaleOutRequest parse_scale_out_request(const Json& body) {
  ScaleOutRequest request;
  request.id = ScaleOutId(require_text(body, field::kScaleOutId));
  request.type = require_text(body, field::kMachineType);
  request.zone = require_text(body, field::kZone);
  request.spot = require_flag(body, field::kSpot);
  request.count = require_count(body, field::kCount);
  return request;
}

bool is_no_capacity_error(const Json& body) {
  if (!body.is_object()) return false;
  const Json* error = find_field(body, field::kError);
  return error && *error == kNoCapacityError;
}

std::vector<MachineId> parse_machine_ids(const Json& body) {
  std::vector<MachineId> ids;
  for (auto& name : require_name_list(body, field::kMachines)) ids.emplace_back(std::move(name));
  return ids;
}

Json machine_ids_to_json(const std::vector<MachineId>& ids) {
  Json list = Json::array();
  for (const auto& id : ids) list.push_back(id.value);
  return Json{{field::kMachines, std::move(list)}};
}

namespace path {

std::string machine_page(const std::string& after, std::uint64_t limit) {
  QueryString target(kMachines);
  target.add(query::kPageSize, std::to_string(limit));
  if (!after.empty()) target.add(query::kAfter, after);
  return target.str();
}

}  // namespace path

}  // namespace dockdyke::wire
