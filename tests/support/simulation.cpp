// Setup of the simulated deployment, and the actions and expectations of scenarios.
#include "simulation.hpp"

namespace dockdyke::testing {

Simulation::Simulation(SimulationOptions options) : options_(std::move(options)), random_(options_.seed) {
  // As in the program, LOG_LEVEL enables the controllers' log.
  const char* level = std::getenv("LOG_LEVEL");
  spdlog::set_level(level ? spdlog::level::from_str(level) : spdlog::level::off);
  cloud_type_.boot_s = 6;
  state_service.limits.writes_per_second = options_.writes_per_second;
  for (int i = 0; i < options_.controllers; ++i) start_controller(i);
  net::spawn(run_periodic_updates(this));
}

void Simulation::run(double duration_s) {
  const auto end = loop.now() + net::seconds(duration_s);
  while (loop.now() < end) {
    loop.run_once(end - loop.now());
    if (::testing::Test::HasFailure()) return;  // later failures would be consequences of it
  }
}

bool Simulation::run_until(const std::function<bool()>& condition, double timeout_s) {
  const auto end = loop.now() + net::seconds(timeout_s);
  while (!condition()) {
    if (loop.now() >= end || ::testing::Test::HasFailure()) return false;
    loop.run_once(std::min<net::Duration>(net::seconds(0.1), end - loop.now()));
  }
  return true;
}

void Simulation::submit(wire::JobSpec spec, std::optional<double> cancel_after_s) {
  const std::string id = spec.id.value;
  jobs_[id].spec = std::move(spec);
  net::spawn(run_user(this, id));
  if (cancel_after_s) {
    auto timer = [this, id] { cancel(id); };
    loop.call_at(loop.now() + net::seconds(*cancel_after_s), timer);
  }
}

void Simulation::cancel(const std::string& id, std::optional<int> controller) {
  if (jobs_.at(id).cancellation_requested) return;
  jobs_.at(id).cancellation_requested = true;
  net::spawn(cancel_until_confirmed(this, id, controller));
}

void Simulation::inject_fault(std::string from, std::string to, LinkFaultKind kind, double duration_s,
                              double affected_fraction) {
  link_faults_.push_back(
      {std::move(from), std::move(to), kind, loop.now() + net::seconds(duration_s), affected_fraction});
}

void Simulation::lower_state_service_limits() {
  spdlog::debug("simulation t={:.1f} state service lowers its limits", elapsed_s());
  state_service.limits = {options_.config.max_value_bytes, options_.config.max_transaction_changes,
                          options_.announced_writes_per_second > 0 ? options_.announced_writes_per_second
                                                                   : options_.writes_per_second};
}

void Simulation::start_state_service_outage(double duration_s) {
  spdlog::debug("simulation t={:.1f} state service unavailable for {:.1f} s", elapsed_s(), duration_s);
  inject_fault("", "store", LinkFaultKind::refuse, duration_s);
  const auto end = loop.now() + net::seconds(duration_s);
  outage_until_ = std::max(outage_until_, end);
  loop.call_at(end, [this] {
    if (loop.now() >= outage_until_) state_service.renew_all_leases();
  });
}

void Simulation::crash_controller(int number, double restart_after_s) {
  auto& slot = controller_slots_.at(static_cast<std::size_t>(number));
  if (!slot.controller) return;
  spdlog::debug("simulation t={:.1f} {} crashes, restarts in {:.1f} s", elapsed_s(), host(number),
                restart_after_s);
  ended_processes_.insert(slot.process);
  slot.controller = nullptr;
  loop.call_at(loop.now() + net::seconds(restart_after_s), [this, number] { start_controller(number); });
}

std::optional<int> Simulation::leader() const {
  // A superseded leader may still act, so the state service's record decides.
  auto key = state_service.keys.find(store::kLeaderKey);
  if (key == state_service.keys.end()) return std::nullopt;
  const std::string host = key->second.value.at("host");
  return std::stoi(host.substr(host.find('-') + 1));
}

std::vector<SimWorker*> Simulation::running_workers() {
  std::vector<SimWorker*> out;
  for (auto& worker : workers_)
    if (!worker->terminated_at && worker->booted_at <= loop.now()) out.push_back(worker.get());
  return out;
}

std::vector<SimWorker*> Simulation::workers_with_active_tasks(const std::string& id) {
  std::vector<SimWorker*> out;
  for (auto* worker : running_workers())
    for (const auto& task : worker->tasks)
      if (task.ref.job.value == id && task.is_active()) {
        out.push_back(worker);
        break;
      }
  return out;
}

void Simulation::hang_worker(SimWorker& worker, double duration_s) {
  spdlog::debug("simulation t={:.1f} {} hangs for {:.1f} s", elapsed_s(), worker.id, duration_s);
  worker.hung_until = loop.now() + net::seconds(duration_s);
}

void Simulation::crash_worker(SimWorker& worker) {
  worker.crashed = true;
  worker.terminated_at = loop.now();
  worker.tasks.clear();
}

std::size_t Simulation::active_task_count(const std::string& id) {
  std::size_t count = 0;
  for (auto* worker : running_workers())
    for (const auto& task : worker->tasks) count += task.ref.job.value == id && task.is_active();
  return count;
}

void Simulation::send_termination_notice(SimWorker& worker, double termination_notice_s) {
  worker.reclaimed_at = loop.now() + net::seconds(termination_notice_s);
  worker.status_changed = true;
  const auto timer = [this, id = worker.id] {
    for (auto& each : workers_)
      if (each->id == id && !each->terminated_at) {
        each->terminated_at = loop.now();
        each->tasks.clear();
      }
  };
  loop.call_at(worker.reclaimed_at, timer);
}

void Simulation::expect_all_jobs_finish(double timeout_s) {
  const auto faults_ended_at = loop.now();
  faults_over_ = true;
  const bool all_finished = run_until(
      [&] {
        return std::all_of(jobs_.begin(), jobs_.end(), [](const auto& each) {
          const SimJob& job = each.second;
          return job.rejected || job.completion_confirmed_at || job.cancellation_confirmed_at;
        });
      },
      timeout_s);
  if (::testing::Test::HasFailure()) return;
  EXPECT_TRUE(all_finished) << "some jobs are unfinished " << timeout_s
                            << " s after the last fault: " << describe_unfinished_jobs();
  for (const auto& [id, job] : jobs_) {
    if (!job.accepted_at) continue;
    EXPECT_LT(seconds_between(faults_ended_at, job.last_response_at.value_or(faults_ended_at)),
              75 + timeout_s);
  }
}

void Simulation::expect_no_leftover_records(double timeout_s) {
  const bool all_deleted = run_until(
      [&] {
        return std::none_of(state_service.keys.begin(), state_service.keys.end(), [](const auto& each) {
          return each.first.starts_with("open/") || each.first.starts_with("linger/") ||
                 each.first.starts_with("gang/");
        });
      },
      timeout_s);
  if (::testing::Test::HasFailure() || all_deleted) return;
  for (const auto& [key, entry] : state_service.keys)
    if (key.starts_with("open/") || key.starts_with("linger/") || key.starts_with("gang/"))
      ADD_FAILURE() << "leftover record: " << key;
}

std::string Simulation::describe_unfinished_jobs() const {
  std::string out;
  for (const auto& [id, job] : jobs_)
    if (!job.rejected && !job.completion_confirmed_at && !job.cancellation_confirmed_at)
      out += id + " " + std::to_string(job.completed_tasks.size()) + "/" +
             std::to_string(job.spec.task_count) + " tasks completed" + describe_task_locations(id) + "  ";
  return out;
}

void Simulation::expect_recent_responses() {
  for (const auto& [id, job] : jobs_) {
    if (!job.accepted_at || !job.last_response_at || job.completion_confirmed_at ||
        job.cancellation_confirmed_at)
      continue;
    if (seconds_between(*job.last_response_at, loop.now()) > 75)
      ADD_FAILURE() << "no request for " << id << " got a response for 75 s";
  }
}

void Simulation::start_controller(int number) {
  app::Settings settings;
  settings.host = host(number);
  settings.state_service_address = address("store");
  settings.cloud_address = address("cloud");
  for (int i = 0; i < options_.controllers; ++i)
    if (i != number) settings.peers.push_back({host(i), address(host(i))});
  settings.max_file_descriptors = 4000;
  settings.state_service_rps = 1000;
  settings.state_service_write_rps = options_.writes_per_second;
  settings.state_service_announced_write_rps = options_.announced_writes_per_second;
  settings.cluster = options_.config;
  const bool previous_version = options_.previous_version_controllers.contains(number);
  if (previous_version) {
    // The previous version knows only the initial limits.
    settings.state_service_announced_write_rps = 0;
    settings.cluster.max_value_bytes = FakeStateServiceLimits{}.max_value_bytes;
    settings.cluster.max_transaction_changes = FakeStateServiceLimits{}.max_transaction_changes;
  }
  const std::size_t process = ++process_count_;
  transports_.push_back(std::make_unique<Transport>(*this, settings.host, process));
  controllers_.push_back(std::make_unique<app::Controller>(loop, *transports_.back(), settings));
  if (controller_slots_.size() <= static_cast<std::size_t>(number))
    controller_slots_.resize(static_cast<std::size_t>(number) + 1);
  controller_slots_[static_cast<std::size_t>(number)] = {controllers_.back().get(), process,
                                                         previous_version};
  controllers_.back()->start(false);
}

}  // namespace dockdyke::testing
