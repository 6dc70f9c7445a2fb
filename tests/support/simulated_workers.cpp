// Simulated workers: incarnations, leases, heartbeats, tasks and gangs as PROTOCOL describes them.
#include "simulation.hpp"

namespace dockdyke::testing {

net::Task<void> Simulation::run_worker(Simulation* simulation, std::shared_ptr<SimWorker> worker) {
  auto& loop = simulation->loop;
  co_await loop.sleep(worker->booted_at - loop.now());
  while (!worker->terminated_at) {
    if (worker->hung_until <= loop.now()) simulation->step_worker(*worker, worker);
    co_await loop.sleep(net::seconds(simulation->options_.step_s));
  }
}

void Simulation::step_worker(SimWorker& worker, const std::shared_ptr<SimWorker>& shared_worker) {
  const auto now = loop.now();
  if (lease_expired(worker)) {
    spdlog::debug("simulation t={:.1f} the lease of {} expired with {} tasks", elapsed_s(), worker.id,
                  worker.tasks.size());
    worker.tasks.clear();
    ++worker.incarnation;
    worker.lease_started_at = now;
    worker.status_changed = true;
  }
  for (auto& task : worker.tasks) {
    if (task.state == wire::TaskState::fetching_image && task.image_ready_at <= now) {
      if (worker.completed_tasks.contains(task.ref)) {
        task.state = wire::TaskState::exited;
        task.cause = "done";
      } else if (is_gang(task)) {
        task.state = wire::TaskState::waiting_for_gang;
        task.ends_at = now + net::seconds(options_.config.gang_assembly_timeout_s);
        gangs_.try_emplace({task.ref.job.value, task.attempt});
        check_task_start(worker, task);
      } else {
        task.state = wire::TaskState::running;
        task.ends_at =
            now + net::seconds(jobs_.at(task.ref.job.value).spec.estimated_run_s * random(0.8, 1.2));
        check_task_start(worker, task);
      }
      worker.status_changed = true;
    } else if (task.state == wire::TaskState::waiting_for_gang && task.ends_at <= now) {
      task.state = wire::TaskState::exited;
      task.cause = "alone";
      worker.status_changed = true;
    } else if (task.state == wire::TaskState::checkpointing && !is_gang(task) && task.ends_at <= now) {
      task.state = wire::TaskState::exited;
      task.cause = "halted";
      task.checkpoint_written = true;
      worker.status_changed = true;
    } else if (task.state == wire::TaskState::running && !is_gang(task) && task.ends_at <= now) {
      task.state = wire::TaskState::exited;
      task.cause = "done";
      worker.completed_tasks.insert(task.ref);
      jobs_.at(task.ref.job.value).completed_tasks.insert(task.ref.index);
      worker.status_changed = true;
    }
  }
  if (worker.heartbeat_in_flight) return;
  const bool due = now >= worker.next_heartbeat_at ||
                   (worker.status_changed && seconds_between(worker.heartbeat_sent_at, now) >= 0.5);
  if (due) net::spawn(send_heartbeat(this, shared_worker));
}

bool Simulation::is_gang(const SimTask& task) const {
  return jobs_.at(task.ref.job.value).spec.kind == wire::JobKind::gang;
}

std::vector<std::pair<SimWorker*, SimTask*>> Simulation::gang_tasks_on_responsive_workers(
    const std::string& id, std::uint64_t attempt) {
  std::vector<std::pair<SimWorker*, SimTask*>> out;
  for (auto& worker : workers_) {
    if (worker->terminated_at || worker->hung_until > loop.now() || lease_expired(*worker)) continue;
    for (auto& task : worker->tasks)
      if (task.ref.job.value == id && task.attempt == attempt) out.emplace_back(worker.get(), &task);
  }
  return out;
}

void Simulation::step_gangs() {
  for (auto& [key, gang] : gangs_) {
    const auto& [id, attempt] = key;
    SimJob& job = jobs_.at(id);
    auto tasks = gang_tasks_on_responsive_workers(id, attempt);
    const auto in_state = [&](wire::TaskState state) {
      return static_cast<std::size_t>(std::count_if(
          tasks.begin(), tasks.end(), [&](const auto& each) { return each.second->state == state; }));
    };
    if (!gang.started && in_state(wire::TaskState::waiting_for_gang) == job.spec.task_count) {
      gang.started = true;
      gang.ends_at = loop.now() + net::seconds(job.spec.estimated_run_s * random(0.8, 1.2));
      ++gang_starts_;
      for (auto& [worker, task] : tasks) set_task_state(*worker, *task, wire::TaskState::running, "");
      continue;
    }
    if (!gang.started) continue;
    if (gang.checkpoint_requested_at && !gang.aborted_at) step_gang_checkpoint(gang, tasks, job.spec);
    if (gang.checkpoint_requested_at && !gang.aborted_at) continue;
    const bool all_running = in_state(wire::TaskState::running) == job.spec.task_count;
    if (all_running && loop.now() >= gang.ends_at) {
      for (auto& [worker, task] : tasks) {
        set_task_state(*worker, *task, wire::TaskState::exited, "done");
        worker->completed_tasks.insert(task->ref);
        job.completed_tasks.insert(task->ref.index);
      }
    }
    if (!all_running && !gang.aborted_at) gang.aborted_at = loop.now();
    if (!gang.aborted_at) continue;
    for (auto& [worker, task] : tasks)
      if ((task->state == wire::TaskState::running || task->state == wire::TaskState::checkpointing) &&
          seconds_between(*gang.aborted_at, loop.now()) >=
              random(0.3, 1) * options_.config.gang_peer_timeout_s)
        set_task_state(*worker, *task, wire::TaskState::exited, "mates_gone");
  }
}

void Simulation::step_gang_checkpoint(SimGang& gang, std::vector<std::pair<SimWorker*, SimTask*>>& tasks,
                                      const wire::JobSpec& spec) {
  const auto checkpointing_tasks =
      static_cast<std::size_t>(std::count_if(tasks.begin(), tasks.end(), [](const auto& each) {
        return each.second->state == wire::TaskState::checkpointing;
      }));
  const double elapsed_since_request_s = seconds_between(*gang.checkpoint_requested_at, loop.now());
  if (checkpointing_tasks == spec.task_count && elapsed_since_request_s >= spec.checkpoint_duration_s) {
    ++gang_checkpoints_;
    gang.checkpointed = true;
    for (auto& [worker, task] : tasks) {
      set_task_state(*worker, *task, wire::TaskState::exited, "halted");
      task->checkpoint_written = true;
    }
  }
  if (!gang.checkpointed && elapsed_since_request_s > options_.config.gang_peer_timeout_s)
    gang.aborted_at = loop.now();
}

void Simulation::set_task_state(SimWorker& worker, SimTask& task, wire::TaskState state, std::string cause) {
  task.state = state;
  task.cause = std::move(cause);
  worker.status_changed = true;
}

bool Simulation::lease_expired(const SimWorker& worker) const {
  return seconds_between(worker.lease_started_at, loop.now()) > options_.config.worker_lease_s;
}

const char* Simulation::state_name(wire::TaskState state) {
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

net::Task<void> Simulation::send_heartbeat(Simulation* simulation, std::shared_ptr<SimWorker> worker) {
  auto& loop = simulation->loop;
  worker->heartbeat_in_flight = true;
  worker->status_changed = false;
  worker->heartbeat_sent_at = loop.now();
  const auto sent_at = loop.now();
  const auto incarnation = worker->incarnation;
  Json tasks = Json::array();
  for (const auto& task : worker->tasks) {
    Json each{{"piece", wire::to_string(task.ref)}, {"try", task.attempt}, {"stage", state_name(task.state)}};
    if (task.state == wire::TaskState::exited) each["cause"] = task.cause;
    if (task.checkpoint_written) each["stored"] = true;
    tasks.push_back(std::move(each));
  }
  Json termination_notice_s = nullptr;
  if (worker->reclaimed_at > loop.now())
    termination_notice_s = seconds_between(loop.now(), worker->reclaimed_at);
  const Json body{{"dyke", worker->id},
                  {"endpoint", simulation->address(worker->id).text()},
                  {"build", simulation->cloud_type_.name},
                  {"polder", worker->zone},
                  {"ebbtide", worker->spot},
                  {"watch", worker->incarnation},
                  {"tally", ++worker->sequence_number},
                  {"warrant", worker->token},
                  {"warning_s", termination_notice_s},
                  {"pieces", std::move(tasks)}};
  constexpr double kHeartbeatTimeoutSeconds = 4;
  std::optional<net::HttpMessage> response = co_await simulation->send_request(
      worker->id, host(static_cast<int>(worker->controller)), "POST", "/v1/report", wire::encode(body),
      net::seconds(kHeartbeatTimeoutSeconds));
  // A worker that hung meanwhile handles the response when it resumes, unless it has timed out.
  while (worker->hung_until > loop.now() && !worker->terminated_at)
    co_await loop.sleep(worker->hung_until - loop.now());
  if (seconds_between(sent_at, loop.now()) > kHeartbeatTimeoutSeconds) response.reset();
  worker->heartbeat_in_flight = false;
  spdlog::debug("simulation t={:.1f} {} incarnation {} heartbeat {} token {} to controller {}: {} {}",
                simulation->elapsed_s(), worker->id, incarnation, worker->sequence_number, worker->token,
                worker->controller, response ? response->status : 0,
                response && !response->body.empty() ? wire::decode(response->body)->dump() : "");
  const double period_s = simulation->options_.config.heartbeat_interval_s;
  worker->next_heartbeat_at = sent_at + net::seconds(period_s * simulation->random(0.75, 1.25));
  if (worker->terminated_at) co_return;
  if (!response || (response->status != 200 && response->status != 421)) {
    worker->controller = (worker->controller + 1) % simulation->controller_slots_.size();
    worker->next_heartbeat_at = loop.now() + net::seconds(1);
    co_return;
  }
  const auto decoded =
      response->body.empty() ? std::optional<Json>(Json::object()) : wire::decode(response->body);
  if (response->status == 421) {
    const std::string leader = decoded->value("harbour", std::string());
    if (leader.empty() || leader == host(static_cast<int>(worker->controller))) {
      worker->controller = (worker->controller + 1) % simulation->controller_slots_.size();
      worker->next_heartbeat_at = loop.now() + net::seconds(1);
    } else {
      worker->controller = static_cast<std::size_t>(std::stoi(leader.substr(leader.find('-') + 1)));
      worker->next_heartbeat_at = loop.now() + net::seconds(simulation->random(0, 0.5));
    }
    co_return;
  }
  const std::uint64_t token = decoded->value("warrant", std::uint64_t{0});
  if (token < worker->token || token == 0 || incarnation != worker->incarnation ||
      simulation->lease_expired(*worker))
    co_return;
  if (token > worker->token) simulation->note_token_change(*worker);
  worker->token = token;
  worker->lease_started_at = sent_at;
  for (const auto& command : decoded->at("orders")) simulation->execute_command(*worker, command);
  simulation->check_lease_renewal(*worker);
}

void Simulation::note_token_change(SimWorker& worker) const {
  const bool noted_recently =
      worker.token_change_noted_at != net::TimePoint{} &&
      seconds_between(worker.token_change_noted_at, loop.now()) < options_.config.worker_lease_s / 2;
  if (noted_recently) return;
  worker.token_change_noted_at = loop.now();
  worker.status_changed = true;
}

void Simulation::stop_task(SimTask& task, double leeway_s) {
  const auto& spec = jobs_.at(task.ref.job.value).spec;
  if (task.state == wire::TaskState::exited) return;
  if (task.state == wire::TaskState::checkpointing && leeway_s > 0) return;
  const bool writes_checkpoint = task.state == wire::TaskState::running && spec.checkpoint_interval_s > 0 &&
                                 leeway_s >= spec.checkpoint_duration_s;
  if (writes_checkpoint && is_gang(task)) {
    auto& gang = gangs_.at({task.ref.job.value, task.attempt});
    if (!gang.checkpoint_requested_at) gang.checkpoint_requested_at = loop.now();
  }
  task.state = writes_checkpoint ? wire::TaskState::checkpointing : wire::TaskState::exited;
  if (writes_checkpoint) task.ends_at = loop.now() + net::seconds(spec.checkpoint_duration_s);
  if (!writes_checkpoint) task.cause = "halted";
}

void Simulation::execute_command(SimWorker& worker, const Json& command) {
  const std::string verb = command.at("verb");
  const auto ref = wire::task_id_from_string(command.at("piece").get<std::string>());
  const auto attempt = command.at("try").get<std::uint64_t>();
  ASSERT_TRUE(ref && jobs_.contains(ref->job.value)) << "command for an unknown task: " << command.dump();
  auto existing = std::find_if(worker.tasks.begin(), worker.tasks.end(), [&](const SimTask& each) {
    return each.ref == *ref && each.attempt == attempt;
  });
  worker.status_changed = true;
  if (verb == "forget") {
    if (existing != worker.tasks.end() && existing->state == wire::TaskState::exited)
      worker.tasks.erase(existing);
    return;
  }
  if (verb == "kill") {
    if (existing != worker.tasks.end()) stop_task(*existing, command.at("leeway_s").get<double>());
    return;
  }
  if (existing != worker.tasks.end()) return;
  SimTask task{
      *ref, attempt, wire::TaskState::fetching_image, {}, loop.now() + net::seconds(random(0.2, 1.5)), {}};
  wire::Resources used;
  bool task_present = false;
  for (const auto& each : worker.tasks) {
    if (each.state == wire::TaskState::exited) continue;
    used += jobs_.at(each.ref.job.value).spec.task_resources;
    task_present = task_present || each.ref == *ref;
  }
  wire::Resources free = cloud_type_.size;
  free -= used;
  if (task_present || !jobs_.at(ref->job.value).spec.task_resources.fits_into(free)) {
    task.state = wire::TaskState::exited;
    task.cause = task_present ? "busy" : "no_room";
  }
  worker.tasks.push_back(std::move(task));
}

}  // namespace dockdyke::testing
