// The fakes of state service and cloud as hosts of the simulated deployment.
#include "simulation.hpp"

namespace dockdyke::testing {

bool Simulation::refused_by_store(const std::string& from) {
  return std::any_of(link_faults_.begin(), link_faults_.end(), [&](const LinkFault& each) {
    return each.link == Link::refuse && each.to == "store" && from.starts_with(each.from) &&
           each.until > loop.now();
  });
}

net::Task<net::HttpMessage> Simulation::at_store(std::string from, bool refuse, std::string method,
                                                 std::string target, std::string body) {
  const bool watch = target.starts_with("/watch");
  if (refuse && !watch) co_return reply(503, Json::object());
  const bool older = is_older(from);
  const auto handle = [&] {
    return older ? older_store_call(method, target, body) : store.handle(method, target, body);
  };
  if (!watch) co_return handle();
  // An open watch stays open while its caller is refused.
  const auto until = loop.now() + std::chrono::milliseconds(std::stoll(query(target, "hold_ms")));
  for (;;) {
    if (!refused_by_store(from)) {
      net::HttpMessage answer = handle();
      if (loop.now() >= until || !wire::decode(answer.body)->at("log").empty()) co_return answer;
    }
    co_await loop.sleep(net::seconds(0.05));
  }
}

net::Task<void> Simulation::keep_store_time(Simulation* simulation) {
  for (;;) {
    // In an outage no lease ends.
    if (simulation->loop.now() >= simulation->outage_until_) simulation->store.pass(simulation->loop.now());
    simulation->run_gangs();
    simulation->check_cancelled();
    if (simulation->calm_) simulation->check_waiting();
    co_await simulation->loop.sleep(net::seconds(simulation->options_.step_s / 2));
  }
}

net::Task<net::HttpMessage> Simulation::at_cloud(std::string target, std::string body) {
  co_await loop.sleep(net::seconds(random(0.1, 0.3)));
  if (cloud_out) co_return reply(503, {{"error", "trouble"}});
  if (target == "/flavors") co_return reply(200, wire::to_json(std::vector<wire::MachineType>{cloud_type_}));
  if (target.starts_with("/machines?")) co_return machine_list(query(target, "since"));
  const auto request = wire::decode(body);
  if (target == "/machines/delete") {
    for (const auto& name : (*request)["dykes"])
      for (auto& worker : workers_)
        if (worker->id == name && !worker->gone_at) {
          worker->gone_at = loop.now();
          worker->tasks.clear();
        }
    co_return reply(200, Json::object());
  }
  Json& known = rentals_[(*request)["charter"]];
  if (known.is_null()) {
    Json names = rent(*request);
    if (names.empty()) co_return reply(503, {{"error", "no capacity"}});
    known = {{"dykes", std::move(names)}};
  }
  co_return reply(200, known);
}

Json Simulation::rent(const Json& request) {
  Json names = Json::array();
  const std::string zone = request["polder"];
  const bool spot = request["ebbtide"];
  std::size_t there = 0;
  for (const auto& worker : workers_)
    there += !worker->gone_at && worker->zone == zone && worker->spot == spot;
  for (std::uint64_t i = 0; i < request["count"].get<std::uint64_t>() && there < capacity; ++i, ++there) {
    auto worker = std::make_shared<SimWorker>();
    worker->id = "n-" + std::to_string(100000 + workers_.size());
    worker->zone = zone;
    worker->spot = spot;
    worker->rented_at = loop.now();
    worker->up_at = loop.now() + net::seconds(cloud_type_.boot_s * random(0.6, 1.5));
    worker->lease_from = worker->up_at;
    worker->heartbeat_at = worker->up_at;
    worker->controller = pick(seats_.size());
    workers_.push_back(worker);
    names.push_back(worker->id);
    net::spawn(live(this, worker));
  }
  return names;
}

net::HttpMessage Simulation::machine_list(const std::string& since) {
  const double lag_s = random(0, 2) * options_.config.machine_list_lag_s;
  const auto then = loop.now() - net::seconds(lag_s);
  Json list = Json::array();
  for (const auto& worker : workers_) {
    if (worker->id <= since || worker->rented_at > then) continue;
    const bool gone = worker->gone_at && *worker->gone_at <= then;
    const bool lingers = gone && worker->died && seconds_between(*worker->gone_at, then) <= 30;
    if (gone && !worker->died) continue;
    const char* state = worker->up_at > then ? "booting" : !gone || lingers ? "running" : "failed";
    list.push_back({{"id", worker->id},
                    {"endpoint", "10.1.0.1:9000"},
                    {"build", cloud_type_.name},
                    {"polder", worker->zone},
                    {"ebbtide", worker->spot},
                    {"stage", state},
                    {"held_s", seconds_between(worker->rented_at, then)}});
  }
  return reply(200, {{"dykes", list}, {"more", false}});
}

}  // namespace dockdyke::testing
