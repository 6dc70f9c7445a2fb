#include "cloud/cloud_client.hpp"

#include <utility>

#include "constants.hpp"

namespace dockdyke::cloud {

using store::RequestPriority;

CloudClient::CloudClient(net::Loop& loop, net::Transport& transport, net::Address service,
                         double requests_per_second)
    : loop_(loop),
      transport_(transport),
      service_(service),
      budget_(loop, requests_per_second * constants::kCloudRateShare) {}

net::Task<CloudClient::Reply> CloudClient::call(std::string method, std::string target, std::string body,
                                                RequestPriority urgency) {
  Reply reply;
  const bool granted =
      co_await budget_.take(1, urgency, loop_.now() + net::seconds(constants::kBackgroundCallTimeout));
  if (!granted) co_return reply;
  net::CallResult result =
      co_await transport_.call(service_, std::move(method), std::move(target), std::move(body),
                               net::seconds(constants::kCloudCallTimeout));
  if (!result.response) co_return reply;
  if (!result.response->body.empty()) {
    auto value = wire::decode(result.response->body);
    if (!value) co_return reply;
    reply.body = *std::move(value);
  }
  reply.status = result.response->status;
  co_return reply;
}

net::Task<Result<std::vector<wire::MachineType>>> CloudClient::machine_types() {
  Result<std::vector<wire::MachineType>> result;
  Reply reply = co_await call("GET", std::string(wire::path::kMachineTypes), {}, RequestPriority::normal);
  if (reply.status != 200) co_return result;
  try {
    result.value = wire::parse_machine_types(reply.body);
    result.outcome = Outcome::ok;
  } catch (const wire::Malformed&) {
    result.outcome = Outcome::unknown;
  }
  co_return result;
}

net::Task<Result<std::vector<wire::ListedMachine>>> CloudClient::machines() {
  Result<std::vector<wire::ListedMachine>> result;
  std::string after;
  bool more = true;
  while (more) {
    Reply reply = co_await call("GET", wire::path::machine_page(after, constants::kMachineListPageSize), {},
                                RequestPriority::normal);
    if (reply.status != 200) co_return result;
    try {
      auto page = wire::parse_machine_page(reply.body);
      more = page.more && !page.machines.empty();
      for (auto& each : page.machines) result.value.push_back(std::move(each));
    } catch (const wire::Malformed&) {
      co_return result;
    }
    if (more) after = result.value.back().id.value;
  }
  result.outcome = Outcome::ok;
  co_return result;
}

net::Task<Result<std::vector<MachineId>>> CloudClient::rent(wire::ScaleOutRequest rental) {
  Result<std::vector<MachineId>> result;
  Reply reply = co_await call("POST", std::string(wire::path::kMachines), wire::encode(wire::to_json(rental)),
                              RequestPriority::high);
  if (reply.status == 400) result.outcome = Outcome::rejected;
  // An outage answers 503 too; only the stated error says that the request was looked at and refused.
  if (reply.status == 503 && reply.body.is_object() &&
      reply.body.value("error", wire::Json()) == "no capacity")
    result.outcome = Outcome::no_capacity;
  if (reply.status != 200) co_return result;
  try {
    result.value = wire::parse_machine_names(reply.body);
    result.outcome = Outcome::ok;
  } catch (const wire::Malformed&) {
    result.outcome = Outcome::unknown;
  }
  co_return result;
}

net::Task<Outcome> CloudClient::remove(std::vector<MachineId> names) {
  Reply reply = co_await call("POST", std::string(wire::path::kDelete),
                              wire::encode(wire::machine_names(names)), RequestPriority::high);
  if (reply.status == 400) co_return Outcome::rejected;
  co_return reply.status == 200 ? Outcome::ok : Outcome::unknown;
}

}  // namespace dockdyke::cloud
