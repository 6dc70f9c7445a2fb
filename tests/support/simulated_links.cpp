// Links between the simulated hosts: delivery of requests and responses, with faults.
#include "simulation.hpp"

namespace dockdyke::testing {

net::Address Simulation::address(const std::string& host) {
  const auto [found, added] =
      host_numbers_.try_emplace(host, static_cast<std::uint32_t>(host_numbers_.size() + 1));
  if (added) hosts_by_number_[found->second] = host;
  return {found->second, 1};
}

std::string Simulation::host_at(const net::Address& at) {
  const auto found = hosts_by_number_.find(at.ip);
  return found == hosts_by_number_.end() ? std::string() : found->second;
}

Delivery Simulation::plan_delivery(const std::string& from, const std::string& to,
                                   const std::string& target) {
  Delivery out;
  out.request_delay_s = random(0.001, 0.004);
  out.response_delay_s = random(0.001, 0.004);
  out.drop_request = !dropped_target.empty() && target == dropped_target;
  if (slow_target && target == slow_target->target) out.response_delay_s = slow_target->response_delay_s;
  std::erase_if(link_faults_, [&](const LinkFault& each) { return each.until <= loop.now(); });
  for (const auto& each : link_faults_) {
    if (!from.starts_with(each.from) || !to.starts_with(each.to)) continue;
    if (each.affected_fraction < 1 && random(0, 1) >= each.affected_fraction) continue;
    const double left_s = seconds_between(loop.now(), each.until);
    switch (each.kind) {
      case LinkFaultKind::refuse:
        out.refuse = true;
        break;
      case LinkFaultKind::drop_request:
        out.drop_request = true;
        break;
      case LinkFaultKind::drop_response:
        out.drop_response = true;
        break;
      case LinkFaultKind::delay_until_end:
        out.request_delay_s = std::max(out.request_delay_s, left_s);
        break;
      case LinkFaultKind::delay_randomly:
        out.request_delay_s += random(0, 0.5);
        out.response_delay_s += random(0, 0.5);
        break;
      case LinkFaultKind::duplicate_late:
        out.duplicate_delay_s = random(2, 2.5 * options_.config.worker_lease_s);
        break;
      case LinkFaultKind::apply_transaction_late:
        if (target != "/txn") break;
        out.request_delay_s = random(2, 12);
        out.drop_response = true;
        break;
    }
  }
  return out;
}

net::Task<std::optional<net::HttpMessage>> Simulation::send_request(std::string from, std::string to,
                                                                    std::string method, std::string target,
                                                                    std::string body, net::Duration timeout) {
  if (from.starts_with("dyke-")) trace_.request(elapsed_s(), from, to, method, target, body);
  Delivery delivery = plan_delivery(from, to, target);
  if (applies_late && target == "/txn" && applies_late(*wire::decode(body))) {
    constexpr double kLongestTransactionDelaySeconds = 12;
    delivery.request_delay_s = kLongestTransactionDelaySeconds;
    delivery.drop_response = true;
  }
  const auto deadline = loop.now() + timeout;
  const net::OneShot<net::HttpMessage> response(loop);
  if (delivery.duplicate_delay_s) {
    Delivery duplicate = delivery;
    duplicate.request_delay_s = *delivery.duplicate_delay_s;
    duplicate.drop_response = true;
    duplicate.copy = true;
    net::spawn(deliver(this, duplicate, from, to, method, target, body, response));
  }
  net::spawn(deliver(this, delivery, std::move(from), std::move(to), std::move(method), std::move(target),
                     std::move(body), response));
  std::optional<net::HttpMessage> received = co_await response.wait_until(deadline);
  co_return received;
}

net::Task<void> Simulation::deliver(Simulation* simulation, Delivery delivery, std::string from,
                                    std::string to, std::string method, std::string target, std::string body,
                                    net::OneShot<net::HttpMessage> response) {
  if (delivery.drop_request) co_return;
  co_await simulation->loop.sleep(net::seconds(delivery.request_delay_s));
  if (simulation->recording_requests_ && !delivery.copy && !delivery.refuse && !target.starts_with("/watch"))
    simulation->recorded_requests_.push_back({from, to, method, target, body});
  net::HttpMessage message;
  if (to.starts_with("n-")) {
    std::optional<net::HttpMessage> worker_response =
        co_await simulation->handle_at_worker(std::move(to), std::move(body));
    if (!worker_response) co_return;
    message = *std::move(worker_response);
  } else if (to == "store") {
    message = co_await simulation->handle_at_state_service(
        std::move(from), delivery.refuse, std::move(method), std::move(target), std::move(body));
  } else if (delivery.refuse) {
    message.status = to == "cloud" ? 503 : kConnectionRefused;
  } else if (to == "cloud") {
    message = co_await simulation->handle_at_cloud(std::move(target), std::move(body));
  } else {
    message = co_await simulation->handle_at_controller(std::move(to), std::move(method), std::move(target),
                                                        std::move(body));
  }
  if (delivery.drop_response) co_return;
  co_await simulation->loop.sleep(net::seconds(delivery.response_delay_s));
  response.set(std::move(message));
}

void Simulation::deliver_copies(double duration_s) {
  recording_requests_ = false;
  for (const auto& request : recorded_requests_) {
    Delivery delivery;
    delivery.request_delay_s = random(0, duration_s);
    delivery.drop_response = true;
    delivery.copy = true;
    net::spawn(deliver(this, delivery, request.from, request.to, request.method, request.target, request.body,
                       net::OneShot<net::HttpMessage>(loop)));
  }
}

net::Task<net::HttpMessage> Simulation::handle_at_controller(std::string to, std::string method,
                                                             std::string target, std::string body) {
  const ControllerSlot slot =
      controller_slots_.at(static_cast<std::size_t>(std::stoi(to.substr(to.find('-') + 1))));
  net::HttpMessage out;
  if (!slot.controller) {
    out.status = kConnectionRefused;
    co_return out;
  }
  if (slot.previous_version) {
    if (const auto rejection = previous_version_rejection(target, body)) {
      out.status = *rejection;
      co_return out;
    }
  }
  net::HttpMessage request;
  request.method = std::move(method);
  request.target = std::move(target);
  request.body = slot.previous_version ? hide_gang_kind(std::move(body)) : std::move(body);
  const bool internal = request.target.starts_with("/peer");
  const std::string request_target = request.target;
  net::HttpResponse response;
  if (internal) {
    response = co_await slot.controller->handle_internal(std::move(request));
  } else {
    response = co_await slot.controller->handle_public(std::move(request));
  }
  trace_.response(elapsed_s(), to, request_target, response);
  // If the process has crashed meanwhile, the connection is reset.
  out.status = ended_processes_.contains(slot.process) ? kConnectionRefused : response.status;
  out.body = std::move(response.body);
  co_return out;
}

net::Task<std::optional<net::HttpMessage>> Simulation::handle_at_worker(std::string to, std::string body) {
  const auto found =
      std::find_if(workers_.begin(), workers_.end(), [&](const auto& each) { return each->id == to; });
  if (found == workers_.end()) co_return std::nullopt;
  const auto worker = *found;
  while (worker->hung_until > loop.now() && !worker->terminated_at)
    co_await loop.sleep(worker->hung_until - loop.now());
  if (worker->terminated_at) co_return std::nullopt;
  const auto request = wire::decode(body);
  const auto token = request->at("warrant").get<std::uint64_t>();
  if (token < worker->token || request->at("watch").get<std::uint64_t>() != worker->incarnation ||
      lease_expired(*worker))
    co_return msgpack_response(409, Json::object());
  worker->token = token;
  ++worker->sequence_number;
  ++direct_command_requests_;
  for (const auto& command : request->at("orders")) {
    EXPECT_EQ(command.at("verb"), "kill") << "start commands are sent in heartbeat responses only";
    execute_command(*worker, command);
  }
  co_return msgpack_response(200, Json::object());
}

}  // namespace dockdyke::testing
