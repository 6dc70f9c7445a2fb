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
using store::ServiceReply;
using store::ServiceRequest;

Outcome outcome_of(const ServiceReply& reply) {
  if (!reply.body) return Outcome::unknown;
  if (reply.call.status == http_status::kOk) return Outcome::ok;
  if (reply.call.status == http_status::kBadRequest) return Outcome::rejected;
  return Outcome::unknown;
}

// An outage is answered with 503 too; only the stated error says that the request was looked at and that
// there is no capacity.
bool states_no_capacity(const ServiceReply& reply) {
  return reply.call.status == http_status::kServiceUnavailable && reply.body &&
         wire::is_no_capacity_error(*reply.body);
}

template <class T, class Parse>
Result<T> parse_reply_of_cloud(ServiceReply reply, Parse parse) {
  const Outcome outcome = outcome_of(reply);
  return store::parse_reply<T>(outcome, std::move(reply), parse);
}

}  // namespace

CloudClient::CloudClient(net::Loop& loop, net::Transport& transport, net::Address service,
                         double requests_per_second)
    : loop_(loop),
      transport_(transport),
      service_(service),
      rate_limiter_(loop, requests_per_second * constants::kCloudRateFraction) {}

net::Task<ServiceReply> CloudClient::call(ServiceRequest request, RequestPriority priority) {
  const auto deadline = loop_.now() + net::seconds(constants::kBackgroundCallTimeoutSeconds);
  const bool acquired = co_await rate_limiter_.acquire(1, priority, deadline);
  if (!acquired) {
    ServiceReply none;
    none.call = {std::move(request.method), std::move(request.target), std::nullopt};
    none.never_sent = true;
    co_return none;
  }
  ServiceReply reply = co_await store::call_service(transport_, service_, std::move(request),
                                                    net::seconds(constants::kCloudCallTimeoutSeconds));
  co_return reply;
}

net::Task<Result<std::vector<wire::MachineType>>> CloudClient::machine_types() {
  ServiceRequest request{"GET", std::string(wire::path::kMachineTypes), {}};
  ServiceReply reply = co_await call(std::move(request), RequestPriority::normal);
  co_return parse_reply_of_cloud<std::vector<wire::MachineType>>(std::move(reply), wire::parse_machine_types);
}

net::Task<Result<std::vector<wire::ListedMachine>>> CloudClient::machines() {
  using Machines = std::vector<wire::ListedMachine>;
  Result<Machines> all{Outcome::ok, {}, std::nullopt};
  std::string after;
  bool more = true;
  while (more) {
    ServiceRequest request{"GET", wire::path::machine_page(after, constants::kMachineListPageSize), {}};
    ServiceReply reply = co_await call(std::move(request), RequestPriority::normal);
    auto page = parse_reply_of_cloud<wire::MachinePage>(std::move(reply), wire::parse_machine_page);
    if (!page) co_return Result<Machines>{page.outcome, {}, std::move(page.error)};
    more = page.value.more && !page.value.machines.empty();
    for (auto& machine : page.value.machines) all.value.push_back(std::move(machine));
    if (more) after = all.value.back().id.value;
  }
  co_return all;
}

net::Task<Result<std::vector<MachineId>>> CloudClient::scale_out(wire::ScaleOutRequest request) {
  using Names = std::vector<MachineId>;
  ServiceRequest call_request{"POST", std::string(wire::path::kMachines),
                              wire::encode(wire::to_json(request))};
  ServiceReply reply = co_await call(std::move(call_request), RequestPriority::high);
  if (states_no_capacity(reply)) co_return net::failure<Names>(Outcome::no_capacity, std::move(reply.call));
  co_return parse_reply_of_cloud<Names>(std::move(reply), wire::parse_machine_ids);
}

net::Task<Outcome> CloudClient::scale_in(std::vector<MachineId> machines) {
  ServiceRequest request{"POST", std::string(wire::path::kMachineDeletion),
                         wire::encode(wire::machine_ids_to_json(machines))};
  ServiceReply reply = co_await call(std::move(request), RequestPriority::high);
  co_return outcome_of(reply);
}

}  // namespace dockdyke::cloud
