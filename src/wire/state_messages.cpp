#include "wire/state_messages.hpp"

#include <utility>

#include "wire/fields.hpp"
#include "wire/percent_encoding.hpp"
#include "wire/query_string.hpp"
#include "wire/state_protocol.hpp"

namespace dockdyke::wire {

namespace {

Json to_json(const Precondition& precondition) {
  return Json{{field::kKey, precondition.key}, {field::kVersion, precondition.version.value}};
}

Json to_json(const Put& put) {
  Json body{{field::kPutKey, put.key}, {field::kValue, put.value}};
  if (put.lease) body[field::kLease] = put.lease->value;
  return body;
}

Json deletion_to_json(const std::string& key) {
  return Json{{field::kDeletedKey, key}};
}

// Returns the stored value. The service may omit the field if the value is null.
Json parse_value(const Json& body) {
  const Json* value = find_field(body, field::kValue);
  return value ? *value : Json();
}

KeyEvent parse_key_event(const Json& body) {
  KeyEvent event;
  event.version = Revision(require_count(body, field::kVersion));
  if (auto put_key = optional_text(body, field::kPutKey)) {
    event.key = *std::move(put_key);
    event.value = parse_value(body);
  } else {
    event.key = require_text(body, field::kDeletedKey);
  }
  return event;
}

}  // namespace

KeyValue parse_key_value(const Json& body) {
  return KeyValue{require_text(body, field::kKey), parse_value(body),
                  Revision(require_count(body, field::kVersion))};
}

KeyPage parse_key_page(const Json& body) {
  KeyPage page;
  page.items = require_items(body, field::kItems, parse_key_value);
  page.more = flag_or(body, field::kMore, false);
  page.revision = parse_revision(body);
  return page;
}

Json to_json(const Transaction& transaction) {
  Json preconditions = Json::array();
  for (const auto& precondition : transaction.preconditions) preconditions.push_back(to_json(precondition));
  Json changes = Json::array();
  for (const auto& put : transaction.puts) changes.push_back(to_json(put));
  for (const auto& key : transaction.deletions) changes.push_back(deletion_to_json(key));
  return Json{{field::kPreconditions, std::move(preconditions)}, {field::kChanges, std::move(changes)}};
}

Revision parse_revision(const Json& body) {
  return Revision(require_count(body, field::kRevision));
}

std::vector<std::string> parse_failed_preconditions(const Json& body) {
  std::vector<std::string> keys;
  for (const auto& key : require_list(body, field::kFailedPreconditions))
    if (key.is_string()) keys.push_back(key.get<std::string>());
  return keys;
}

KeyEvents parse_key_events(const Json& body) {
  KeyEvents events;
  events.events = require_items(body, field::kEvents, parse_key_event);
  events.revision = parse_revision(body);
  return events;
}

Json lease_request(std::uint64_t ttl_ms) {
  return Json{{field::kLeaseTtlMs, ttl_ms}};
}

LeaseId parse_lease_id(const Json& body) {
  return LeaseId(require_count(body, field::kLease));
}

namespace path {

namespace {

constexpr std::string_view kStore = "/store";
constexpr std::string_view kWatch = "/watch";
constexpr std::string_view kLeaseRenewalSuffix = "/touch";  // appended to the path of the lease

}  // namespace

std::string key(const std::string& key) {
  return std::string(kStore) + "/" + percent_encode(key);
}

std::string key_page(const std::string& prefix, const std::string& after, std::uint64_t limit) {
  QueryString target(kStore);
  target.add(query::kPrefix, prefix);
  target.add(query::kPageSize, std::to_string(limit));
  if (!after.empty()) target.add(query::kAfter, after);
  return target.str();
}

std::string watch(const std::string& prefix, Revision after, std::uint64_t wait_ms) {
  QueryString target(kWatch);
  target.add(query::kPrefix, prefix);
  target.add(query::kAfter, std::to_string(after.value));
  target.add(query::kWaitMs, std::to_string(wait_ms));
  return target.str();
}

std::string lease(LeaseId id) {
  return std::string(kLeases) + "/" + std::to_string(id.value);
}

std::string lease_renewal(LeaseId id) {
  return lease(id) + std::string(kLeaseRenewalSuffix);
}

}  // namespace path

}  // namespace dockdyke::wire
