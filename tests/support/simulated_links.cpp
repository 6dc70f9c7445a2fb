// Links between hosts: what becomes of a request on its way.
#include "simulation.hpp"

namespace dockdyke::testing {

net::Address Simulation::address(const std::string& host) {
  const auto [found, added] = numbers_.try_emplace(host, static_cast<std::uint32_t>(numbers_.size() + 1));
  if (added) hosts_[found->second] = host;
  return {found->second, 1};
}

std::string Simulation::host_at(const net::Address& at) {
  const auto found = hosts_.find(at.ip);
  return found == hosts_.end() ? std::string() : found->second;
}

Fate Simulation::fate(const std::string& from, const std::string& to, const std::string& target) {
  Fate out;
  out.request_s = random(0.001, 0.004);
  out.answer_s = random(0.001, 0.004);
  out.lose_request = !lost_target.empty() && target == lost_target;
  std::erase_if(link_faults_, [&](const LinkFault& each) { return each.until <= loop.now(); });
  for (const auto& each : link_faults_) {
    if (!from.starts_with(each.from) || !to.starts_with(each.to)) continue;
    if (each.share < 1 && random(0, 1) >= each.share) continue;
    const double left_s = seconds_between(loop.now(), each.until);
    switch (each.link) {
      case Link::refuse:
        out.refuse = true;
        break;
      case Link::lose_request:
        out.lose_request = true;
        break;
      case Link::lose_answer:
        out.lose_answer = true;
        break;
      case Link::hold:
        out.request_s = std::max(out.request_s, left_s);
        break;
      case Link::slow:
        out.request_s += random(0, 0.5);
        out.answer_s += random(0, 0.5);
        break;
      case Link::late_copy:
        out.copy_s = random(2, 2.5 * options_.config.worker_lease_s);
        break;
      case Link::late_write:
        if (target != "/txn") break;
        out.request_s = random(2, 12);
        out.lose_answer = true;
        break;
    }
  }
  return out;
}

net::Task<std::optional<net::HttpMessage>> Simulation::exchange(std::string from, std::string to,
                                                                std::string method, std::string target,
                                                                std::string body, net::Duration timeout) {
  if (from.starts_with("dyke-")) trace_.request(time(), from, to, method, target, body);
  const Fate fate = this->fate(from, to, target);
  const auto deadline = loop.now() + timeout;
  const net::OneShot<net::HttpMessage> answered(loop);
  if (fate.copy_s) {
    Fate late = fate;
    late.request_s = *fate.copy_s;
    late.lose_answer = true;
    net::spawn(carry(this, late, from, to, method, target, body, answered));
  }
  net::spawn(carry(this, fate, std::move(from), std::move(to), std::move(method), std::move(target),
                   std::move(body), answered));
  std::optional<net::HttpMessage> got = co_await answered.wait_until(deadline);
  co_return got;
}

net::Task<void> Simulation::carry(Simulation* simulation, Fate fate, std::string from, std::string to,
                                  std::string method, std::string target, std::string body,
                                  net::OneShot<net::HttpMessage> answered) {
  if (fate.lose_request) co_return;
  co_await simulation->loop.sleep(net::seconds(fate.request_s));
  net::HttpMessage answer;
  if (to.starts_with("n-")) {
    std::optional<net::HttpMessage> said = co_await simulation->at_worker(std::move(to), std::move(body));
    if (!said) co_return;
    answer = *std::move(said);
  } else if (to == "store") {
    answer = co_await simulation->at_store(std::move(from), fate.refuse, std::move(method), std::move(target),
                                           std::move(body));
  } else if (fate.refuse) {
    answer.status = to == "cloud" ? 503 : kRefused;
  } else if (to == "cloud") {
    answer = co_await simulation->at_cloud(std::move(target), std::move(body));
  } else {
    answer = co_await simulation->at_controller(std::move(to), std::move(method), std::move(target),
                                                std::move(body));
  }
  if (fate.lose_answer) co_return;
  co_await simulation->loop.sleep(net::seconds(fate.answer_s));
  answered.set(std::move(answer));
}

net::Task<net::HttpMessage> Simulation::at_controller(std::string to, std::string method, std::string target,
                                                      std::string body) {
  const Seat seat = seats_.at(static_cast<std::size_t>(std::stoi(to.substr(to.find('-') + 1))));
  net::HttpMessage out;
  if (!seat.controller) {
    out.status = kRefused;
    co_return out;
  }
  if (seat.older) {
    if (const auto refused = older_refusal(target, body)) {
      out.status = *refused;
      co_return out;
    }
  }
  net::HttpMessage request;
  request.method = std::move(method);
  request.target = std::move(target);
  request.body = seat.older ? foreign_to_older(std::move(body)) : std::move(body);
  const bool internal = request.target.starts_with("/peer");
  const std::string requested = request.target;
  net::HttpResponse response;
  if (internal) {
    response = co_await seat.controller->handle_internal(std::move(request));
  } else {
    response = co_await seat.controller->handle_public(std::move(request));
  }
  trace_.response(time(), to, requested, response);
  // The process may have ended meanwhile; then its connections are reset.
  out.status = ended_.contains(seat.process) ? kRefused : response.status;
  out.body = std::move(response.body);
  co_return out;
}

net::Task<std::optional<net::HttpMessage>> Simulation::at_worker(std::string to, std::string body) {
  const auto found =
      std::find_if(workers_.begin(), workers_.end(), [&](const auto& each) { return each->id == to; });
  if (found == workers_.end()) co_return std::nullopt;
  const auto worker = *found;
  while (worker->hung_until > loop.now() && !worker->gone_at)
    co_await loop.sleep(worker->hung_until - loop.now());
  if (worker->gone_at) co_return std::nullopt;
  const auto request = wire::decode(body);
  const auto token = request->at("warrant").get<std::uint64_t>();
  if (token < worker->token || request->at("watch").get<std::uint64_t>() != worker->incarnation ||
      lease_over(*worker))
    co_return reply(409, Json::object());
  worker->token = token;
  ++worker->sequence_number;
  ++direct_commands_;
  for (const auto& command : request->at("orders")) {
    EXPECT_EQ(command.at("verb"), "kill") << "starts go only in answers to reports";
    obey(*worker, command);
  }
  co_return reply(200, Json::object());
}

}  // namespace dockdyke::testing
