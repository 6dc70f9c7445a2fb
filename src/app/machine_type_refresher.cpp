#include "app/machine_type_refresher.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "constants.hpp"
#include "core/stored_records.hpp"

namespace dockdyke::app {

MachineTypeRefresher::MachineTypeRefresher(net::Loop& loop, cloud::CloudClient& cloud,
                                           store::StateClient& state, const LeadershipState& leadership,
                                           MachineTypeCatalog& catalog)
    : loop_(loop), cloud_(cloud), state_(state), leadership_(leadership), catalog_(catalog) {}

void MachineTypeRefresher::update_catalog(std::vector<wire::MachineType> types) {
  catalog_.replace(std::move(types));
  if (leadership_.leading()) leadership_.term()->push(core::MachineTypesChanged{catalog_.types()});
}

net::Task<void> MachineTypeRefresher::store_types() {
  wire::Transaction transaction;
  transaction.puts.push_back({core::key::kMachineTypes, wire::to_json(catalog_.types()), {}});
  const auto deadline = loop_.now() + net::seconds(constants::kBackgroundCallTimeoutSeconds);
  store::Result<store::CommitResult> committed =
      co_await state_.commit(std::move(transaction), store::RequestPriority::background, deadline);
  // A rejected value is too large, so a retry would fail too.
  stored_ = committed.outcome == store::Outcome::ok || committed.outcome == store::Outcome::rejected;
}

net::Task<void> MachineTypeRefresher::load_stored_types() {
  const auto deadline = loop_.now() + net::seconds(constants::kStateCallTimeoutSeconds);
  store::Result<wire::KeyValue> stored = co_await state_.get(core::key::kMachineTypes, deadline);
  if (!stored) co_return;
  try {
    update_catalog(wire::parse_machine_types(stored.value.value));
  } catch (const wire::ParseError& error) {
    spdlog::error("event=malformed_record key={} error=\"{}\"", core::key::kMachineTypes, error.what());
  }
}

net::Task<void> MachineTypeRefresher::run() {
  for (;;) {
    cloud::Result<std::vector<wire::MachineType>> offered = co_await cloud_.list_machine_types();
    if (offered && !offered.value.empty()) {
      update_catalog(std::move(offered.value));
      if (leadership_.leading() && !stored_) co_await store_types();
    } else if (!catalog_.known()) {
      co_await load_stored_types();
    }
    const bool retry_soon = !catalog_.known() || (leadership_.leading() && !stored_);
    co_await loop_.sleep(net::seconds(retry_soon ? constants::kMachineTypesRetryIntervalSeconds
                                                 : constants::kMachineTypesIntervalSeconds));
  }
}

}  // namespace dockdyke::app
