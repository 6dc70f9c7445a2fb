// A whole deployment in simulated time: controllers as they are, and fakes of store, cloud, workers and users
// that keep to PROTOCOL. Links can refuse, lose, hold, repeat and delay. Every answer and every start is
// checked against PROTOCOL's rules, whatever the story.
#pragma once

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <memory>
#include <random>

#include "app/node.hpp"
#include "cluster_fixture.hpp"
#include "core/room.hpp"
#include "fakes.hpp"

namespace dockdyke::testing {

inline double seconds_between(net::TimePoint from, net::TimePoint to) {
  return std::chrono::duration<double>(to - from).count();
}

// What a link does to the requests that go over it.
enum class Link {
  refuse,        // at once: 503 of the store or the cloud, a refused connection elsewhere
  lose_request,  // nothing arrives, and nothing comes back
  lose_answer,   // it arrives; the answer does not
  hold,          // it arrives when the trouble is over, and so does its answer
  slow,          // it takes up to a second
  late_copy,     // it arrives, and once more up to `late_s` later
  late_write,    // it gets no answer and is carried out 2 to 12 s later; transactions only
};

class World {
 public:
  struct Options {
    std::uint64_t seed = 1;
    int controllers = 3;
    core::Config config = cluster_config();
    double writes_per_second = 500;
    double writes_per_second_later = 0;  // announced; 0: nothing is
  };

  struct Trouble {
    std::string from;  // a host, or the start of its name; "" is any
    std::string to;
    Link link = Link::refuse;
    net::TimePoint until;
    double share = 1;
  };

  struct HeldTask {
    wire::TaskRef ref;
    std::uint64_t attempt = 0;
    wire::TaskState state = wire::TaskState::fetching;
    std::string cause;
    net::TimePoint image_at;
    net::TimePoint ends_at;
    bool stored = false;
    bool on_machine() const {
      return state == wire::TaskState::running || state == wire::TaskState::saving ||
             state == wire::TaskState::waiting;
    }
  };

  // A gang's attempt, from its first task that has its image.
  struct SimGang {
    bool started = false;
    net::TimePoint ends_at;
    std::optional<net::TimePoint> broken_at;  // some task was gone or hung after the start
    std::optional<net::TimePoint> told_at;    // the first was told to save
    bool saved = false;
  };

  struct SimWorker {
    std::string id;
    std::string zone;
    bool spot = false;
    net::TimePoint rented_at;
    net::TimePoint up_at;
    std::optional<net::TimePoint> gone_at;
    bool died = false;
    std::uint64_t session = 1;
    std::uint64_t sequence = 0;
    std::uint64_t token = 0;
    net::TimePoint lease_from;  // when the last answered report was sent
    net::TimePoint report_at;
    bool changed = false;
    net::TimePoint sent_at;
    bool in_flight = false;
    std::size_t controller = 0;
    net::TimePoint hung_until;
    net::TimePoint taken_at;  // by the cloud, as announced; the epoch: not announced
    std::vector<HeldTask> tasks;
    std::set<wire::TaskRef> results;  // completed here: exits with `done` when started again
  };

  struct SimJob {
    wire::JobSpec spec;
    std::optional<net::TimePoint> accepted_at;
    bool refused = false;
    bool cancel_asked = false;
    std::optional<net::TimePoint> cancelled_at;  // when a user was told
    std::optional<net::TimePoint> done_told_at;
    std::set<TaskIndex> completed;
    std::optional<net::TimePoint> answered_at;  // the last answered question about it
    std::optional<net::TimePoint> waits_since;  // beside room for it
  };

  explicit World(Options options) : options_(std::move(options)), random_(options_.seed) {
    // LOG_LEVEL shows the controllers' own words, as in the program.
    const char* level = std::getenv("LOG_LEVEL");
    spdlog::set_level(level ? spdlog::level::from_str(level) : spdlog::level::off);
    cloud_type_.boot_s = 6;
    store.limits.writes_per_second = options_.writes_per_second;
    for (int i = 0; i < options_.controllers; ++i) start_controller(i);
    net::spawn(keep_store_time(this));
  }

  // ---- What a story does ----------------------------------------------------------------------------------

  void run(double s) {
    const auto end = loop.now() + net::seconds(s);
    while (loop.now() < end) {
      loop.turn(end - loop.now());
      if (::testing::Test::HasFailure()) return;  // the first breach tells most
    }
  }
  bool run_until(const std::function<bool()>& condition, double most_s) {
    const auto end = loop.now() + net::seconds(most_s);
    while (!condition()) {
      if (loop.now() >= end || ::testing::Test::HasFailure()) return false;
      loop.turn(std::min<net::Duration>(net::seconds(0.1), end - loop.now()));
    }
    return true;
  }

  // A user submits it, asks about it every 3 s and, after `cancel_after_s`, calls it off.
  void submit(wire::JobSpec spec, std::optional<double> cancel_after_s = {}) {
    const std::string id = spec.id.value;
    jobs_[id].spec = std::move(spec);
    net::spawn(be_user(this, id));
    if (cancel_after_s) {
      auto timer = [this, id] { cancel(id); };
      loop.at(loop.now() + net::seconds(*cancel_after_s), timer);
    }
  }
  // Through this controller, or any.
  void cancel(const std::string& id, std::optional<int> controller = {}) {
    if (jobs_.at(id).cancel_asked) return;
    jobs_.at(id).cancel_asked = true;
    net::spawn(call_off(this, id, controller));
  }
  void ask_again(const std::string& id) { net::spawn(submit_again(this, id)); }

  void trouble(std::string from, std::string to, Link link, double for_s, double share = 1) {
    troubles_.push_back({std::move(from), std::move(to), link, loop.now() + net::seconds(for_s), share});
  }
  // The store puts the announced limits in force, without notice.
  void lower_limits() {
    spdlog::debug("world t={:.1f} store lowers its limits", time());
    store.limits = {
        options_.config.value_bytes, options_.config.txn_ops,
        options_.writes_per_second_later > 0 ? options_.writes_per_second_later : options_.writes_per_second};
  }
  void outage(double for_s) {
    spdlog::debug("world t={:.1f} store out for {:.1f}", time(), for_s);
    trouble("", "store", Link::refuse, for_s);
    const auto end = loop.now() + net::seconds(for_s);
    outage_until_ = std::max(outage_until_, end);
    loop.at(end, [this] {
      if (loop.now() >= outage_until_) store.outage_over();
    });
  }
  // Ends the process; it is back after `back_s` with nothing but its settings.
  void crash(int number, double back_s) {
    auto& seat = seats_.at(static_cast<std::size_t>(number));
    if (!seat.node) return;
    spdlog::debug("world t={:.1f} {} ends, back in {:.1f}", time(), host(number), back_s);
    ended_.insert(seat.process);
    seat.node = nullptr;
    loop.at(loop.now() + net::seconds(back_s), [this, number] { start_controller(number); });
  }
  std::optional<int> leader() const {
    // The one that the store names; another may think that it leads.
    auto key = store.keys.find(store::kLeaderKey);
    if (key == store.keys.end()) return std::nullopt;
    const std::string host = key->second.value.at("host");
    return std::stoi(host.substr(host.find('-') + 1));
  }
  static std::string host(int controller) { return "dyke-" + std::to_string(controller); }
  app::Node* node(int controller) { return seats_.at(static_cast<std::size_t>(controller)).node; }

  std::vector<SimWorker*> workers_up() {
    std::vector<SimWorker*> out;
    for (auto& worker : workers_)
      if (!worker->gone_at && worker->up_at <= loop.now()) out.push_back(worker.get());
    return out;
  }
  // Workers on which a task of this job is.
  std::vector<SimWorker*> workers_of(const std::string& id) {
    std::vector<SimWorker*> out;
    for (auto* worker : workers_up())
      for (const auto& task : worker->tasks)
        if (task.ref.job.value == id && task.on_machine()) {
          out.push_back(worker);
          break;
        }
    return out;
  }
  void hang(SimWorker& worker, double for_s) {
    spdlog::debug("world t={:.1f} {} hangs for {:.1f}", time(), worker.id, for_s);
    worker.hung_until = loop.now() + net::seconds(for_s);
  }
  void die(SimWorker& worker) {
    worker.died = true;
    worker.gone_at = loop.now();
    worker.tasks.clear();
  }
  std::size_t tasks_on_machines(const std::string& id) {
    std::size_t count = 0;
    for (auto* worker : workers_up())
      for (const auto& task : worker->tasks) count += task.ref.job.value == id && task.on_machine();
    return count;
  }
  const core::Config& config() const { return options_.config; }
  const SimJob& job(const std::string& id) const { return jobs_.at(id); }
  const std::map<std::string, SimJob>& all_jobs() const { return jobs_; }
  std::size_t starts() const { return starts_; }
  std::size_t gang_starts() const { return gang_starts_; }
  // Gangs all of whose tasks saved together.
  std::size_t gang_saves() const { return gang_saves_; }
  std::size_t direct_orders() const { return direct_orders_; }
  // The cloud takes the machine back in so many seconds, and its worker reports it.
  void give_notice(SimWorker& worker, double notice_s) {
    worker.taken_at = loop.now() + net::seconds(notice_s);
    worker.changed = true;
    const auto timer = [this, id = worker.id] {
      for (auto& each : workers_)
        if (each->id == id && !each->gone_at) {
          each->gone_at = loop.now();
          each->tasks.clear();
        }
    };
    loop.at(worker.taken_at, timer);
  }
  double random(double from, double to) { return std::uniform_real_distribution<double>(from, to)(random_); }
  std::size_t pick(std::size_t of) { return std::uniform_int_distribution<std::size_t>(0, of - 1)(random_); }

  // With all troubles over: every accepted job ends or was called off, and no question goes unanswered for 75
  // s.
  void expect_all_served(double within_s) {
    const auto calm_since = loop.now();
    calm_ = true;
    const bool all_over = run_until(
        [&] {
          return std::all_of(jobs_.begin(), jobs_.end(), [](const auto& each) {
            const SimJob& job = each.second;
            return job.refused || job.done_told_at || job.cancelled_at;
          });
        },
        within_s);
    if (::testing::Test::HasFailure()) return;
    EXPECT_TRUE(all_over) << "some job is still unfinished " << within_s
                          << " s after the last trouble: " << unfinished();
    for (const auto& [id, job] : jobs_) {
      if (!job.accepted_at) continue;
      EXPECT_LT(seconds_between(calm_since, job.answered_at.value_or(calm_since)), 75 + within_s);
    }
  }
  // Nothing of a job that is over stays in the store but its end.
  void expect_nothing_left(double within_s) {
    const bool gone = run_until(
        [&] {
          return std::none_of(store.keys.begin(), store.keys.end(), [](const auto& each) {
            return each.first.starts_with("open/") || each.first.starts_with("linger/") ||
                   each.first.starts_with("gang/");
          });
        },
        within_s);
    if (::testing::Test::HasFailure() || gone) return;
    for (const auto& [key, entry] : store.keys)
      if (key.starts_with("open/") || key.starts_with("linger/") || key.starts_with("gang/"))
        ADD_FAILURE() << "left: " << key;
  }
  std::string unfinished() const {
    std::string out;
    for (const auto& [id, job] : jobs_)
      if (!job.refused && !job.done_told_at && !job.cancelled_at)
        out += id + " " + std::to_string(job.completed.size()) + "/" + std::to_string(job.spec.tasks) +
               " done" + places_of(id) + "  ";
    return out;
  }
  void expect_answered_lately() {
    for (const auto& [id, job] : jobs_) {
      if (!job.accepted_at || !job.answered_at || job.done_told_at || job.cancelled_at) continue;
      if (seconds_between(*job.answered_at, loop.now()) > 75)
        ADD_FAILURE() << "forgotten: no question about " << id << " was answered for 75 s";
    }
  }

  net::Loop loop{net::Loop::Time::simulated};
  FakeState store;
  // Requests for this target never arrive.
  std::string lost_target;
  // The cloud answers nobody.
  bool cloud_out = false;
  std::size_t capacity = 12;  // machines in each zone and of each kind

 private:
  struct Seat {
    app::Node* node = nullptr;
    std::size_t process = 0;
  };
  struct Fate {
    double request_s = 0.002;
    double answer_s = 0.002;
    bool refuse = false;
    bool lose_request = false;
    bool lose_answer = false;
    std::optional<double> copy_s;
  };

  class Transport : public net::Transport {
   public:
    Transport(World& world, std::string host, std::size_t process)
        : world_(world), host_(std::move(host)), process_(process) {}
    net::Task<net::CallResult> call(net::Address to, std::string method, std::string target, std::string body,
                                    net::Duration timeout) override {
      if (world_.ended_.contains(process_)) co_await world_.loop.sleep(std::chrono::hours(100));
      net::CallResult result;
      std::optional<net::HttpMessage> got = co_await world_.exchange(
          host_, world_.host_at(to), std::move(method), std::move(target), std::move(body), timeout);
      if (world_.ended_.contains(process_)) co_await world_.loop.sleep(std::chrono::hours(100));
      if (got && got->status == kRefused) {
        result.never_sent = true;
      } else {
        result.response = std::move(got);
      }
      co_return result;
    }

   private:
    World& world_;
    std::string host_;
    std::size_t process_;
  };

  static constexpr int kRefused = -1;  // no response but a refused connection

  void start_controller(int number) {
    app::Settings settings;
    settings.host = host(number);
    settings.state = address("store");
    settings.cloud = address("cloud");
    for (int i = 0; i < options_.controllers; ++i)
      if (i != number) settings.siblings.push_back({host(i), address(host(i))});
    settings.state_rps = 1000;
    settings.state_write_rps = options_.writes_per_second;
    settings.state_write_rps_later = options_.writes_per_second_later;
    settings.cluster = options_.config;
    const std::size_t process = ++processes_;
    transports_.push_back(std::make_unique<Transport>(*this, settings.host, process));
    nodes_.push_back(std::make_unique<app::Node>(loop, *transports_.back(), settings));
    if (seats_.size() <= static_cast<std::size_t>(number))
      seats_.resize(static_cast<std::size_t>(number) + 1);
    seats_[static_cast<std::size_t>(number)] = {nodes_.back().get(), process};
    nodes_.back()->start(false);
  }

  // ---- Links ----------------------------------------------------------------------------------------------

  net::Address address(const std::string& host) {
    for (const auto& [number, name] : hosts_)
      if (name == host) return {number, 1};
    const auto number = static_cast<std::uint32_t>(hosts_.size() + 1);
    hosts_[number] = host;
    return {number, 1};
  }
  std::string host_at(const net::Address& at) {
    for (const auto& [number, name] : hosts_)
      if (net::Address{number, 1} == at) return name;
    return {};
  }

  Fate fate(const std::string& from, const std::string& to, const std::string& target) {
    Fate out;
    out.request_s = random(0.001, 0.004);
    out.answer_s = random(0.001, 0.004);
    out.lose_request = !lost_target.empty() && target == lost_target;
    std::erase_if(troubles_, [&](const Trouble& each) { return each.until <= loop.now(); });
    for (const auto& each : troubles_) {
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
          out.copy_s = random(2, 2.5 * options_.config.lease_s);
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

  net::Task<std::optional<net::HttpMessage>> exchange(std::string from, std::string to, std::string method,
                                                      std::string target, std::string body,
                                                      net::Duration timeout) {
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

  static net::Task<void> carry(World* world, Fate fate, std::string from, std::string to, std::string method,
                               std::string target, std::string body,
                               net::OneShot<net::HttpMessage> answered) {
    if (fate.lose_request) co_return;
    co_await world->loop.sleep(net::seconds(fate.request_s));
    net::HttpMessage answer;
    if (to.starts_with("n-")) {
      std::optional<net::HttpMessage> said = co_await world->at_worker(std::move(to), std::move(body));
      if (!said) co_return;
      answer = *std::move(said);
    } else if (to == "store") {
      answer = co_await world->at_store(std::move(from), fate.refuse, std::move(method), std::move(target),
                                        std::move(body));
    } else if (fate.refuse) {
      answer.status = to == "cloud" ? 503 : kRefused;
    } else if (to == "cloud") {
      answer = co_await world->at_cloud(std::move(target), std::move(body));
    } else {
      answer =
          co_await world->at_controller(std::move(to), std::move(method), std::move(target), std::move(body));
    }
    if (fate.lose_answer) co_return;
    co_await world->loop.sleep(net::seconds(fate.answer_s));
    answered.set(std::move(answer));
  }

  net::Task<net::HttpMessage> at_controller(std::string to, std::string method, std::string target,
                                            std::string body) {
    const Seat seat = seats_.at(static_cast<std::size_t>(std::stoi(to.substr(to.find('-') + 1))));
    net::HttpMessage out;
    if (!seat.node) {
      out.status = kRefused;
      co_return out;
    }
    net::HttpMessage request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.body = std::move(body);
    const bool internal = request.target.starts_with("/peer");
    net::HttpResponse response;
    if (internal) {
      response = co_await seat.node->handle_internal(std::move(request));
    } else {
      response = co_await seat.node->handle_public(std::move(request));
    }
    // The process may have ended meanwhile; then its connections are reset.
    out.status = ended_.contains(seat.process) ? kRefused : response.status;
    out.body = std::move(response.body);
    co_return out;
  }

  // A direct order. A machine that hangs carries it out when it goes on; one that is gone never answers.
  net::Task<std::optional<net::HttpMessage>> at_worker(std::string to, std::string body) {
    const auto found =
        std::find_if(workers_.begin(), workers_.end(), [&](const auto& each) { return each->id == to; });
    if (found == workers_.end()) co_return std::nullopt;
    const auto worker = *found;
    while (worker->hung_until > loop.now() && !worker->gone_at)
      co_await loop.sleep(worker->hung_until - loop.now());
    if (worker->gone_at) co_return std::nullopt;
    const auto request = wire::decode(body);
    const auto token = request->at("warrant").get<std::uint64_t>();
    if (token < worker->token || request->at("watch").get<std::uint64_t>() != worker->session ||
        lease_over(*worker))
      co_return reply(409, Json::object());
    worker->token = token;
    ++worker->sequence;
    ++direct_orders_;
    for (const auto& order : request->at("orders")) {
      EXPECT_EQ(order.at("verb"), "kill") << "starts go only in answers to reports";
      obey(*worker, order);
    }
    co_return reply(200, Json::object());
  }

  // ---- Store and cloud ------------------------------------------------------------------------------------

  bool refused_by_store(const std::string& from) {
    return std::any_of(troubles_.begin(), troubles_.end(), [&](const Trouble& each) {
      return each.link == Link::refuse && each.to == "store" && from.starts_with(each.from) &&
             each.until > loop.now();
    });
  }

  net::Task<net::HttpMessage> at_store(std::string from, bool refuse, std::string method, std::string target,
                                       std::string body) {
    const bool watch = target.starts_with("/watch");
    if (refuse && !watch) co_return reply(503, Json::object());
    if (!watch) co_return store.handle(method, target, body);
    // An open watch stays open while its caller is refused.
    const auto until = loop.now() + std::chrono::milliseconds(std::stoll(query(target, "hold_ms")));
    for (;;) {
      if (!refused_by_store(from)) {
        net::HttpMessage answer = store.handle(method, target, body);
        if (loop.now() >= until || !wire::decode(answer.body)->at("log").empty()) co_return answer;
      }
      co_await loop.sleep(net::seconds(0.05));
    }
  }

  static net::Task<void> keep_store_time(World* world) {
    for (;;) {
      // In an outage no lease ends.
      if (world->loop.now() >= world->outage_until_) world->store.pass(world->loop.now());
      world->run_gangs();
      world->check_cancelled();
      if (world->calm_) world->check_waiting();
      co_await world->loop.sleep(net::seconds(0.05));
    }
  }

  net::Task<net::HttpMessage> at_cloud(std::string target, std::string body) {
    co_await loop.sleep(net::seconds(random(0.1, 0.3)));
    if (cloud_out) co_return reply(503, {{"error", "trouble"}});
    if (target == "/flavors")
      co_return reply(200, wire::to_json(std::vector<wire::MachineType>{cloud_type_}));
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

  Json rent(const Json& request) {
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
      worker->report_at = worker->up_at;
      worker->controller = pick(seats_.size());
      workers_.push_back(worker);
      names.push_back(worker->id);
      net::spawn(live(this, worker));
    }
    return names;
  }

  net::HttpMessage machine_list(const std::string& since) {
    const double lag_s = random(0, 2) * options_.config.list_lag_s;
    const auto then = loop.now() - net::seconds(lag_s);
    Json list = Json::array();
    for (const auto& worker : workers_) {
      if (worker->id <= since || worker->rented_at > then) continue;
      const bool gone = worker->gone_at && *worker->gone_at <= then;
      const bool lingers = gone && worker->died && seconds_between(*worker->gone_at, then) <= 30;
      if (gone && !worker->died) continue;
      const char* stage = worker->up_at > then ? "booting" : !gone || lingers ? "running" : "failed";
      list.push_back({{"id", worker->id},
                      {"endpoint", "10.1.0.1:9000"},
                      {"build", cloud_type_.name},
                      {"polder", worker->zone},
                      {"ebbtide", worker->spot},
                      {"stage", stage},
                      {"held_s", seconds_between(worker->rented_at, then)}});
    }
    return reply(200, {{"dykes", list}, {"more", false}});
  }

  // ---- Workers --------------------------------------------------------------------------------------------

  static net::Task<void> live(World* world, std::shared_ptr<SimWorker> worker) {
    auto& loop = world->loop;
    co_await loop.sleep(worker->up_at - loop.now());
    while (!worker->gone_at) {
      if (worker->hung_until <= loop.now()) world->step(*worker, worker);
      co_await loop.sleep(net::seconds(0.1));
    }
  }

  void step(SimWorker& worker, const std::shared_ptr<SimWorker>& shared) {
    const auto now = loop.now();
    if (lease_over(worker)) {
      spdlog::debug("world t={:.1f} {} lost its lease with {} tasks", time(), worker.id, worker.tasks.size());
      worker.tasks.clear();
      ++worker.session;
      worker.lease_from = now;
      worker.changed = true;
    }
    for (auto& task : worker.tasks) {
      if (task.state == wire::TaskState::fetching && task.image_at <= now) {
        if (worker.results.contains(task.ref)) {
          task.state = wire::TaskState::exited;
          task.cause = "done";
        } else if (is_gang(task)) {
          task.state = wire::TaskState::waiting;
          task.ends_at = now + net::seconds(options_.config.gang_wait_s);
          gangs_.try_emplace({task.ref.job.value, task.attempt});
          started(worker, task);
        } else {
          task.state = wire::TaskState::running;
          task.ends_at = now + net::seconds(jobs_.at(task.ref.job.value).spec.estimate_s * random(0.8, 1.2));
          started(worker, task);
        }
        worker.changed = true;
      } else if (task.state == wire::TaskState::waiting && task.ends_at <= now) {
        task.state = wire::TaskState::exited;
        task.cause = "alone";
        worker.changed = true;
      } else if (task.state == wire::TaskState::saving && !is_gang(task) && task.ends_at <= now) {
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
        now >= worker.report_at || (worker.changed && seconds_between(worker.sent_at, now) >= 0.5);
    if (due) net::spawn(report(this, shared));
  }

  bool is_gang(const HeldTask& task) const {
    return jobs_.at(task.ref.job.value).spec.shape == wire::Shape::gang;
  }

  // The gang's tasks that are on machines which work on them.
  std::vector<std::pair<SimWorker*, HeldTask*>> members(const std::string& id, std::uint64_t attempt) {
    std::vector<std::pair<SimWorker*, HeldTask*>> out;
    for (auto& worker : workers_) {
      if (worker->gone_at || worker->hung_until > loop.now() || lease_over(*worker)) continue;
      for (auto& task : worker->tasks)
        if (task.ref.job.value == id && task.attempt == attempt) out.emplace_back(worker.get(), &task);
    }
    return out;
  }

  // Gangs start when the last task has its image, end together, and notice within `gang_peer_s` when one is
  // gone.
  void run_gangs() {
    for (auto& [key, gang] : gangs_) {
      const auto& [id, attempt] = key;
      SimJob& job = jobs_.at(id);
      auto tasks = members(id, attempt);
      const auto in_state = [&](wire::TaskState state) {
        return static_cast<std::size_t>(std::count_if(
            tasks.begin(), tasks.end(), [&](const auto& each) { return each.second->state == state; }));
      };
      if (!gang.started && in_state(wire::TaskState::waiting) == job.spec.tasks) {
        gang.started = true;
        gang.ends_at = loop.now() + net::seconds(job.spec.estimate_s * random(0.8, 1.2));
        ++gang_starts_;
        for (auto& [worker, task] : tasks) change(*worker, *task, wire::TaskState::running, "");
        continue;
      }
      if (!gang.started) continue;
      if (gang.told_at && !gang.broken_at) save_gang(gang, tasks, job.spec);
      if (gang.told_at && !gang.broken_at) continue;
      const bool whole = in_state(wire::TaskState::running) == job.spec.tasks;
      if (whole && loop.now() >= gang.ends_at) {
        for (auto& [worker, task] : tasks) {
          change(*worker, *task, wire::TaskState::exited, "done");
          worker->results.insert(task->ref);
          job.completed.insert(task->ref.index);
        }
      }
      if (!whole && !gang.broken_at) gang.broken_at = loop.now();
      if (!gang.broken_at) continue;
      for (auto& [worker, task] : tasks)
        if ((task->state == wire::TaskState::running || task->state == wire::TaskState::saving) &&
            seconds_between(*gang.broken_at, loop.now()) >= random(0.3, 1) * options_.config.gang_peer_s)
          change(*worker, *task, wire::TaskState::exited, "mates_gone");
    }
  }

  // All tasks told in time save and end together; one that is missing spoils it.
  void save_gang(SimGang& gang, std::vector<std::pair<SimWorker*, HeldTask*>>& tasks,
                 const wire::JobSpec& spec) {
    const auto saving =
        static_cast<std::size_t>(std::count_if(tasks.begin(), tasks.end(), [](const auto& each) {
          return each.second->state == wire::TaskState::saving;
        }));
    const double since_s = seconds_between(*gang.told_at, loop.now());
    if (saving == spec.tasks && since_s >= spec.save_s) {
      ++gang_saves_;
      gang.saved = true;
      for (auto& [worker, task] : tasks) {
        change(*worker, *task, wire::TaskState::exited, "halted");
        task->stored = true;
      }
    }
    if (!gang.saved && since_s > options_.config.gang_peer_s) gang.broken_at = loop.now();
  }

  static void change(SimWorker& worker, HeldTask& task, wire::TaskState state, std::string cause) {
    task.state = state;
    task.cause = std::move(cause);
    worker.changed = true;
  }

  // Of the worker's own clock; a machine that hangs past it runs nothing when it goes on.
  bool lease_over(const SimWorker& worker) const {
    return seconds_between(worker.lease_from, loop.now()) > options_.config.lease_s;
  }

  static const char* spelled(wire::TaskState state) {
    switch (state) {
      case wire::TaskState::fetching:
        return "pulling";
      case wire::TaskState::running:
        return "running";
      case wire::TaskState::saving:
        return "saving";
      case wire::TaskState::waiting:
        return "waiting";
      case wire::TaskState::unknown:
      case wire::TaskState::exited:
        break;
    }
    return "exited";
  }

  static net::Task<void> report(World* world, std::shared_ptr<SimWorker> worker) {
    auto& loop = world->loop;
    worker->in_flight = true;
    worker->changed = false;
    worker->sent_at = loop.now();
    const auto sent_at = loop.now();
    const auto session = worker->session;
    Json tasks = Json::array();
    for (const auto& task : worker->tasks) {
      Json each{{"piece", wire::spelled(task.ref)}, {"try", task.attempt}, {"stage", spelled(task.state)}};
      if (task.state == wire::TaskState::exited) each["cause"] = task.cause;
      if (task.stored) each["stored"] = true;
      tasks.push_back(std::move(each));
    }
    Json notice = nullptr;
    if (worker->taken_at > loop.now()) notice = seconds_between(loop.now(), worker->taken_at);
    const Json body{{"dyke", worker->id},
                    {"endpoint", world->address(worker->id).text()},
                    {"build", world->cloud_type_.name},
                    {"polder", worker->zone},
                    {"ebbtide", worker->spot},
                    {"watch", worker->session},
                    {"tally", ++worker->sequence},
                    {"warrant", worker->token},
                    {"warning_s", notice},
                    {"pieces", std::move(tasks)}};
    constexpr double kPatience = 4;
    std::optional<net::HttpMessage> answer =
        co_await world->exchange(worker->id, host(static_cast<int>(worker->controller)), "POST", "/v1/report",
                                 wire::encode(body), net::seconds(kPatience));
    // A machine that hangs takes it up when it goes on, unless that is too late.
    while (worker->hung_until > loop.now() && !worker->gone_at)
      co_await loop.sleep(worker->hung_until - loop.now());
    if (seconds_between(sent_at, loop.now()) > kPatience) answer.reset();
    worker->in_flight = false;
    spdlog::debug("world t={:.1f} {} session {} report {} token {} to {}: {} {}", world->time(), worker->id,
                  session, worker->sequence, worker->token, worker->controller, answer ? answer->status : 0,
                  answer && !answer->body.empty() ? wire::decode(answer->body)->dump() : "");
    const double period_s = world->options_.config.report_s;
    worker->report_at = sent_at + net::seconds(period_s * world->random(0.75, 1.25));
    if (worker->gone_at) co_return;
    if (!answer || (answer->status != 200 && answer->status != 421)) {
      worker->controller = (worker->controller + 1) % world->seats_.size();
      worker->report_at = loop.now() + net::seconds(1);
      co_return;
    }
    const auto content =
        answer->body.empty() ? std::optional<Json>(Json::object()) : wire::decode(answer->body);
    if (answer->status == 421) {
      const std::string named = content->value("harbour", std::string());
      if (named.empty() || named == host(static_cast<int>(worker->controller))) {
        worker->controller = (worker->controller + 1) % world->seats_.size();
        worker->report_at = loop.now() + net::seconds(1);
      } else {
        worker->controller = static_cast<std::size_t>(std::stoi(named.substr(named.find('-') + 1)));
        worker->report_at = loop.now() + net::seconds(world->random(0, 0.5));
      }
      co_return;
    }
    const std::uint64_t token = content->value("warrant", std::uint64_t{0});
    if (token < worker->token || token == 0 || session != worker->session || world->lease_over(*worker))
      co_return;
    if (token > worker->token) worker->changed = true;
    worker->token = token;
    worker->lease_from = sent_at;
    for (const auto& order : content->at("orders")) world->obey(*worker, order);
  }

  // A running task that can save does so if there is time; any other ends at once.
  void stop_task(HeldTask& task, double leeway_s) {
    const auto& spec = jobs_.at(task.ref.job.value).spec;
    if (task.state == wire::TaskState::exited) return;
    if (task.state == wire::TaskState::saving && leeway_s > 0) return;
    const bool saves =
        task.state == wire::TaskState::running && spec.checkpoint_s > 0 && leeway_s >= spec.save_s;
    if (saves && is_gang(task)) {
      auto& gang = gangs_.at({task.ref.job.value, task.attempt});
      if (!gang.told_at) gang.told_at = loop.now();
    }
    task.state = saves ? wire::TaskState::saving : wire::TaskState::exited;
    if (saves) task.ends_at = loop.now() + net::seconds(spec.save_s);
    if (!saves) task.cause = "halted";
  }

  void obey(SimWorker& worker, const Json& order) {
    const std::string verb = order.at("verb");
    const auto ref = wire::parse_task(order.at("piece").get<std::string>());
    const auto attempt = order.at("try").get<std::uint64_t>();
    ASSERT_TRUE(ref && jobs_.contains(ref->job.value)) << "invented: " << order.dump();
    auto held = std::find_if(worker.tasks.begin(), worker.tasks.end(), [&](const HeldTask& each) {
      return each.ref == *ref && each.attempt == attempt;
    });
    worker.changed = true;
    if (verb == "forget") {
      if (held != worker.tasks.end() && held->state == wire::TaskState::exited) worker.tasks.erase(held);
      return;
    }
    if (verb == "kill") {
      if (held != worker.tasks.end()) stop_task(*held, order.at("leeway_s").get<double>());
      return;
    }
    if (held != worker.tasks.end()) return;
    HeldTask task{*ref, attempt, wire::TaskState::fetching, {}, loop.now() + net::seconds(random(0.2, 1.5)),
                  {}};
    wire::Resources used;
    bool busy = false;
    for (const auto& each : worker.tasks) {
      if (each.state == wire::TaskState::exited) continue;
      used += jobs_.at(each.ref.job.value).spec.each;
      busy = busy || each.ref == *ref;
    }
    wire::Resources left = cloud_type_.size;
    left -= used;
    if (busy || !jobs_.at(ref->job.value).spec.each.fits_into(left)) {
      task.state = wire::TaskState::exited;
      task.cause = busy ? "busy" : "no_room";
    }
    worker.tasks.push_back(std::move(task));
  }

  // ---- Users ----------------------------------------------------------------------------------------------

  net::Task<std::optional<net::HttpMessage>> ask(std::string method, std::string target, std::string body,
                                                 double patience_s, std::optional<int> controller) {
    std::optional<net::HttpMessage> got;
    for (int attempt = 0; attempt < 3; ++attempt) {
      const int to = controller ? *controller : static_cast<int>(pick(seats_.size()));
      got = co_await exchange("user", host(to), method, target, body, net::seconds(patience_s));
      if (!got || got->status != kRefused) break;
    }
    if (got && got->status == kRefused) got.reset();
    co_return got;
  }

  // Checks what a user is told of a job. An answer that others overtook on its way may be older than they
  // are.
  void told(const std::string& id, const net::HttpMessage& answer, net::TimePoint asked_at) {
    SimJob& job = jobs_.at(id);
    job.answered_at = loop.now();
    if (!job.cancelled_at && answer.body.find("cancelled") != std::string::npos)
      spdlog::debug("world t={:.1f} {} is told cancelled", time(), id);
    const auto body = wire::decode(answer.body);
    ASSERT_TRUE(body && body->contains("stage"));
    const std::string stage = body->at("stage");
    if (job.done_told_at && *job.done_told_at < asked_at && stage != "done")
      ADD_FAILURE() << "went_back: " << id << " is " << stage;
    if (job.cancelled_at && *job.cancelled_at < asked_at && stage != "cancelled")
      ADD_FAILURE() << "went_back: " << id << " is " << stage;
    if (stage == "cancelled") {
      EXPECT_TRUE(job.cancel_asked) << "went_back: nobody cancelled " << id;
      if (job.done_told_at) ADD_FAILURE() << "went_back: " << id << " is cancelled and done";
      if (!job.cancelled_at) job.cancelled_at = loop.now();
    }
    if (stage == "done") {
      EXPECT_EQ(job.completed.size(), job.spec.tasks) << "not_done: " << id;
      if (job.cancelled_at) ADD_FAILURE() << "went_back: " << id << " is done and cancelled";
      if (!job.done_told_at) job.done_told_at = loop.now();
    }
    if (!job.accepted_at) job.accepted_at = loop.now();
  }

  static net::Task<void> be_user(World* world, std::string id) {
    SimJob& job = world->jobs_.at(id);
    const std::string body = wire::encode(wire::to_json(job.spec));
    while (!job.accepted_at && !job.refused) {
      const auto asked_at = world->loop.now();
      std::optional<net::HttpMessage> answer = co_await world->ask("POST", "/work", body, 5, std::nullopt);
      if (answer && (answer->status == 200 || answer->status == 201)) world->told(id, *answer, asked_at);
      if (answer && (answer->status == 400 || answer->status == 422)) job.refused = true;
      if (!job.accepted_at && !job.refused) co_await world->loop.sleep(net::seconds(1));
    }
    while (!job.refused && !job.done_told_at && !job.cancelled_at) {
      co_await world->loop.sleep(net::seconds(3));
      const auto asked_at = world->loop.now();
      std::optional<net::HttpMessage> answer = co_await world->ask("GET", "/work/" + id, {}, 2, std::nullopt);
      if (!answer) continue;
      if (answer->status == 404) ADD_FAILURE() << "forgotten: " << id;
      if (answer->status == 200) world->told(id, *answer, asked_at);
    }
  }

  static net::Task<void> call_off(World* world, std::string id, std::optional<int> controller) {
    SimJob& job = world->jobs_.at(id);
    while (!job.accepted_at && !job.refused) co_await world->loop.sleep(net::seconds(0.1));
    while (!job.refused && !job.cancelled_at && !job.done_told_at) {
      const auto asked_at = world->loop.now();
      std::optional<net::HttpMessage> answer =
          co_await world->ask("POST", "/work/" + id + "/withdraw", {}, 5, controller);
      if (answer && answer->status == 404) ADD_FAILURE() << "forgotten: " << id;
      if (answer && answer->status == 200) {
        world->told(id, *answer, asked_at);
        break;
      }
      co_await world->loop.sleep(net::seconds(1));
    }
  }

  static net::Task<void> submit_again(World* world, std::string id) {
    SimJob& job = world->jobs_.at(id);
    if (!job.accepted_at) co_return;
    const auto asked_at = world->loop.now();
    const std::string body = wire::encode(wire::to_json(job.spec));
    std::optional<net::HttpMessage> answer = co_await world->ask("POST", "/work", body, 5, std::nullopt);
    if (!answer) co_return;
    if (answer->status == 400 || answer->status == 422 || answer->status == 201)
      ADD_FAILURE() << "forgotten: a repeated submission of " << id << " got " << answer->status;
    if (answer->status == 200) world->told(id, *answer, asked_at);
  }

  // ---- The rules ------------------------------------------------------------------------------------------

  // Where its tasks are, to tell why a job does not end.
  std::string places_of(const std::string& id) const {
    std::string out;
    for (const auto& worker : workers_)
      for (const auto& task : worker->tasks)
        if (task.ref.job.value == id)
          out += ", " + wire::spelled(task.ref) + " try " + std::to_string(task.attempt) + " " +
                 spelled(task.state) + " on " + worker->id + (worker->gone_at ? " (gone)" : "");
    return out;
  }

  double time() const { return seconds_between(began_, loop.now()); }

  // Whether the task may still be running there. A worker that hangs past its lease kills all as it goes on.
  bool on(const SimWorker& worker, const HeldTask& task) const {
    return !worker.gone_at && task.on_machine() && !lease_over(worker);
  }

  void started(const SimWorker& here, const HeldTask& task) {
    ++starts_;
    spdlog::debug("world t={:.1f} {} try {} starts on {}", time(), wire::spelled(task.ref), task.attempt,
                  here.id);
    const SimJob& job = jobs_.at(task.ref.job.value);
    if (job.cancelled_at && seconds_between(*job.cancelled_at, loop.now()) > options_.config.cancel_s)
      ADD_FAILURE() << "ran_cancelled: " << wire::spelled(task.ref) << " starts";
    wire::Resources used;
    std::map<std::string, std::size_t> zones;
    for (const auto& worker : workers_)
      for (const auto& each : worker->tasks) {
        if (!on(*worker, each)) continue;
        if (each.ref == task.ref && worker.get() != &here)
          ADD_FAILURE() << "ran_twice: " << wire::spelled(task.ref) << " on " << worker->id << " and "
                        << here.id;
        const auto& other = jobs_.at(each.ref.job.value).spec;
        if (other.team == job.spec.team) used += other.each;
        if (each.ref.job == task.ref.job) ++zones[worker->zone];
      }
    for (const auto& team : options_.config.teams)
      if (team.name == job.spec.team && team.limit.cpus > 0 && used.cpus > team.limit.cpus + 1e-6)
        ADD_FAILURE() << "quota: " << team.name << " uses " << used.cpus;
    if (here.spot && !job.spec.spot_allowed) ADD_FAILURE() << "wrong_place: " << wire::spelled(task.ref);
    if (job.spec.zone && *job.spec.zone != here.zone) ADD_FAILURE() << "wrong_place: zone";
    if (job.spec.one_zone && zones.size() > 1) ADD_FAILURE() << "wrong_place: two zones";
    const std::size_t most = (static_cast<std::size_t>(job.spec.tasks) + 1) / 2;
    if (job.spec.spread && zones[here.zone] > most) ADD_FAILURE() << "wrong_place: not spread";
  }

  void check_cancelled() {
    for (const auto& worker : workers_)
      for (const auto& task : worker->tasks) {
        const SimJob& job = jobs_.at(task.ref.job.value);
        if (!job.cancelled_at || !on(*worker, task)) continue;
        const double since_s = seconds_between(*job.cancelled_at, loop.now());
        if (since_s > options_.config.cancel_s)
          ADD_FAILURE() << "ran_cancelled: " << wire::spelled(task.ref) << " is on " << worker->id << " "
                        << since_s << " s after the cancellation";
      }
  }

  // With all troubles over no job waits for 90 s while a machine that fits has room and its team may use it.
  void check_waiting() {
    constexpr double kMostS = 90;
    std::map<std::string, wire::Resources> used;                       // by team
    std::map<std::string, std::map<std::string, std::size_t>> placed;  // by job and zone
    for (const auto& worker : workers_)
      for (const auto& task : worker->tasks) {
        if (worker->gone_at || task.state == wire::TaskState::exited) continue;
        const auto& spec = jobs_.at(task.ref.job.value).spec;
        used[spec.team] += spec.each;
        ++placed[spec.id.value][worker->zone];
      }
    for (auto& [id, job] : jobs_) {
      std::size_t there = job.completed.size();
      for (const auto& [zone, count] : placed[id]) there += count;
      const bool gang = job.spec.shape == wire::Shape::gang;
      const bool waits = job.accepted_at && !job.cancel_asked && there < job.spec.tasks &&
                         (gang ? there == 0 && has_room_for_gang(job.spec, used[job.spec.team])
                               : has_room(job.spec, used[job.spec.team], placed[id]));
      if (!waits) job.waits_since.reset();
      if (waits && !job.waits_since) job.waits_since = loop.now();
      if (waits && seconds_between(*job.waits_since, loop.now()) > kMostS)
        ADD_FAILURE() << "neglected: " << id << " has waited for " << kMostS << " s beside room for it";
    }
  }

  bool has_room(const wire::JobSpec& spec, wire::Resources used,
                const std::map<std::string, std::size_t>& zones) const {
    used += spec.each;
    for (const auto& team : options_.config.teams)
      if (team.name == spec.team && team.limit.cpus > 0 && used.cpus > team.limit.cpus + 1e-6) return false;
    return std::any_of(workers_.begin(), workers_.end(), [&](const auto& worker) {
      if (worker->gone_at || worker->up_at > loop.now() || (worker->spot && !spec.spot_allowed) ||
          (spec.zone && *spec.zone != worker->zone) ||
          (spec.one_zone && !zones.empty() && !zones.contains(worker->zone)))
        return false;
      const auto here = zones.find(worker->zone);
      if (spec.spread && here != zones.end() && here->second >= (std::size_t{spec.tasks} + 1) / 2)
        return false;
      wire::Resources left = cloud_type_.size;
      for (const auto& task : worker->tasks)
        if (task.state != wire::TaskState::exited) left -= jobs_.at(task.ref.job.value).spec.each;
      return spec.each.fits_into(left);
    });
  }

  // Room for all tasks at the same time.
  bool has_room_for_gang(const wire::JobSpec& spec, wire::Resources used) const {
    used += spec.each * spec.tasks;
    for (const auto& team : options_.config.teams)
      if (team.name == spec.team && team.limit.cpus > 0 && used.cpus > team.limit.cpus + 1e-6) return false;
    std::map<std::string, std::size_t> fits;  // by zone
    for (const auto& worker : workers_) {
      if (worker->gone_at || worker->up_at > loop.now() || (worker->spot && !spec.spot_allowed) ||
          (spec.zone && *spec.zone != worker->zone))
        continue;
      wire::Resources left = cloud_type_.size;
      for (const auto& task : worker->tasks)
        if (task.state != wire::TaskState::exited) left -= jobs_.at(task.ref.job.value).spec.each;
      fits[worker->zone] += core::tasks_fitting(spec.each, left);
    }
    const std::size_t most_per_zone = spec.spread ? (std::size_t{spec.tasks} + 1) / 2 : spec.tasks;
    std::size_t sum = 0;
    std::size_t most = 0;
    for (const auto& [zone, count] : fits) {
      sum += std::min(count, most_per_zone);
      most = std::max(most, count);
    }
    return (spec.one_zone ? most : sum) >= spec.tasks;
  }

  Options options_;
  std::mt19937_64 random_;
  std::map<std::uint32_t, std::string> hosts_;
  std::vector<Trouble> troubles_;
  net::TimePoint outage_until_;
  std::vector<std::unique_ptr<Transport>> transports_;
  std::vector<std::unique_ptr<app::Node>> nodes_;
  std::vector<Seat> seats_;
  std::size_t processes_ = 0;
  std::set<std::size_t> ended_;
  std::vector<std::shared_ptr<SimWorker>> workers_;
  std::map<std::string, Json> rentals_;
  std::map<std::string, SimJob> jobs_;
  std::size_t starts_ = 0;
  std::size_t gang_starts_ = 0;
  std::size_t gang_saves_ = 0;
  std::size_t direct_orders_ = 0;
  std::map<std::pair<std::string, std::uint64_t>, SimGang> gangs_;  // by job and attempt
  bool calm_ = false;                                               // all troubles are over
  net::TimePoint began_ = loop.now();
  wire::MachineType cloud_type_ = FakeCloud().type;
};

}  // namespace dockdyke::testing
