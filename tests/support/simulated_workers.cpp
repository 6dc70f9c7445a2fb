// The fakes of workers: sessions, leases, reports, tasks and gangs as PROTOCOL describes them.
#include "simulation.hpp"

namespace dockdyke::testing {

net::Task<void> Simulation::live(Simulation* simulation, std::shared_ptr<SimWorker> worker) {
  auto& loop = simulation->loop;
  co_await loop.sleep(worker->up_at - loop.now());
  while (!worker->gone_at) {
    if (worker->hung_until <= loop.now()) simulation->step(*worker, worker);
    co_await loop.sleep(net::seconds(simulation->options_.step_s));
  }
}

void Simulation::step(SimWorker& worker, const std::shared_ptr<SimWorker>& shared) {
  const auto now = loop.now();
  if (lease_over(worker)) {
    spdlog::debug("simulation t={:.1f} {} lost its lease with {} tasks", time(), worker.id,
                  worker.tasks.size());
    worker.tasks.clear();
    ++worker.incarnation;
    worker.lease_from = now;
    worker.changed = true;
  }
  for (auto& task : worker.tasks) {
    if (task.state == wire::TaskState::fetching_image && task.image_at <= now) {
      if (worker.results.contains(task.ref)) {
        task.state = wire::TaskState::exited;
        task.cause = "done";
      } else if (is_gang(task)) {
        task.state = wire::TaskState::waiting_for_gang;
        task.ends_at = now + net::seconds(options_.config.gang_assembly_timeout_s);
        gangs_.try_emplace({task.ref.job.value, task.attempt});
        started(worker, task);
      } else {
        task.state = wire::TaskState::running;
        task.ends_at =
            now + net::seconds(jobs_.at(task.ref.job.value).spec.estimated_run_s * random(0.8, 1.2));
        started(worker, task);
      }
      worker.changed = true;
    } else if (task.state == wire::TaskState::waiting_for_gang && task.ends_at <= now) {
      task.state = wire::TaskState::exited;
      task.cause = "alone";
      worker.changed = true;
    } else if (task.state == wire::TaskState::checkpointing && !is_gang(task) && task.ends_at <= now) {
      task.state = wire::TaskState::exited;
      task.cause = "halted";
      task.stored = true;
      worker.changed = true;
    } else if (task.state == wire::TaskState::running && !is_gang(task) && task.ends_at <= now) {
      task.state = wire::TaskState::exited;
      task.cause = "done";
      worker.results.insert(task.ref);
      jobs_.at(task.ref.job.value).completed.insert(task.ref.index);
      worker.changed = true;
    }
  }
  if (worker.in_flight) return;
  const bool due =
      now >= worker.heartbeat_at || (worker.changed && seconds_between(worker.sent_at, now) >= 0.5);
  if (due) net::spawn(heartbeat(this, shared));
}

bool Simulation::is_gang(const HeldTask& task) const {
  return jobs_.at(task.ref.job.value).spec.kind == wire::JobKind::gang;
}

std::vector<std::pair<SimWorker*, HeldTask*>> Simulation::members(const std::string& id,
                                                                  std::uint64_t attempt) {
  std::vector<std::pair<SimWorker*, HeldTask*>> out;
  for (auto& worker : workers_) {
    if (worker->gone_at || worker->hung_until > loop.now() || lease_over(*worker)) continue;
    for (auto& task : worker->tasks)
      if (task.ref.job.value == id && task.attempt == attempt) out.emplace_back(worker.get(), &task);
  }
  return out;
}

void Simulation::run_gangs() {
  for (auto& [key, gang] : gangs_) {
    const auto& [id, attempt] = key;
    SimJob& job = jobs_.at(id);
    auto tasks = members(id, attempt);
    const auto in_state = [&](wire::TaskState state) {
      return static_cast<std::size_t>(std::count_if(
          tasks.begin(), tasks.end(), [&](const auto& each) { return each.second->state == state; }));
    };
    if (!gang.started && in_state(wire::TaskState::waiting_for_gang) == job.spec.task_count) {
      gang.started = true;
      gang.ends_at = loop.now() + net::seconds(job.spec.estimated_run_s * random(0.8, 1.2));
      ++gang_starts_;
      for (auto& [worker, task] : tasks) change(*worker, *task, wire::TaskState::running, "");
      continue;
    }
    if (!gang.started) continue;
    if (gang.told_at && !gang.aborted_at) save_gang(gang, tasks, job.spec);
    if (gang.told_at && !gang.aborted_at) continue;
    const bool whole = in_state(wire::TaskState::running) == job.spec.task_count;
    if (whole && loop.now() >= gang.ends_at) {
      for (auto& [worker, task] : tasks) {
        change(*worker, *task, wire::TaskState::exited, "done");
        worker->results.insert(task->ref);
        job.completed.insert(task->ref.index);
      }
    }
    if (!whole && !gang.aborted_at) gang.aborted_at = loop.now();
    if (!gang.aborted_at) continue;
    for (auto& [worker, task] : tasks)
      if ((task->state == wire::TaskState::running || task->state == wire::TaskState::checkpointing) &&
          seconds_between(*gang.aborted_at, loop.now()) >=
              random(0.3, 1) * options_.config.gang_peer_timeout_s)
        change(*worker, *task, wire::TaskState::exited, "mates_gone");
  }
}

void Simulation::save_gang(SimGang& gang, std::vector<std::pair<SimWorker*, HeldTask*>>& tasks,
                           const wire::JobSpec& spec) {
  const auto saving =
      static_cast<std::size_t>(std::count_if(tasks.begin(), tasks.end(), [](const auto& each) {
        return each.second->state == wire::TaskState::checkpointing;
      }));
  const double since_s = seconds_between(*gang.told_at, loop.now());
  if (saving == spec.task_count && since_s >= spec.checkpoint_duration_s) {
    ++gang_saves_;
    gang.saved = true;
    for (auto& [worker, task] : tasks) {
      change(*worker, *task, wire::TaskState::exited, "halted");
      task->stored = true;
    }
  }
  if (!gang.saved && since_s > options_.config.gang_peer_timeout_s) gang.aborted_at = loop.now();
}

void Simulation::change(SimWorker& worker, HeldTask& task, wire::TaskState state, std::string cause) {
  task.state = state;
  task.cause = std::move(cause);
  worker.changed = true;
}

bool Simulation::lease_over(const SimWorker& worker) const {
  return seconds_between(worker.lease_from, loop.now()) > options_.config.worker_lease_s;
}

const char* Simulation::spelled(wire::TaskState state) {
  switch (state) {
    case wire::TaskState::fetching_image:
      return "pulling";
    case wire::TaskState::running:
      return "running";
    case wire::TaskState::checkpointing:
      return "saving";
    case wire::TaskState::waiting_for_gang:
      return "waiting";
    case wire::TaskState::unknown:
    case wire::TaskState::exited:
      break;
  }
  return "exited";
}

net::Task<void> Simulation::heartbeat(Simulation* simulation, std::shared_ptr<SimWorker> worker) {
  auto& loop = simulation->loop;
  worker->in_flight = true;
  worker->changed = false;
  worker->sent_at = loop.now();
  const auto sent_at = loop.now();
  const auto incarnation = worker->incarnation;
  Json tasks = Json::array();
  for (const auto& task : worker->tasks) {
    Json each{{"piece", wire::to_string(task.ref)}, {"try", task.attempt}, {"stage", spelled(task.state)}};
    if (task.state == wire::TaskState::exited) each["cause"] = task.cause;
    if (task.stored) each["stored"] = true;
    tasks.push_back(std::move(each));
  }
  Json notice = nullptr;
  if (worker->taken_at > loop.now()) notice = seconds_between(loop.now(), worker->taken_at);
  const Json body{{"dyke", worker->id},
                  {"endpoint", simulation->address(worker->id).text()},
                  {"build", simulation->cloud_type_.name},
                  {"polder", worker->zone},
                  {"ebbtide", worker->spot},
                  {"watch", worker->incarnation},
                  {"tally", ++worker->sequence_number},
                  {"warrant", worker->token},
                  {"warning_s", notice},
                  {"pieces", std::move(tasks)}};
  constexpr double kPatience = 4;
  std::optional<net::HttpMessage> answer =
      co_await simulation->exchange(worker->id, host(static_cast<int>(worker->controller)), "POST",
                                    "/v1/report", wire::encode(body), net::seconds(kPatience));
  // A machine that hangs takes it up when it goes on, unless that is too late.
  while (worker->hung_until > loop.now() && !worker->gone_at)
    co_await loop.sleep(worker->hung_until - loop.now());
  if (seconds_between(sent_at, loop.now()) > kPatience) answer.reset();
  worker->in_flight = false;
  spdlog::debug("simulation t={:.1f} {} session {} report {} token {} to {}: {} {}", simulation->time(),
                worker->id, incarnation, worker->sequence_number, worker->token, worker->controller,
                answer ? answer->status : 0,
                answer && !answer->body.empty() ? wire::decode(answer->body)->dump() : "");
  const double period_s = simulation->options_.config.heartbeat_interval_s;
  worker->heartbeat_at = sent_at + net::seconds(period_s * simulation->random(0.75, 1.25));
  if (worker->gone_at) co_return;
  if (!answer || (answer->status != 200 && answer->status != 421)) {
    worker->controller = (worker->controller + 1) % simulation->seats_.size();
    worker->heartbeat_at = loop.now() + net::seconds(1);
    co_return;
  }
  const auto content =
      answer->body.empty() ? std::optional<Json>(Json::object()) : wire::decode(answer->body);
  if (answer->status == 421) {
    const std::string named = content->value("harbour", std::string());
    if (named.empty() || named == host(static_cast<int>(worker->controller))) {
      worker->controller = (worker->controller + 1) % simulation->seats_.size();
      worker->heartbeat_at = loop.now() + net::seconds(1);
    } else {
      worker->controller = static_cast<std::size_t>(std::stoi(named.substr(named.find('-') + 1)));
      worker->heartbeat_at = loop.now() + net::seconds(simulation->random(0, 0.5));
    }
    co_return;
  }
  const std::uint64_t token = content->value("warrant", std::uint64_t{0});
  if (token < worker->token || token == 0 || incarnation != worker->incarnation ||
      simulation->lease_over(*worker))
    co_return;
  if (token > worker->token) simulation->note_higher_token(*worker);
  worker->token = token;
  worker->lease_from = sent_at;
  for (const auto& command : content->at("orders")) simulation->obey(*worker, command);
  simulation->check_renewal(*worker);
}

void Simulation::note_higher_token(SimWorker& worker) const {
  const bool counted_lately =
      worker.token_reported_at != net::TimePoint{} &&
      seconds_between(worker.token_reported_at, loop.now()) < options_.config.worker_lease_s / 2;
  if (counted_lately) return;
  worker.token_reported_at = loop.now();
  worker.changed = true;
}

void Simulation::stop_task(HeldTask& task, double leeway_s) {
  const auto& spec = jobs_.at(task.ref.job.value).spec;
  if (task.state == wire::TaskState::exited) return;
  if (task.state == wire::TaskState::checkpointing && leeway_s > 0) return;
  const bool saves = task.state == wire::TaskState::running && spec.checkpoint_interval_s > 0 &&
                     leeway_s >= spec.checkpoint_duration_s;
  if (saves && is_gang(task)) {
    auto& gang = gangs_.at({task.ref.job.value, task.attempt});
    if (!gang.told_at) gang.told_at = loop.now();
  }
  task.state = saves ? wire::TaskState::checkpointing : wire::TaskState::exited;
  if (saves) task.ends_at = loop.now() + net::seconds(spec.checkpoint_duration_s);
  if (!saves) task.cause = "halted";
}

void Simulation::obey(SimWorker& worker, const Json& command) {
  const std::string kind = command.at("verb");
  const auto ref = wire::task_id_from_string(command.at("piece").get<std::string>());
  const auto attempt = command.at("try").get<std::uint64_t>();
  ASSERT_TRUE(ref && jobs_.contains(ref->job.value)) << "invented: " << command.dump();
  auto held = std::find_if(worker.tasks.begin(), worker.tasks.end(),
                           [&](const HeldTask& each) { return each.ref == *ref && each.attempt == attempt; });
  worker.changed = true;
  if (kind == "forget") {
    if (held != worker.tasks.end() && held->state == wire::TaskState::exited) worker.tasks.erase(held);
    return;
  }
  if (kind == "kill") {
    if (held != worker.tasks.end()) stop_task(*held, command.at("leeway_s").get<double>());
    return;
  }
  if (held != worker.tasks.end()) return;
  HeldTask task{
      *ref, attempt, wire::TaskState::fetching_image, {}, loop.now() + net::seconds(random(0.2, 1.5)), {}};
  wire::Resources used;
  bool busy = false;
  for (const auto& each : worker.tasks) {
    if (each.state == wire::TaskState::exited) continue;
    used += jobs_.at(each.ref.job.value).spec.task_resources;
    busy = busy || each.ref == *ref;
  }
  wire::Resources left = cloud_type_.size;
  left -= used;
  if (busy || !jobs_.at(ref->job.value).spec.task_resources.fits_into(left)) {
    task.state = wire::TaskState::exited;
    task.cause = busy ? "busy" : "no_room";
  }
  worker.tasks.push_back(std::move(task));
}

}  // namespace dockdyke::testing
