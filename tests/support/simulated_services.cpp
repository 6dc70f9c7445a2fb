// The fake state service and the fake cloud in the simulated deployment.
#include "simulation.hpp"

namespace dockdyke::testing {

bool Simulation::state_service_refuses(const std::string& from) {
  return std::any_of(link_faults_.begin(), link_faults_.end(), [&](const LinkFault& each) {
    return each.kind == LinkFaultKind::refuse && each.to == "store" && from.starts_with(each.from) &&
           each.until > loop.now();
  });
}

net::Task<net::HttpMessage> Simulation::handle_at_state_service(std::string from, bool refuse,
                                                                std::string method, std::string target,
                                                                std::string body) {
  const bool watch = target.starts_with("/watch");
  if (refuse && !watch) co_return msgpack_response(503, Json::object());
  const bool previous_version = runs_previous_version(from);
  const auto handle = [&] {
    return previous_version ? call_state_service_as_previous_version(method, target, body)
                            : state_service.handle(method, target, body);
  };
  if (!watch) co_return handle();
  // A watch is not refused, but gets no response while the caller's requests are refused.
  const auto deadline =
      loop.now() + std::chrono::milliseconds(std::stoll(query_parameter(target, "hold_ms")));
  for (;;) {
    if (!state_service_refuses(from)) {
      net::HttpMessage response = handle();
      if (loop.now() >= deadline || !wire::decode(response.body)->at("log").empty()) co_return response;
    }
    co_await loop.sleep(net::seconds(0.05));
  }
}

net::Task<void> Simulation::run_periodic_updates(Simulation* simulation) {
  for (;;) {
    // No lease expires during an outage.
    if (simulation->loop.now() >= simulation->outage_until_)
      simulation->state_service.advance_to(simulation->loop.now());
    simulation->step_gangs();
    simulation->check_cancelled_tasks();
    if (simulation->faults_over_) simulation->check_waiting_jobs();
    co_await simulation->loop.sleep(net::seconds(simulation->options_.step_s / 2));
  }
}

net::Task<net::HttpMessage> Simulation::handle_at_cloud(std::string target, std::string body) {
  co_await loop.sleep(net::seconds(random(0.1, 0.3)));
  if (cloud_unavailable) co_return msgpack_response(503, {{"error", "trouble"}});
  if (target == "/flavors")
    co_return msgpack_response(200, wire::to_json(std::vector<wire::MachineType>{cloud_type_}));
  if (target.starts_with("/machines?")) co_return list_machines(query_parameter(target, "since"));
  const auto request = wire::decode(body);
  if (target == "/machines/delete") {
    for (const auto& name : (*request)["dykes"])
      for (auto& worker : workers_)
        if (worker->id == name && !worker->terminated_at) {
          worker->terminated_at = loop.now();
          worker->tasks.clear();
        }
    co_return msgpack_response(200, Json::object());
  }
  Json& response = scale_out_responses_[(*request)["charter"]];
  if (response.is_null()) {
    Json machine_names = create_machines(*request);
    if (machine_names.empty()) co_return msgpack_response(503, {{"error", "no capacity"}});
    response = {{"dykes", std::move(machine_names)}};
  }
  co_return msgpack_response(200, response);
}

Json Simulation::create_machines(const Json& request) {
  Json machine_names = Json::array();
  const std::string zone = request["polder"];
  const bool spot = request["ebbtide"];
  std::size_t existing = 0;
  for (const auto& worker : workers_)
    existing += !worker->terminated_at && worker->zone == zone && worker->spot == spot;
  for (std::uint64_t i = 0; i < request["count"].get<std::uint64_t>() && existing < max_machines_per_offering;
       ++i, ++existing) {
    auto worker = std::make_shared<SimWorker>();
    worker->id = "n-" + std::to_string(100000 + workers_.size());
    worker->zone = zone;
    worker->spot = spot;
    worker->created_at = loop.now();
    worker->booted_at = loop.now() + net::seconds(cloud_type_.boot_s * random(0.6, 1.5));
    worker->lease_started_at = worker->booted_at;
    worker->next_heartbeat_at = worker->booted_at;
    worker->controller = random_index(controller_slots_.size());
    workers_.push_back(worker);
    machine_names.push_back(worker->id);
    net::spawn(run_worker(this, worker));
  }
  return machine_names;
}

net::HttpMessage Simulation::list_machines(const std::string& since) {
  const double lag_s = random(0, 2) * options_.config.machine_list_lag_s;
  const auto listed_at = loop.now() - net::seconds(lag_s);
  Json list = Json::array();
  for (const auto& worker : workers_) {
    if (worker->id <= since || worker->created_at > listed_at) continue;
    const bool terminated = worker->terminated_at && *worker->terminated_at <= listed_at;
    const bool crash_undetected =
        terminated && worker->crashed && seconds_between(*worker->terminated_at, listed_at) <= 30;
    if (terminated && !worker->crashed) continue;
    const char* state = worker->booted_at > listed_at     ? "booting"
                        : !terminated || crash_undetected ? "running"
                                                          : "failed";
    list.push_back({{"id", worker->id},
                    {"endpoint", "10.1.0.1:9000"},
                    {"build", cloud_type_.name},
                    {"polder", worker->zone},
                    {"ebbtide", worker->spot},
                    {"stage", state},
                    {"held_s", seconds_between(worker->created_at, listed_at)}});
  }
  return msgpack_response(200, {{"dykes", list}, {"more", false}});
}

}  // namespace dockdyke::testing
