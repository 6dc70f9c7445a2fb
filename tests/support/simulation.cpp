// What a scenario can do to the simulated deployment, and how it starts.
#include "simulation.hpp"

namespace dockdyke::testing {

Simulation::Simulation(Options options) : options_(std::move(options)), random_(options_.seed) {
  // LOG_LEVEL shows the controllers' own words, as in the program.
  const char* level = std::getenv("LOG_LEVEL");
  spdlog::set_level(level ? spdlog::level::from_str(level) : spdlog::level::off);
  cloud_type_.boot_s = 6;
  store.limits.writes_per_second = options_.writes_per_second;
  for (int i = 0; i < options_.controllers; ++i) start_controller(i);
  net::spawn(keep_store_time(this));
}

void Simulation::run(double s) {
  const auto end = loop.now() + net::seconds(s);
  while (loop.now() < end) {
    loop.run_once(end - loop.now());
    if (::testing::Test::HasFailure()) return;  // the first breach tells most
  }
}

bool Simulation::run_until(const std::function<bool()>& condition, double most_s) {
  const auto end = loop.now() + net::seconds(most_s);
  while (!condition()) {
    if (loop.now() >= end || ::testing::Test::HasFailure()) return false;
    loop.run_once(std::min<net::Duration>(net::seconds(0.1), end - loop.now()));
  }
  return true;
}

void Simulation::submit(wire::JobSpec spec, std::optional<double> cancel_after_s) {
  const std::string id = spec.id.value;
  jobs_[id].spec = std::move(spec);
  net::spawn(be_user(this, id));
  if (cancel_after_s) {
    auto timer = [this, id] { cancel(id); };
    loop.call_at(loop.now() + net::seconds(*cancel_after_s), timer);
  }
}

void Simulation::cancel(const std::string& id, std::optional<int> controller) {
  if (jobs_.at(id).cancel_asked) return;
  jobs_.at(id).cancel_asked = true;
  net::spawn(call_off(this, id, controller));
}

void Simulation::inject_fault(std::string from, std::string to, Link link, double for_s, double share) {
  link_faults_.push_back({std::move(from), std::move(to), link, loop.now() + net::seconds(for_s), share});
}

void Simulation::lower_limits() {
  spdlog::debug("simulation t={:.1f} store lowers its limits", time());
  store.limits = {
      options_.config.max_value_bytes, options_.config.max_transaction_changes,
      options_.writes_per_second_later > 0 ? options_.writes_per_second_later : options_.writes_per_second};
}

void Simulation::outage(double for_s) {
  spdlog::debug("simulation t={:.1f} store out for {:.1f}", time(), for_s);
  inject_fault("", "store", Link::refuse, for_s);
  const auto end = loop.now() + net::seconds(for_s);
  outage_until_ = std::max(outage_until_, end);
  loop.call_at(end, [this] {
    if (loop.now() >= outage_until_) store.outage_over();
  });
}

void Simulation::crash(int number, double back_s) {
  auto& seat = seats_.at(static_cast<std::size_t>(number));
  if (!seat.controller) return;
  spdlog::debug("simulation t={:.1f} {} ends, back in {:.1f}", time(), host(number), back_s);
  ended_.insert(seat.process);
  seat.controller = nullptr;
  loop.call_at(loop.now() + net::seconds(back_s), [this, number] { start_controller(number); });
}

std::optional<int> Simulation::leader() const {
  // The one that the store names; another may think that it leads.
  auto key = store.keys.find(store::kLeaderKey);
  if (key == store.keys.end()) return std::nullopt;
  const std::string host = key->second.value.at("host");
  return std::stoi(host.substr(host.find('-') + 1));
}

std::vector<SimWorker*> Simulation::workers_up() {
  std::vector<SimWorker*> out;
  for (auto& worker : workers_)
    if (!worker->gone_at && worker->up_at <= loop.now()) out.push_back(worker.get());
  return out;
}

std::vector<SimWorker*> Simulation::workers_of(const std::string& id) {
  std::vector<SimWorker*> out;
  for (auto* worker : workers_up())
    for (const auto& task : worker->tasks)
      if (task.ref.job.value == id && task.on_machine()) {
        out.push_back(worker);
        break;
      }
  return out;
}

void Simulation::hang(SimWorker& worker, double for_s) {
  spdlog::debug("simulation t={:.1f} {} hangs for {:.1f}", time(), worker.id, for_s);
  worker.hung_until = loop.now() + net::seconds(for_s);
}

void Simulation::die(SimWorker& worker) {
  worker.died = true;
  worker.gone_at = loop.now();
  worker.tasks.clear();
}

std::size_t Simulation::tasks_on_machines(const std::string& id) {
  std::size_t count = 0;
  for (auto* worker : workers_up())
    for (const auto& task : worker->tasks) count += task.ref.job.value == id && task.on_machine();
  return count;
}

void Simulation::give_notice(SimWorker& worker, double termination_notice_s) {
  worker.taken_at = loop.now() + net::seconds(termination_notice_s);
  worker.changed = true;
  const auto timer = [this, id = worker.id] {
    for (auto& each : workers_)
      if (each->id == id && !each->gone_at) {
        each->gone_at = loop.now();
        each->tasks.clear();
      }
  };
  loop.call_at(worker.taken_at, timer);
}

void Simulation::expect_all_served(double target_s) {
  const auto calm_since = loop.now();
  calm_ = true;
  const bool all_over = run_until(
      [&] {
        return std::all_of(jobs_.begin(), jobs_.end(), [](const auto& each) {
          const SimJob& job = each.second;
          return job.refused || job.done_told_at || job.cancelled_at;
        });
      },
      target_s);
  if (::testing::Test::HasFailure()) return;
  EXPECT_TRUE(all_over) << "some job is still unfinished " << target_s
                        << " s after the last trouble: " << unfinished();
  for (const auto& [id, job] : jobs_) {
    if (!job.accepted_at) continue;
    EXPECT_LT(seconds_between(calm_since, job.answered_at.value_or(calm_since)), 75 + target_s);
  }
}

void Simulation::expect_nothing_left(double target_s) {
  const bool gone = run_until(
      [&] {
        return std::none_of(store.keys.begin(), store.keys.end(), [](const auto& each) {
          return each.first.starts_with("open/") || each.first.starts_with("linger/") ||
                 each.first.starts_with("gang/");
        });
      },
      target_s);
  if (::testing::Test::HasFailure() || gone) return;
  for (const auto& [key, entry] : store.keys)
    if (key.starts_with("open/") || key.starts_with("linger/") || key.starts_with("gang/"))
      ADD_FAILURE() << "left: " << key;
}

std::string Simulation::unfinished() const {
  std::string out;
  for (const auto& [id, job] : jobs_)
    if (!job.refused && !job.done_told_at && !job.cancelled_at)
      out += id + " " + std::to_string(job.completed.size()) + "/" + std::to_string(job.spec.task_count) +
             " done" + places_of(id) + "  ";
  return out;
}

void Simulation::expect_answered_lately() {
  for (const auto& [id, job] : jobs_) {
    if (!job.accepted_at || !job.answered_at || job.done_told_at || job.cancelled_at) continue;
    if (seconds_between(*job.answered_at, loop.now()) > 75)
      ADD_FAILURE() << "forgotten: no question about " << id << " was answered for 75 s";
  }
}

constexpr int kRefused = -1;  // no response but a refused connection

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
  settings.state_service_announced_write_rps = options_.writes_per_second_later;
  settings.cluster = options_.config;
  const bool older = options_.older.contains(number);
  if (older) {
    // It writes by the limits that are in force when it starts, and knows of no later ones.
    settings.state_service_announced_write_rps = 0;
    settings.cluster.max_value_bytes = FakeStateLimits{}.max_value_bytes;
    settings.cluster.max_transaction_changes = FakeStateLimits{}.max_transaction_changes;
  }
  const std::size_t process = ++processes_;
  transports_.push_back(std::make_unique<Transport>(*this, settings.host, process));
  controllers_.push_back(std::make_unique<app::Controller>(loop, *transports_.back(), settings));
  if (seats_.size() <= static_cast<std::size_t>(number)) seats_.resize(static_cast<std::size_t>(number) + 1);
  seats_[static_cast<std::size_t>(number)] = {controllers_.back().get(), process, older};
  controllers_.back()->start(false);
}

}  // namespace dockdyke::testing
