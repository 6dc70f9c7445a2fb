// A small deployment on loopback: the project's controllers as processes, and stand-ins for the cloud, the
// workers and the users, as the protocol describes them. Every rule that they can see is checked and recorded.
#pragma once

#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>

#include <cmath>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <list>
#include <random>
#include <set>
#include <sstream>

#include "state_service.hpp"

namespace review {

// ---- Record and rules ---------------------------------------------------------------------------------------

class Record {
 public:
  explicit Record(const std::string& path) : file_(path), started_at_(Clock::now()) {}
  double now_s() const { return seconds_between(started_at_, Clock::now()); }
  void line(const std::string& text) {
    std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%8.2f  ", now_s());
    file_ << time << text << '\n' << std::flush;
  }
  // Records that a rule was broken.
  void broken(const std::string& rule, const std::string& text) {
    line("BROKEN " + rule + ": " + text);
    std::lock_guard lock(mutex_);
    ++broken_[rule];
  }
  std::size_t count_broken(const std::string& rule) {
    std::lock_guard lock(mutex_);
    return broken_.count(rule) ? broken_.at(rule) : 0;
  }
  std::size_t count_broken() {
    std::lock_guard lock(mutex_);
    std::size_t sum = 0;
    for (const auto& [rule, count] : broken_) sum += count;
    return sum;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  TimePoint started_at_;
  std::map<std::string, std::size_t> broken_;
};

struct MachineType {
  std::string name;
  double cpus = 0, gpus = 0, ram_gb = 0, price = 1, spot_price = 0.3;
  double boot_s = 5;  // as the cloud publishes it
  double fetch_gb_per_s = 10;
  std::vector<std::string> zones;
  double up_after_s = 5;  // how long machines really take
};

struct Site {
  std::string name;
  std::vector<std::string> zones;
  std::vector<MachineType> types;
  std::vector<std::string> teams;
  std::map<std::string, double> team_cpus_max;
  Json objectives = Json::array();
  double report_s = 2.5, lease_s = 14, cancel_s = 44, gang_wait_s = 50, gang_peer_s = 8;
  StateService::Limits state;
  double cloud_rps = 3, list_lag_s = 3;
  double cloud_latency_s = 0.25;
  double core_share = 0.08, ram_mb = 72;
  int fd_limit = 1200;
  double restart_s = 5;
};

// What the users and the workers know of a job.
struct JobInfo {
  Json spec;
  double run_s = 5;
  bool broken = false;       // its tasks fail on every machine
  double uploaded_at_s = 0;  // seconds of the record; before it workers answer no_such
  // ---- As seen by the user ----
  std::optional<double> accepted_at, cancel_asked_at, cancelled_at, done_at;
  // ---- As seen on the machines ----
  std::set<std::uint64_t> completed;
  std::optional<double> completed_at;  // of its last task
  std::size_t starts = 0;
};

class World {
 public:
  World(Site site, const std::string& record_path) : site(std::move(site)), record(record_path) {}
  Site site;
  Record record;
  std::mutex mutex;  // guards jobs and the tasks of all workers
  std::map<std::string, JobInfo> jobs;
  std::atomic<bool> over{false};
};

// ---- Workers ------------------------------------------------------------------------------------------------

struct Task {
  std::string job;
  std::uint64_t index = 0;
  std::uint64_t attempt = 0;
  std::string stage = "pulling", cause;
  bool stored = false;
  TimePoint next_at;  // end of the present stage
  std::string name() const { return job + "/" + std::to_string(index); }
};

class Worker {
 public:
  Worker(World& world, std::string id, const MachineType& type, std::string zone, bool spot,
         std::vector<int> controller_ports, std::vector<std::string> controller_names, std::list<Worker*>& all,
         unsigned seed)
      : id(std::move(id)),
        type(type),
        zone(std::move(zone)),
        spot(spot),
        world_(world),
        ports_(std::move(controller_ports)),
        names_(std::move(controller_names)),
        all_(all),
        random_(seed),
        server_([this](const std::string& method, const std::string& target, const Json& body) {
          return handle(method, target, body);
        }) {
    node_ = random_() % ports_.size();
    lease_from_ = Clock::now();
    next_report_ = Clock::now();
    std::thread([this] { run_tasks(); }).detach();
    std::thread([this] { run_reports(); }).detach();
  }

  const std::string id;
  const MachineType type;
  const std::string zone;
  const bool spot;
  std::atomic<bool> gone{false};  // deleted, or dead
  std::atomic<bool> hung{false};
  std::atomic<bool> sick{false};  // fails every task that starts
  std::atomic<bool> deaf{false};  // its reports arrive, the answers are lost
  std::atomic<bool> cut{false};   // reaches nobody
  std::list<Task> tasks;          // under World::mutex

  std::string address() const { return server_.address(); }
  // Whether a task may be running, under World::mutex.
  bool lease_over() const { return seconds_between(lease_from_, Clock::now()) > world_.site.lease_s; }

 private:
  Json report() {  // under World::mutex
    Json pieces = Json::array();
    for (const auto& task : tasks) {
      Json piece{{"piece", task.name()}, {"try", task.attempt}, {"stage", task.stage}};
      if (task.stage == "exited") piece["cause"] = task.cause;
      if (task.stored) piece["stored"] = true;
      pieces.push_back(std::move(piece));
    }
    return Json{{"dyke", id},      {"endpoint", server_.address()}, {"build", type.name}, {"polder", zone},
                {"ebbtide", spot}, {"watch", watch_},               {"tally", ++tally_},  {"warrant", warrant_},
                {"warning_s", nullptr}, {"pieces", std::move(pieces)}};
  }

  void run_tasks() {
    while (!gone && !world_.over) {
      sleep_s(0.02);
      if (hung) continue;
      std::lock_guard lock(world_.mutex);
      if (gone) break;
      if (lease_over()) {
        if (!tasks.empty()) world_.record.line(id + " lease over, kills " + std::to_string(tasks.size()) + " tasks");
        tasks.clear();
        ++watch_;
        lease_from_ = Clock::now();
        changed_ = true;
      }
      for (auto& task : tasks) step(task);
      check_cancelled();
    }
  }

  void step(Task& task) {
    if (task.stage == "exited" || task.next_at > Clock::now()) return;
    JobInfo& job = world_.jobs.at(task.job);
    changed_ = true;
    if (task.stage == "pulling") {
      if (job.completed.count(task.index)) {
        exit(task, "done");
        return;
      }
      start(task, job);
      if (sick || job.broken) {
        task.next_at = in_seconds(0.3);
        task.stage = "running";
        task.cause = "error";
        return;
      }
      task.stage = "running";
      task.next_at = in_seconds(job.run_s);
    } else if (task.stage == "running") {
      if (job.spec.at("shape") == "standing" && task.cause.empty()) {
        task.next_at = in_seconds(1e6);
        return;
      }
      if (task.cause == "error") {
        exit(task, "error");
        return;
      }
      job.completed.insert(task.index);
      if (job.completed.size() == job.spec.at("pieces").get<std::size_t>()) job.completed_at = world_.record.now_s();
      exit(task, "done");
    } else if (task.stage == "saving") {
      task.stored = true;
      exit(task, "halted");
    }
  }

  void exit(Task& task, const std::string& cause) {
    task.stage = "exited";
    task.cause = cause;
    world_.record.line(id + " " + task.name() + " try " + std::to_string(task.attempt) + " exited: " + cause);
  }

  // A task gets its image and is on its machine from now on.
  void start(Task& task, JobInfo& job) {
    ++job.starts;
    auto& record = world_.record;
    record.line(id + " " + task.name() + " try " + std::to_string(task.attempt) + " starts");
    if (job.cancelled_at && record.now_s() > *job.cancelled_at + world_.site.cancel_s)
      record.broken("ran_cancelled", task.name() + " starts on " + id);
    double cpus = 0;
    std::map<std::string, std::size_t> zones;
    for (const Worker* worker : all_) {
      if (worker->gone) continue;
      for (const auto& other : worker->tasks) {
        const bool present = &other == &task || other.stage == "running" || other.stage == "saving";
        if (!present || worker->lease_over()) continue;
        const auto& other_job = world_.jobs.at(other.job);
        if (other_job.spec.at("crew") == job.spec.at("crew")) cpus += other_job.spec.at("vcpus").get<double>();
        if (other.job == task.job) ++zones[worker->zone];
        if (worker != this && other.job == task.job && other.index == task.index)
          record.broken("ran_twice", task.name() + " starts on " + id + " while on " + worker->id);
      }
    }
    const auto limit = world_.site.team_cpus_max.find(job.spec.at("crew"));
    if (limit != world_.site.team_cpus_max.end() && limit->second > 0 && cpus > limit->second + 1e-6)
      record.broken("quota", job.spec.at("crew").get<std::string>() + " uses " + std::to_string(cpus));
    const auto& spec = job.spec;
    const bool wrong_type = !spec.at("builds").is_null() &&
                            std::find(spec["builds"].begin(), spec["builds"].end(), type.name) == spec["builds"].end();
    const bool wrong_zone = !spec.at("polder").is_null() && spec["polder"] != zone;
    const bool too_many = spec.at("spread").get<bool>() && zones[zone] > (spec.at("pieces").get<std::size_t>() + 1) / 2;
    if (wrong_type || wrong_zone || (spot && !spec.at("ebbtide").get<bool>()) || too_many ||
        (spec.at("same_place").get<bool>() && zones.size() > 1))
      record.broken("wrong_place", task.name() + " starts on " + id);
  }

  void check_cancelled() {
    for (const auto& task : tasks) {
      const auto& job = world_.jobs.at(task.job);
      const bool present = task.stage == "running" || task.stage == "saving";
      if (!present || !job.cancelled_at || cancelled_reported_.count(task.name())) continue;
      if (world_.record.now_s() <= *job.cancelled_at + world_.site.cancel_s) continue;
      cancelled_reported_.insert(task.name());
      world_.record.broken("ran_cancelled", task.name() + " is still on " + id);
    }
  }

  void execute(const Json& orders) {  // under World::mutex
    for (const auto& order : orders) {
      const std::string piece = order.at("piece");
      const std::string verb = order.at("verb");
      const std::uint64_t attempt = order.at("try");
      const std::string job_id = piece.substr(0, piece.find('/'));
      const std::uint64_t index = std::stoull(piece.substr(piece.find('/') + 1));
      auto found = std::find_if(tasks.begin(), tasks.end(), [&](const Task& task) {
        return task.job == job_id && task.index == index && task.attempt == attempt;
      });
      changed_ = true;
      if (verb != "forget" || (found != tasks.end() && found->cause != "done"))
        world_.record.line(id + " told: " + verb + " " + piece + " try " + std::to_string(attempt));
      if (verb == "forget") {
        if (found != tasks.end() && found->stage == "exited") tasks.erase(found);
      } else if (verb == "kill") {
        if (found == tasks.end() || found->stage == "exited") continue;
        const auto& spec = world_.jobs.at(job_id).spec;
        const bool saves = found->stage == "running" && spec.at("mark_s").get<double>() > 0 &&
                           order.at("leeway_s").get<double>() >= spec.at("stow_s").get<double>();
        if (saves) {
          found->stage = "saving";
          found->next_at = in_seconds(spec.at("stow_s").get<double>());
        } else if (found->stage != "saving" || order.at("leeway_s").get<double>() == 0) {
          exit(*found, "halted");
        }
      } else if (verb == "run" && found == tasks.end()) {
        begin(job_id, index, attempt);
      }
    }
  }

  void begin(const std::string& job_id, std::uint64_t index, std::uint64_t attempt) {
    Task task{job_id, index, attempt, "pulling", {}, false, in_seconds(0.2)};
    const auto job = world_.jobs.find(job_id);
    if (job == world_.jobs.end()) return;
    double cpus = 0, ram = 0;
    bool busy = false;
    for (const auto& other : tasks) {
      if (other.stage == "exited") continue;
      const auto& spec = world_.jobs.at(other.job).spec;
      cpus += spec.at("vcpus").get<double>();
      ram += spec.at("ram_gb").get<double>();
      busy = busy || (other.job == job_id && other.index == index);
    }
    const auto& spec = job->second.spec;
    if (world_.record.now_s() < job->second.uploaded_at_s) {
      exit(task, "no_such");
    } else if (busy) {
      exit(task, "busy");
    } else if (cpus + spec.at("vcpus").get<double>() > type.cpus + 1e-6 ||
               ram + spec.at("ram_gb").get<double>() > type.ram_gb + 1e-6) {
      exit(task, "no_room");
    }
    tasks.push_back(std::move(task));
  }

  void run_reports() {
    while (!gone && !world_.over) {
      sleep_s(0.02);
      if (hung || Clock::now() < next_report_) {
        if (hung || !changed_ || seconds_between(sent_, Clock::now()) < 0.5 || Clock::now() < not_before_) continue;
      }
      send_report();
    }
  }

  void send_report() {
    Json body;
    std::uint64_t watch = 0;
    std::size_t node = 0;
    {
      std::lock_guard lock(world_.mutex);
      if (gone) return;
      body = report();
      watch = watch_;
      node = node_;
      changed_ = false;
    }
    const TimePoint sent = sent_ = Clock::now();
    std::optional<Reply> reply;
    if (cut) {
      sleep_s(4);
    } else {
      reply = call(ports_[node], "POST", "/v1/report", body, 4.0);
    }
    while (hung && !gone) sleep_s(0.02);
    if (deaf || cut || seconds_between(sent, Clock::now()) > 4) {
      if (deaf && reply && seconds_between(sent, Clock::now()) < 4) sleep_s(4 - seconds_between(sent, Clock::now()));
      reply.reset();
    }
    std::lock_guard lock(world_.mutex);
    if (gone) return;
    std::uniform_real_distribution<double> vary(0.75, 1.25);
    const std::string answer =
        names_[node] + ": " + (reply ? std::to_string(reply->status) : "no response") +
        (reply && reply->status == 200 ? ", warrant " + std::to_string(reply->body.value("warrant", std::uint64_t{0})) : "");
    if (answer != last_answer_) world_.record.line(id + " reports to " + answer);
    last_answer_ = answer;
    next_report_ = sent + std::chrono::duration_cast<Clock::duration>(
                              std::chrono::duration<double>(world_.site.report_s * vary(random_)));
    not_before_ = {};
    if (!reply || (reply->status != 200 && reply->status != 421)) return try_next();
    if (reply->status == 421) {
      const std::string harbour = reply->body.value("harbour", std::string());
      const auto named = std::find(names_.begin(), names_.end(), harbour);
      if (named == names_.end() || static_cast<std::size_t>(named - names_.begin()) == node) return try_next();
      node_ = static_cast<std::size_t>(named - names_.begin());
      next_report_ = in_seconds(0.2);
      return;
    }
    const std::uint64_t warrant = reply->body.value("warrant", std::uint64_t{0});
    if (warrant < warrant_ || warrant == 0 || watch != watch_ || lease_over()) return;
    if (warrant > warrant_ && seconds_between(token_noted_, Clock::now()) > world_.site.lease_s / 2) {
      token_noted_ = Clock::now();
      changed_ = true;
    }
    warrant_ = warrant;
    lease_from_ = sent;
    execute(reply->body.value("orders", Json::array()));
  }
  void try_next() {
    node_ = (node_ + 1) % ports_.size();
    next_report_ = not_before_ = in_seconds(1);
  }

  Reply handle(const std::string&, const std::string& target, const Json& body) {
    while ((hung || cut) && !gone) sleep_s(0.05);
    if (gone) return {0, {}, true, 0};
    std::lock_guard lock(world_.mutex);
    if (target == "/show") return {200, report(), false, 0};
    if (target != "/commands" || !body.contains("warrant") || !body.contains("watch")) return {400, Json::object(), false, 0};
    if (body["warrant"].get<std::uint64_t>() < warrant_ || body["watch"] != watch_) return {409, report(), false, 0};
    warrant_ = body["warrant"];
    execute(body.value("orders", Json::array()));
    return {200, report(), false, 0};
  }

  World& world_;
  std::vector<int> ports_;
  std::vector<std::string> names_;
  std::list<Worker*>& all_;
  std::mt19937 random_;
  std::size_t node_ = 0;
  std::uint64_t watch_ = 1, tally_ = 0, warrant_ = 0;
  TimePoint lease_from_, token_noted_;
  TimePoint next_report_, not_before_, sent_;
  std::atomic<bool> changed_{false};
  std::set<std::string> cancelled_reported_;
  std::string last_answer_;  // answers to reports are recorded when they change
  Server server_;
};

// ---- Cloud --------------------------------------------------------------------------------------------------

class Cloud {
 public:
  Cloud(World& world, std::vector<int> controller_ports, std::vector<std::string> controller_names)
      : world_(world),
        ports_(std::move(controller_ports)),
        names_(std::move(controller_names)),
        server_([this](const std::string& method, const std::string& target, const Json& body) {
          return handle(method, target, body);
        }) {}
  std::string address() const { return server_.address(); }

  // How many machines of a type, zone and kind there may be; none where nothing is set.
  void set_capacity(const std::string& type, const std::string& zone, bool spot, std::size_t count) {
    std::lock_guard lock(world_.mutex);
    capacity_[{type, zone, spot}] = count;
  }
  // A machine that is up from the start.
  Worker& add_machine(const std::string& type, const std::string& zone, bool spot) {
    std::lock_guard lock(world_.mutex);
    Rented& rented = rent(type, zone, spot);
    rented.up_at = Clock::now();
    bring_up(rented);
    return *rented.worker;
  }
  Worker* worker(const std::string& id) {
    std::lock_guard lock(world_.mutex);
    const auto found = machines_.find(id);
    return found == machines_.end() ? nullptr : found->second.worker;
  }
  std::vector<Worker*> workers() {
    std::lock_guard lock(world_.mutex);
    std::vector<Worker*> out;
    for (auto* each : workers_)
      if (!each->gone) out.push_back(each);
    return out;
  }
  std::atomic<bool> trouble{false};

 private:
  struct Rented {
    std::string id, type, zone;
    bool spot = false;
    TimePoint rented_at, up_at;
    std::optional<TimePoint> deleted_at;
    Worker* worker = nullptr;
  };

  Reply handle(const std::string&, const std::string& target, const Json& body) {
    sleep_s(world_.site.cloud_latency_s);
    if (trouble) return {503, Json{{"error", "trouble"}}, false, 0};
    std::lock_guard lock(world_.mutex);
    if (target == "/flavors") return {200, Json{{"builds", types()}}, false, 0};
    if (target.rfind("/machines?", 0) == 0) return list(target);
    if (target == "/machines/delete") {
      for (const auto& name : body.at("dykes")) remove(name);
      return {200, Json::object(), false, 0};
    }
    if (target == "/machines") {
      const std::string charter = body.at("charter");
      if (answers_.count(charter)) return {200, answers_[charter], false, 0};
      Json names = Json::array();
      for (std::uint64_t i = 0; i < body.at("count").get<std::uint64_t>(); ++i) {
        if (count(body.at("build"), body.at("polder"), body.at("ebbtide")) >=
            capacity_[{body["build"], body["polder"], body["ebbtide"]}])
          break;
        names.push_back(rent(body["build"], body["polder"], body["ebbtide"]).id);
      }
      world_.record.line("cloud: rent " + body.dump() + " -> " + std::to_string(names.size()));
      if (names.empty()) return {503, Json{{"error", "no capacity"}}, false, 0};
      answers_[charter] = Json{{"dykes", names}};
      return {200, answers_[charter], false, 0};
    }
    return {400, Json::object(), false, 0};
  }

  Json types() const {
    Json out = Json::array();
    for (const auto& type : world_.site.types)
      out.push_back({{"name", type.name}, {"vcpus", type.cpus}, {"gpus", type.gpus}, {"ram_gb", type.ram_gb},
                     {"local_gb", 100.0}, {"pull_gb_per_s", type.fetch_gb_per_s}, {"price", type.price},
                     {"market_price", type.spot_price}, {"ready_s", type.boot_s}, {"polders", type.zones}});
    return out;
  }

  std::size_t count(const std::string& type, const std::string& zone, bool spot) const {
    std::size_t out = 0;
    for (const auto& [id, each] : machines_)
      out += !each.deleted_at && each.type == type && each.zone == zone && each.spot == spot;
    return out;
  }

  Rented& rent(const std::string& type, const std::string& zone, bool spot) {
    char id[16];
    std::snprintf(id, sizeof id, "n-%06zu", machines_.size() + 1);
    Rented& rented = machines_[id];
    const auto& found = type_of(type);
    rented = {id, type, zone, spot, Clock::now(), in_seconds(found.up_after_s), std::nullopt, nullptr};
    std::thread([this, name = std::string(id), up_after_s = found.up_after_s] {
      sleep_s(up_after_s);
      std::lock_guard lock(world_.mutex);
      Rented& up = machines_[name];
      if (!up.deleted_at && !up.worker) bring_up(up);
    }).detach();
    return rented;
  }
  const MachineType& type_of(const std::string& name) const {
    for (const auto& type : world_.site.types)
      if (type.name == name) return type;
    throw std::runtime_error("unknown type");
  }
  void bring_up(Rented& rented) {
    rented.worker = new Worker(world_, rented.id, type_of(rented.type), rented.zone, rented.spot, ports_, names_,
                               workers_, static_cast<unsigned>(machines_.size()) * 7919u);
    workers_.push_back(rented.worker);
    world_.record.line(rented.id + " is up: " + rented.type + " in " + rented.zone + (rented.spot ? ", spot" : ""));
  }
  void remove(const std::string& id) {
    const auto found = machines_.find(id);
    if (found == machines_.end() || found->second.deleted_at) return;
    world_.record.line("cloud: " + id + " deleted");
    found->second.deleted_at = Clock::now();
    if (!found->second.worker) return;
    found->second.worker->gone = true;
    found->second.worker->tasks.clear();
  }

  Reply list(const std::string& target) const {
    const std::string since = query_parameter(target, "since");
    const std::size_t page = std::stoul(query_parameter(target, "page"));
    const auto lag = std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(world_.site.list_lag_s));
    const TimePoint at = Clock::now() - lag;
    Json out = Json::array();
    bool more = false;
    for (const auto& [id, each] : machines_) {
      if (id <= since || each.rented_at > at || (each.deleted_at && *each.deleted_at <= at)) continue;
      if (out.size() == page) {
        more = true;
        break;
      }
      out.push_back({{"id", id}, {"endpoint", each.worker ? each.worker->address() : "127.0.0.1:1"},
                     {"build", each.type}, {"polder", each.zone}, {"ebbtide", each.spot},
                     {"stage", each.up_at > at ? "booting" : "running"},
                     {"held_s", seconds_between(each.rented_at, at)}});
    }
    return {200, Json{{"dykes", out}, {"more", more}}, false, 0};
  }

  World& world_;
  std::vector<int> ports_;
  std::vector<std::string> names_;
  std::map<std::string, Rented> machines_;
  std::list<Worker*> workers_;
  std::map<std::tuple<std::string, std::string, bool>, std::size_t> capacity_;
  std::map<std::string, Json> answers_;
  Server server_;
};

// ---- Controllers --------------------------------------------------------------------------------------------

// Starts, stops and watches the controllers as the platform does.
class Controllers {
 public:
  Controllers(World& world, std::string command, std::string folder, std::size_t count)
      : world_(world), folder_(std::move(folder)) {
    std::istringstream words(command);
    for (std::string word; words >> word;) command_.push_back(word);
    for (std::size_t i = 0; i < count; ++i) {
      nodes_.push_back({"dyke-" + std::to_string(i), free_port(), free_port(), -1, std::nullopt});
    }
  }
  ~Controllers() { kill_all(); }

  std::vector<int> public_ports() const {
    std::vector<int> out;
    for (const auto& node : nodes_) out.push_back(node.public_port);
    return out;
  }
  std::vector<std::string> names() const {
    std::vector<std::string> out;
    for (const auto& node : nodes_) out.push_back(node.name);
    return out;
  }
  std::size_t size() const { return nodes_.size(); }

  void start_all(StateService& state, Cloud& cloud) {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      std::ofstream(settings_path(i)) << settings(i, state.address_for(i), cloud.address()).dump(2);
      start(i);
    }
    watcher_ = std::thread([this] { watch(); });
  }
  // Ends a process with no signal that it could handle; the platform starts it again.
  void kill_node(std::size_t index) {
    std::lock_guard lock(mutex_);
    if (nodes_[index].pid <= 0) return;
    world_.record.line(nodes_[index].name + " is killed");
    ::kill(nodes_[index].pid, SIGCONT);
    ::kill(nodes_[index].pid, SIGKILL);
  }
  void freeze(std::size_t index) {
    std::lock_guard lock(mutex_);
    world_.record.line(nodes_[index].name + " is stopped");
    if (nodes_[index].pid > 0) ::kill(nodes_[index].pid, SIGSTOP);
  }
  void resume(std::size_t index) {
    std::lock_guard lock(mutex_);
    world_.record.line(nodes_[index].name + " goes on");
    if (nodes_[index].pid > 0) ::kill(nodes_[index].pid, SIGCONT);
  }
  // How many processes have ended, and how many of them the platform killed for their memory.
  std::size_t ends() const { return ends_; }
  std::size_t ends_for_memory() const { return ends_for_memory_; }
  // Resident memory in MB.
  double memory_mb(std::size_t index) {
    std::lock_guard lock(mutex_);
    return resident_mb(nodes_[index].pid);
  }
  // As the platform does: a process over the limit of the settings is killed and restarted.
  void enforce_memory_limit() { memory_limited_ = true; }
  // Processor time used so far in seconds.
  double processor_s(std::size_t index) {
    std::lock_guard lock(mutex_);
    std::ifstream stat("/proc/" + std::to_string(nodes_[index].pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), {});
    const auto at = text.rfind(')');
    if (at == std::string::npos) return 0;
    std::istringstream fields(text.substr(at + 2));
    std::string field;
    double ticks = 0;
    for (int i = 3; i <= 15 && fields >> field; ++i)
      if (i == 14 || i == 15) ticks += std::stod(field);
    return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
  }
  void kill_all() {
    stopping_ = true;
    if (watcher_.joinable()) watcher_.join();
    std::lock_guard lock(mutex_);
    for (auto& node : nodes_) {
      if (node.pid <= 0) continue;
      ::kill(node.pid, SIGCONT);
      ::kill(node.pid, SIGKILL);
      ::waitpid(node.pid, nullptr, 0);
      node.pid = -1;
    }
  }

 private:
  static double resident_mb(pid_t pid) {
    if (pid <= 0) return 0;
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);)
      if (line.rfind("VmRSS:", 0) == 0) return std::stod(line.substr(6)) / 1024;
    return 0;
  }

  struct Node {
    std::string name;
    int public_port, internal_port;
    pid_t pid;
    std::optional<TimePoint> restart_at;
  };

  std::string settings_path(std::size_t index) const { return folder_ + "/settings-" + std::to_string(index) + ".json"; }

  Json settings(std::size_t index, const std::string& state, const std::string& cloud) const {
    const Site& site = world_.site;
    Json siblings = Json::array();
    for (std::size_t i = 0; i < nodes_.size(); ++i)
      if (i != index)
        siblings.push_back({{"host_name", nodes_[i].name}, {"zone", site.zones[i % site.zones.size()]},
                            {"addr", "127.0.0.1:" + std::to_string(nodes_[i].internal_port)}});
    Json teams = Json::array();
    for (const auto& team : site.teams) {
      const auto limit = site.team_cpus_max.find(team);
      teams.push_back({{"name", team}, {"cpus", 0.0}, {"cpus_max", limit == site.team_cpus_max.end() ? 0.0 : limit->second},
                       {"gpus", 0.0}, {"gpus_max", 0.0}});
    }
    return Json{
        {"host_name", nodes_[index].name},
        {"zone", site.zones[index % site.zones.size()]},
        {"public_addr", "127.0.0.1:" + std::to_string(nodes_[index].public_port)},
        {"internal_addr", "127.0.0.1:" + std::to_string(nodes_[index].internal_port)},
        {"siblings", siblings},
        {"services", {{"cloud", cloud}, {"state", state}}},
        {"settings",
         {{"nodes", nodes_.size()},
          {"zones", site.zones},
          {"teams", teams},
          {"objectives", site.objectives},
          {"workers",
           {{"report_s", site.report_s}, {"lease_s", site.lease_s}, {"gang_wait_s", site.gang_wait_s},
            {"gang_peer_s", site.gang_peer_s}, {"cancel_s", site.cancel_s}}},
          {"state",
           {{"rps", site.state.rps}, {"write_rps", site.state.write_rps},
            {"value_kb", static_cast<double>(site.state.value_bytes) / 1024}, {"txn_ops", site.state.txn_ops}}},
          {"cloud", {{"rps", site.cloud_rps}, {"list_lag_s", site.list_lag_s}}},
          {"resources", {{"core_share", site.core_share}, {"ram_mb", site.ram_mb}, {"fd_limit", site.fd_limit}}},
          {"clock_off_ms", 100.0}}}};
  }

  void start(std::size_t index) {  // under mutex_, or before the watcher runs
    std::vector<std::string> words = command_;
    words.push_back(settings_path(index));
    std::vector<char*> arguments;
    for (auto& word : words) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const std::string log = folder_ + "/" + nodes_[index].name + ".log";
    const rlimit files{static_cast<rlim_t>(world_.site.fd_limit), static_cast<rlim_t>(world_.site.fd_limit)};
    const pid_t parent = ::getpid();
    const pid_t pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent) ::_exit(1);
      ::setrlimit(RLIMIT_NOFILE, &files);
      if (std::freopen(log.c_str(), "a", stderr) == nullptr) ::_exit(1);
      ::execv(arguments[0], arguments.data());
      ::_exit(127);
    }
    nodes_[index].pid = pid;
    nodes_[index].restart_at.reset();
    world_.record.line(nodes_[index].name + " started, process " + std::to_string(pid));
  }

  void watch() {
    while (!stopping_) {
      sleep_s(0.05);
      std::lock_guard lock(mutex_);
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        Node& node = nodes_[i];
        int status = 0;
        if (node.pid > 0 && ::waitpid(node.pid, &status, WNOHANG) == node.pid) {
          ++ends_;
          world_.record.line(node.name + " has ended, " +
                             (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                                  : "status " + std::to_string(WEXITSTATUS(status))));
          node.pid = -1;
          node.restart_at = in_seconds(world_.site.restart_s);
        }
        if (node.restart_at && Clock::now() >= *node.restart_at) start(i);
        if (!memory_limited_ || resident_mb(node.pid) <= world_.site.ram_mb) continue;
        world_.record.line("platform: " + node.name + " holds " + std::to_string(resident_mb(node.pid)) + " MB of " +
                           std::to_string(world_.site.ram_mb) + " and is killed");
        ++ends_for_memory_;
        ::kill(node.pid, SIGKILL);
        ::waitpid(node.pid, nullptr, 0);
        ++ends_;
        node.pid = -1;
        node.restart_at = in_seconds(world_.site.restart_s);
      }
    }
  }

  World& world_;
  std::string folder_;
  std::vector<std::string> command_;
  std::vector<Node> nodes_;
  std::mutex mutex_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> memory_limited_{false};
  std::atomic<std::size_t> ends_{0};
  std::atomic<std::size_t> ends_for_memory_{0};
  std::thread watcher_;
};

// ---- Users --------------------------------------------------------------------------------------------------

inline Json job_spec(const std::string& id) {
  return Json{{"id", id}, {"lane", "rutina"}, {"crew", "audio"}, {"shape", "batch"}, {"urgency", "normal"},
              {"pieces", 1}, {"vcpus", 1.0}, {"gpus", 0.0}, {"ram_gb", 1.0}, {"hull", "img-01"}, {"image_gb", 0.1},
              {"builds", nullptr}, {"polder", nullptr}, {"same_place", false}, {"spread", false}, {"ebbtide", true},
              {"expect_s", 5.0}, {"mark_s", 0.0}, {"stow_s", 0.0}, {"due_s", nullptr}};
}

// Users behind the load balancer, which probes the nodes and gives each connection to a healthy one.
class Users {
 public:
  Users(World& world, std::vector<int> ports) : world_(world), ports_(std::move(ports)), healthy_(ports_.size()) {
    std::thread([this] { probe(); }).detach();
  }

  std::size_t healthy_nodes() {
    std::size_t out = 0;
    for (const auto& each : healthy_) out += each > 0;
    return out;
  }

  // Makes a job known to the workers, as its user uploads it, and submits it. Returns the last status.
  int submit(const JobInfo& info) {
    const std::string id = info.spec.at("id");
    {
      std::lock_guard lock(world_.mutex);
      world_.jobs.emplace(id, info);
    }
    const TimePoint give_up = in_seconds(60);
    int status = 0;
    while (Clock::now() < give_up && !world_.over) {
      const auto reply = ask("POST", "/work", info.spec, 5);
      status = reply ? reply->status : 0;
      if (status == 200 || status == 201) {
        std::lock_guard lock(world_.mutex);
        auto& job = world_.jobs.at(id);
        if (!job.accepted_at) job.accepted_at = world_.record.now_s();
        return status;
      }
      if (status == 400 || status == 422) {
        std::lock_guard lock(world_.mutex);
        if (world_.jobs.at(id).accepted_at) world_.record.broken("forgotten", id + " submitted again: " + std::to_string(status));
        return status;
      }
      sleep_s(std::max(1.0, reply ? std::min(30.0, reply->retry_after_s) : 1.0));
    }
    return status;
  }

  // One poll. Returns the stage, or an empty string without an answer.
  std::string poll(const std::string& id, bool quiet = false, int node = -1) {
    double asked_at = world_.record.now_s();
    const auto reply = ask("GET", "/work/" + id, std::nullopt, 2, node, quiet);
    const int status = reply ? reply->status : 0;
    std::lock_guard lock(world_.mutex);
    const auto found = world_.jobs.find(id);
    if (found == world_.jobs.end()) {
      if (status == 200) world_.record.broken("invented", id);
      return {};
    }
    JobInfo& job = found->second;
    if (status == 404 && job.accepted_at && *job.accepted_at < asked_at) world_.record.broken("forgotten", id + " gets 404");
    if (status != 200) return {};
    const std::string stage = reply->body.value("stage", std::string());
    if (job.done_at && *job.done_at < asked_at && stage != "done") world_.record.broken("went_back", id + " was done, is " + stage);
    if (job.cancelled_at && *job.cancelled_at < asked_at && stage != "cancelled")
      world_.record.broken("went_back", id + " was cancelled, is " + stage);
    if (stage == "cancelled" && !job.cancel_asked_at) world_.record.broken("went_back", id + " is called cancelled");
    if (stage == "done") note_done(id, job);
    if (stage == "cancelled" && !job.cancelled_at) job.cancelled_at = world_.record.now_s();
    return stage;
  }

  // Cancels a job, repeating the request until it is answered. Returns the stage told.
  std::string cancel(const std::string& id, double for_s = 60) {
    {
      std::lock_guard lock(world_.mutex);
      auto& job = world_.jobs.at(id);
      if (!job.cancel_asked_at) job.cancel_asked_at = world_.record.now_s();
    }
    const TimePoint give_up = in_seconds(for_s);
    while (Clock::now() < give_up && !world_.over) {
      const auto reply = ask("POST", "/work/" + id + "/withdraw", Json::object(), 5);
      if (reply && reply->status == 200) {
        const std::string stage = reply->body.value("stage", std::string());
        std::lock_guard lock(world_.mutex);
        auto& job = world_.jobs.at(id);
        if (stage == "cancelled" && !job.cancelled_at) job.cancelled_at = world_.record.now_s();
        if (stage == "done") note_done(id, job);
        return stage;
      }
      if (reply && reply->status == 404) {
        std::lock_guard lock(world_.mutex);
        if (world_.jobs.at(id).accepted_at) world_.record.broken("forgotten", id + " cancelled: 404");
      }
      sleep_s(1);
    }
    return {};
  }

 private:
  void note_done(const std::string& id, JobInfo& job) {  // under World::mutex
    if (job.completed.size() < job.spec.at("pieces").get<std::size_t>())
      world_.record.broken("not_done", id + " is called done with " + std::to_string(job.completed.size()) + " tasks");
    if (!job.done_at) job.done_at = world_.record.now_s();
  }

  std::optional<Reply> ask(const std::string& method, const std::string& target, const std::optional<Json>& body,
                           double timeout_s, int node = -1, bool quiet = false) {
    const int chosen = node >= 0 ? node : choose();
    std::optional<Reply> reply;
    if (chosen >= 0) reply = call(ports_[static_cast<std::size_t>(chosen)], method, target, body, timeout_s);
    if (!quiet)
      world_.record.line("user: " + method + " " + target + (body && method == "POST" && target == "/work" ? " " + body->dump() : "") +
                         " -> " + (chosen < 0 ? "no healthy node" : "dyke-" + std::to_string(chosen)) + ": " +
                         (reply ? std::to_string(reply->status) + " " + reply->body.dump() : "no response"));
    return reply;
  }
  int choose() {
    std::lock_guard lock(mutex_);
    std::vector<int> candidates;
    for (std::size_t i = 0; i < ports_.size(); ++i)
      if (healthy_[i] > 0) candidates.push_back(static_cast<int>(i));
    if (candidates.empty()) return -1;
    return candidates[next_++ % candidates.size()];
  }
  // A node is healthy from the first success on, unhealthy after two failures in a row, and then healthy after
  // two successes in a row, but not before 3 s have passed.
  void probe() {
    std::vector<int> failures(ports_.size()), successes(ports_.size());
    std::vector<TimePoint> removed(ports_.size());
    while (!world_.over) {
      for (std::size_t i = 0; i < ports_.size(); ++i) {
        const auto reply = call(ports_[i], "GET", "/healthz", std::nullopt, 1);
        const bool good = reply && reply->status == 200;
        failures[i] = good ? 0 : failures[i] + 1;
        successes[i] = good ? successes[i] + 1 : 0;
        const bool first = removed[i] == TimePoint{};
        const int before = healthy_[i];
        if (good && (first || (successes[i] >= 2 && seconds_between(removed[i], Clock::now()) >= 3))) healthy_[i] = 1;
        if (failures[i] >= 2 && healthy_[i] > 0) {
          healthy_[i] = 0;
          removed[i] = Clock::now();
        }
        if (before != healthy_[i])
          world_.record.line("load balancer: dyke-" + std::to_string(i) + (healthy_[i] > 0 ? " healthy" : " unhealthy"));
      }
      sleep_s(0.5);
    }
  }

  World& world_;
  std::vector<int> ports_;
  std::vector<std::atomic<int>> healthy_;
  std::mutex mutex_;
  std::size_t next_ = 0;
};

// ---- What the tests look at -----------------------------------------------------------------------------------

inline bool wait_until(const std::function<bool()>& condition, double limit_s) {
  const TimePoint give_up = in_seconds(limit_s);
  while (!condition()) {
    if (Clock::now() > give_up) return false;
    sleep_s(0.02);
  }
  return true;
}

inline bool started(World& world, const std::string& id) {
  std::lock_guard lock(world.mutex);
  return world.jobs.at(id).starts > 0;
}

inline bool completed(World& world, const std::string& id) {
  std::lock_guard lock(world.mutex);
  return world.jobs.count(id) > 0 && world.jobs.at(id).completed_at.has_value();
}

// Whether a task of the job is on a machine, in any state but exited.
inline bool on_a_machine(World& world, Cloud& cloud, const std::string& id) {
  for (const Worker* worker : cloud.workers()) {
    std::lock_guard lock(world.mutex);
    for (const auto& task : worker->tasks)
      if (task.job == id && task.stage != "exited") return true;
  }
  return false;
}

// Whether a machine that is up and well has room for a task of this size.
inline bool machine_has_room(World& world, Cloud& cloud, double cpus, double ram_gb) {
  for (const Worker* worker : cloud.workers()) {
    std::lock_guard lock(world.mutex);
    if (worker->gone || worker->sick || worker->hung || worker->cut || worker->deaf) continue;
    double free_cpus = worker->type.cpus;
    double free_gb = worker->type.ram_gb;
    for (const auto& task : worker->tasks) {
      if (task.stage == "exited") continue;
      free_cpus -= world.jobs.at(task.job).spec.at("vcpus").get<double>();
      free_gb -= world.jobs.at(task.job).spec.at("ram_gb").get<double>();
    }
    if (free_cpus >= cpus && free_gb >= ram_gb) return true;
  }
  return false;
}

}  // namespace review
