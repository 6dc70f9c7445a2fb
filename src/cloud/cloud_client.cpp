#include "cloud/cloud_client.hpp"

#include <optional>
#include <string>
#include <utility>

#include "constants.hpp"
#include "net/http_status.hpp"

namespace dockdyke::cloud {

namespace {

namespace http_status = net::http_status;
using store::RequestPriority;
using store::ServiceRequest;
using store::ServiceResponse;

Outcome outcome_of(const ServiceResponse& response) {
  if (!response.body) return Outcome::unknown;
  if (response.call.status == http_status::kOk) return Outcome::ok;
  if (response.call.status == http_status::kBadRequest) return Outcome::rejected;
  return Outcome::unknown;
}

// The cloud also responds with 503 during an outage, so the error text in the body decides.
bool is_no_capacity_response(const ServiceResponse& response) {
  return response.call.status == http_status::kServiceUnavailable && response.body &&
         wire::is_no_capacity_error(*response.body);
}

template <class T, class Parse>
Result<T> parse_cloud_response(ServiceResponse response, Parse parse) {
  const Outcome outcome = outcome_of(response);
  return store::parse_response<T>(outcome, std::move(response), parse);
}

}  // namespace

CloudClient::CloudClient(net::Loop& loop, net::Transport& transport, net::Address service,
                         double requests_per_second)
    : loop_(loop),
      transport_(transport),
      service_(service),
      rate_limiter_(loop, requests_per_second * constants::kCloudRateFraction) {}

net::Task<ServiceResponse> CloudClient::call(ServiceRequest request, RequestPriority priority) {
  const auto deadline = loop_.now() + net::seconds(constants::kBackgroundCallTimeoutSeconds);
  const bool acquired = co_await rate_limiter_.acquire(1, priority, deadline);
  if (!acquired) {
    ServiceResponse not_sent;
    not_sent.call = {std::move(request.method), std::move(request.target), std::nullopt};
    not_sent.never_sent = true;
    co_return not_sent;
  }
  ServiceResponse response = co_await store::call_service(transport_, service_, std::move(request),
                                                          net::seconds(constants::kCloudCallTimeoutSeconds));
  co_return response;
}

net::Task<Result<std::vector<wire::MachineType>>> CloudClient::list_machine_types() {
  ServiceRequest request{"GET", std::string(wire::path::kMachineTypes), {}};
  ServiceResponse response = co_await call(std::move(request), RequestPriority::normal);
  co_return parse_cloud_response<std::vector<wire::MachineType>>(std::move(response),
                                                                 wire::parse_machine_types);
}

net::Task<Result<std::vector<wire::ListedMachine>>> CloudClient::list_machines() {
  using Machines = std::vector<wire::ListedMachine>;
  Result<Machines> all{Outcome::ok, {}, std::nullopt};
  std::string after;
  bool more = true;
  while (more) {
    ServiceRequest request{"GET", wire::path::machine_page(after, constants::kMachineListPageSize), {}};
    ServiceResponse response = co_await call(std::move(request), RequestPriority::normal);
    auto page = parse_cloud_response<wire::MachinePage>(std::move(response), wire::parse_machine_page);
    if (!page) co_return Result<Machines>{page.outcome, {}, std::move(page.error)};
    more = page.value.more && !page.value.machines.empty();
    for (auto& machine : page.value.machines) all.value.push_back(std::move(machine));
    if (more) after = all.value.back().id.value;
  }
  co_return all;
}

net::Task<Result<std::vector<MachineId>>> CloudClient::scale_out(wire::ScaleOutRequest request) {
  using MachineIds = std::vector<MachineId>;
  ServiceRequest http_request{"POST", std::string(wire::path::kMachines),
                              wire::encode(wire::to_json(request))};
  ServiceResponse response = co_await call(std::move(http_request), RequestPriority::high);
  if (is_no_capacity_response(response))
    co_return net::failure<MachineIds>(Outcome::no_capacity, std::move(response.call));
  co_return parse_cloud_response<MachineIds>(std::move(response), wire::parse_machine_ids);
}

net::Task<Outcome> CloudClient::delete_machines(std::vector<MachineId> machines) {
  ServiceRequest request{"POST", std::string(wire::path::kMachineDeletion),
                         wire::encode(wire::machine_ids_to_json(machines))};
  ServiceResponse response = co_await call(std::move(request), RequestPriority::high);
  co_return outcome_of(response);
}

}  // namespace dockdyke::cloud
