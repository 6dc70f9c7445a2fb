// Stand-ins for the programs around dockdyke: the state service, the cloud, workers and users, as the protocol page
// describes them, and the start and end of the controllers. A case includes this file and drives a deployment on
// loopback addresses and the real clock.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace lab {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Lock = std::unique_lock<std::recursive_mutex>;

inline const Clock::time_point kStart = Clock::now();
inline double now_s() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }
inline void sleep_s(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

// ---- The record of what was sent, answered and run ------------------------------------------------------------------

inline std::mutex record_mutex;
inline std::FILE* record_file = nullptr;

__attribute__((format(printf, 1, 2))) inline void record(const char* format, ...) {
  const std::lock_guard<std::mutex> guard(record_mutex);
  if (!record_file) return;
  std::fprintf(record_file, "%8.3f ", now_s());
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(record_file, format, arguments);
  va_end(arguments);
  std::fputc('\n', record_file);
  std::fflush(record_file);
}

// ---- HTTP -----------------------------------------------------------------------------------------------------------

struct Message {
  int status = 0;
  std::string method, target, body;
  bool close = false;
};

inline std::string pack(const Json& value) {
  std::string bytes;
  Json::to_msgpack(value, bytes);
  return bytes;
}
inline Json unpack(const std::string& bytes) {
  if (bytes.empty()) return Json::object();
  Json value = Json::from_msgpack(bytes, true, false);
  return value.is_discarded() ? Json() : value;
}

// A socket with an input buffer. All operations end at a time limit.
class Stream {
 public:
  explicit Stream(int fd) : fd_(fd) {}
  ~Stream() {
    if (fd_ >= 0) ::close(fd_);
  }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  int fd() const { return fd_; }

  bool write(const std::string& bytes, double deadline) {
    std::size_t done = 0;
    while (done < bytes.size()) {
      const auto sent = ::send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent > 0) {
        done += static_cast<std::size_t>(sent);
      } else if (errno != EAGAIN || !wait(POLLOUT, deadline)) {
        return false;
      }
    }
    return true;
  }

  // Reads one HTTP message. Returns std::nullopt if the peer closed or the time is over.
  std::optional<Message> read(double deadline) {
    std::size_t header_end;
    while ((header_end = buffer_.find("\r\n\r\n")) == std::string::npos)
      if (!fill(deadline)) return std::nullopt;
    std::istringstream head(buffer_.substr(0, header_end));
    Message message;
    std::string line, first, second;
    std::getline(head, line);
    std::istringstream start(line);
    start >> first >> second;
    if (first.rfind("HTTP/", 0) == 0) {
      message.status = std::atoi(second.c_str());
    } else {
      message.method = first;
      message.target = second;
    }
    std::size_t length = 0;
    while (std::getline(head, line)) {
      std::transform(line.begin(), line.end(), line.begin(), [](unsigned char c) { return std::tolower(c); });
      if (line.rfind("content-length:", 0) == 0) length = std::strtoul(line.c_str() + 15, nullptr, 10);
      if (line.rfind("connection:", 0) == 0 && line.find("close") != std::string::npos) message.close = true;
    }
    while (buffer_.size() < header_end + 4 + length)
      if (!fill(deadline)) return std::nullopt;
    message.body = buffer_.substr(header_end + 4, length);
    buffer_.erase(0, header_end + 4 + length);
    return message;
  }

 private:
  bool wait(short events, double deadline) {
    for (;;) {
      const double left = deadline - now_s();
      if (left <= 0) return false;
      pollfd waited{fd_, events, 0};
      const int ready = ::poll(&waited, 1, static_cast<int>(left * 1000) + 1);
      if (ready > 0) return true;
      if (ready < 0 && errno != EINTR) return false;
    }
  }
  bool fill(double deadline) {
    if (!wait(POLLIN, deadline)) return false;
    char bytes[16384];
    const auto received = ::recv(fd_, bytes, sizeof bytes, 0);
    if (received <= 0) return false;
    buffer_.append(bytes, static_cast<std::size_t>(received));
    return true;
  }

  int fd_;
  std::string buffer_;
};

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Ports that were free a moment ago, all different.
inline std::vector<int> free_ports(int count) {
  std::vector<int> fds, ports;
  for (int i = 0; i < count; ++i) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = loopback(0);
    socklen_t size = sizeof address;
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0) std::exit(2);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    fds.push_back(fd);
    ports.push_back(ntohs(address.sin_port));
  }
  for (const int fd : fds) ::close(fd);
  return ports;
}

// A client that keeps its connection. Not to be shared between threads.
class Client {
 public:
  std::optional<Message> call(int port, const std::string& method, const std::string& target, const std::string& body,
                              double timeout_s) {
    const double deadline = now_s() + timeout_s;
    if (!stream_ || port_ != port) {
      stream_.reset();
      const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      auto address = loopback(port);
      if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        ::close(fd);
        return std::nullopt;
      }
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      stream_ = std::make_unique<Stream>(fd);
      port_ = port;
    }
    std::string request = method + " " + target + " HTTP/1.1\r\nHost: 127.0.0.1:" + std::to_string(port) + "\r\n";
    if (!body.empty()) request += "Content-Type: application/msgpack\r\n";
    if (!body.empty() || method == "POST") request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    request += "\r\n" + body;
    std::optional<Message> response;
    if (stream_->write(request, deadline)) response = stream_->read(deadline);
    if (!response || response->close) stream_.reset();
    return response;
  }
  void close() { stream_.reset(); }

 private:
  std::unique_ptr<Stream> stream_;
  int port_ = 0;
};

// What a stand-in answers. `drop`: the connection is closed without an answer.
struct Answer {
  int status = 200;
  Json body = Json::object();
  bool drop = false;
};

class Server {
 public:
  using Handler = std::function<Answer(const Message&)>;
  explicit Server(Handler handler) : handler_(std::move(handler)) {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = loopback(0);
    socklen_t size = sizeof address;
    if (::bind(fd_, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(fd_, 512) != 0) std::exit(2);
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    std::thread([this] { accept_all(); }).detach();
  }
  int port() const { return port_; }

 private:
  void accept_all() {
    for (;;) {
      const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([this, fd] { serve(fd); }).detach();
    }
  }
  void serve(int fd) {
    Stream stream(fd);
    while (auto request = stream.read(now_s() + 3600)) {
      const Answer answer = handler_(*request);
      if (answer.drop) return;
      const std::string body = pack(answer.body);
      const std::string head = "HTTP/1.1 " + std::to_string(answer.status) +
                               " X\r\nContent-Type: application/msgpack\r\nContent-Length: " +
                               std::to_string(body.size()) + "\r\n\r\n";
      if (!stream.write(head + body, now_s() + 10) || request->close) return;
    }
  }

  Handler handler_;
  int fd_ = -1;
  int port_ = 0;
};

inline std::string query(const std::string& target, const std::string& name) {
  auto at = target.find("?" + name + "=");
  if (at == std::string::npos) at = target.find("&" + name + "=");
  if (at == std::string::npos) return {};
  at += name.size() + 2;
  const std::string raw = target.substr(at, target.find('&', at) - at);
  std::string text;
  for (std::size_t i = 0; i < raw.size(); ++i) {
    if (raw[i] == '%' && i + 2 < raw.size()) {
      text += static_cast<char>(std::strtol(raw.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      text += raw[i];
    }
  }
  return text;
}

// ---- The deployment's figures ---------------------------------------------------------------------------------------

struct MachineType {
  std::string name = "medio";
  double cpus = 16, gpus = 0, ram_gb = 64, price = 0.97, spot_price = 0.35, ready_s = 50, pull_gb_per_s = 1.0;
  std::vector<std::string> zones{"trento", "milano"};
};

// Arnia Viva in Trentino, as in the brief.
struct Figures {
  int controllers = 3;
  std::vector<std::string> zones{"trento", "milano"};
  double report_s = 3, lease_s = 45, cancel_s = 75, gang_wait_s = 30, gang_peer_s = 6;
  double state_rps = 120, state_write_rps = 35, value_kb = 4;
  int txn_ops = 8;
  double cloud_rps = 8, list_lag_s = 3;
  Json teams = Json::array({{{"name", "sensori"}}, {{"name", "apicoltori"}}, {{"name", "modelli"}}});
  Json objectives = Json::array();
  std::vector<MachineType> types{MachineType{}};
  // Time from a rental until the machine's worker reports. "At times machines are up within a second or two."
  double boot_s = 1.5;
};

// ---- The state service ----------------------------------------------------------------------------------------------

class StateService {
 public:
  explicit StateService(const Figures& figures)
      : figures_(figures), server_([this](const Message& request) { return handle(request); }) {
    std::thread([this] {
      for (;;) {
        sleep_s(0.02);
        Lock lock(mutex_);
        expire_leases();
      }
    }).detach();
  }
  int port() const { return server_.port(); }

  // While it is out, every request gets 503; open watches wait, and no lease ends.
  void set_out(bool out) {
    Lock lock(mutex_);
    if (out_ && !out)
      for (auto& [id, lease] : leases_) lease.ends = now_s() + lease.life;
    out_ = out;
    record("state service: %s", out ? "out, every request gets 503" : "back");
    changed_.notify_all();
  }
  bool out() {
    Lock lock(mutex_);
    return out_;
  }
  std::optional<Json> value(const std::string& key) {
    Lock lock(mutex_);
    const auto found = keys_.find(key);
    return found == keys_.end() ? std::nullopt : std::optional(found->second.value);
  }
  std::vector<std::string> keys(const std::string& prefix) {
    Lock lock(mutex_);
    std::vector<std::string> names;
    for (const auto& [key, entry] : keys_)
      if (key.rfind(prefix, 0) == 0) names.push_back(key);
    return names;
  }
  std::string leader() {
    const auto value = this->value("leader");
    return value ? value->value("host", std::string()) : std::string();
  }
  // Called, with the lock held, after a transaction was applied.
  std::function<void(const Json&)> on_applied;
  // Returns an answer that replaces the usual one, or std::nullopt. Called without the lock.
  std::function<std::optional<Answer>(const Message&)> on_request;

  Answer handle(const Message& request) {
    if (on_request)
      if (auto answer = on_request(request)) return *answer;
    return carry_out(request);
  }
  Answer carry_out(const Message& request) {
    sleep_s(0.003);
    Lock lock(mutex_);
    expire_leases();
    const bool watch = request.target.rfind("/watch", 0) == 0;
    if (out_ && !watch) return {503, {{"error", "trouble"}}};
    if (!take(requests_, figures_.state_rps, 1)) return {429, {{"error", "rate"}}};
    if (watch) return this->watch(request.target, lock);
    const Json body = unpack(request.body);
    if (request.target == "/txn") return transact(body);
    if (request.target == "/holds") {
      const auto id = ++next_lease_;
      const double life = body.value("life_ms", 0.0) / 1000;
      leases_[id] = {life, now_s() + life};
      return {200, {{"tenure", id}}};
    }
    if (request.target.rfind("/holds/", 0) == 0) {
      const auto id = std::strtoull(request.target.c_str() + 7, nullptr, 10);
      const auto lease = leases_.find(id);
      if (lease == leases_.end()) return {404, Json::object()};
      if (request.method == "DELETE") {
        end_lease(id);
      } else {
        lease->second.ends = now_s() + lease->second.life;
      }
      return {200, Json::object()};
    }
    if (request.target.rfind("/store/", 0) == 0) {
      const auto found = keys_.find(request.target.substr(7));
      if (found == keys_.end()) return {404, {{"ledger", ledger_}}};
      return {200, item(*found)};
    }
    if (request.target.rfind("/store?", 0) == 0) return list(request.target);
    return {400, {{"error", "malformed"}}};
  }

 private:
  struct Entry {
    Json value;
    std::uint64_t stamp = 0, tenure = 0;
  };
  struct Lease {
    double life = 0, ends = 0;
  };
  struct Bucket {
    double tokens = -1, filled = 0;
  };

  static bool take(Bucket& bucket, double rate, double cost) {
    const double now = now_s();
    bucket.tokens = bucket.tokens < 0 ? rate : std::min(rate, bucket.tokens + (now - bucket.filled) * rate);
    bucket.filled = now;
    if (bucket.tokens < cost) return false;
    bucket.tokens -= cost;
    return true;
  }
  static Json item(const std::pair<const std::string, Entry>& each) {
    Json out{{"k", each.first}, {"value", each.second.value}, {"stamp", each.second.stamp}};
    if (each.second.tenure) out["tenure"] = each.second.tenure;
    return out;
  }
  void expire_leases() {
    if (out_) return;
    std::vector<std::uint64_t> ended;
    for (const auto& [id, lease] : leases_)
      if (lease.ends < now_s()) ended.push_back(id);
    for (const auto id : ended) end_lease(id);
  }
  void end_lease(std::uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> attached;
    for (const auto& [key, entry] : keys_)
      if (entry.tenure == id) attached.push_back(key);
    for (const auto& key : attached) {
      keys_.erase(key);
      log_.push_back({{"remove", key}, {"stamp", ++ledger_}});
      record("state service: key %s ends with its lease", key.c_str());
    }
    if (!attached.empty()) changed_.notify_all();
  }
  Answer transact(const Json& body) {
    const Json& apply = body.contains("apply") ? body["apply"] : empty_;
    const Json& guards = body.contains("guards") ? body["guards"] : empty_;
    if (apply.size() > static_cast<std::size_t>(figures_.txn_ops) ||
        guards.size() > 4 * static_cast<std::size_t>(figures_.txn_ops))
      return {400, {{"error", "too many"}}};
    for (const auto& change : apply)
      if (change.contains("value") && change["value"].dump(-1, ' ', false, Json::error_handler_t::replace).size() > figures_.value_kb * 1024)
        return {400, {{"error", "too large"}}};
    if (!take(writes_, figures_.state_write_rps, static_cast<double>(apply.size())))
      return {429, {{"error", "rate"}}};
    for (const auto& change : apply)
      if (change.contains("tenure") && !change["tenure"].is_null() &&
          !leases_.count(change["tenure"].get<std::uint64_t>()))
        return {400, {{"error", "no such lease"}}};
    Json failed = Json::array();
    for (const auto& guard : guards) {
      const auto found = keys_.find(guard["k"].get<std::string>());
      if ((found == keys_.end() ? 0 : found->second.stamp) != guard["stamp"].get<std::uint64_t>())
        failed.push_back(guard["k"]);
    }
    if (!failed.empty()) return {409, {{"failed", failed}, {"ledger", ledger_}}};
    if (apply.empty()) return {200, {{"ledger", ledger_}}};
    ++ledger_;
    for (const auto& change : apply) {
      if (change.contains("write")) {
        const auto key = change["write"].get<std::string>();
        const bool held = change.contains("tenure") && !change["tenure"].is_null();
        keys_[key] = {change["value"], ledger_, held ? change["tenure"].get<std::uint64_t>() : 0};
        log_.push_back({{"write", key}, {"value", change["value"]}, {"stamp", ledger_}});
      } else if (keys_.erase(change["remove"].get<std::string>()) > 0) {
        log_.push_back({{"remove", change["remove"]}, {"stamp", ledger_}});
      }
    }
    std::string names;
    for (const auto& change : apply)
      names += (change.contains("write") ? " write " : " remove ") +
               change[change.contains("write") ? "write" : "remove"].get<std::string>();
    record("state service: applied%s", names.c_str());
    changed_.notify_all();
    if (on_applied) on_applied(apply);
    return {200, {{"ledger", ledger_}}};
  }
  Answer list(const std::string& target) {
    const auto starts = query(target, "starts"), since = query(target, "since"), page = query(target, "page");
    const std::size_t limit = std::min<std::size_t>(1000, page.empty() ? 1000 : std::stoul(page));
    Json pairs = Json::array();
    bool more = false;
    for (const auto& each : keys_) {
      if (each.first.rfind(starts, 0) != 0 || (!since.empty() && each.first <= since)) continue;
      if (pairs.size() == limit) {
        more = true;
        break;
      }
      pairs.push_back(item(each));
    }
    return {200, {{"pairs", pairs}, {"more", more}, {"ledger", ledger_}}};
  }
  Answer watch(const std::string& target, Lock& lock) {
    const auto starts = query(target, "starts");
    const auto since = std::strtoull(query(target, "since").c_str(), nullptr, 10);
    const double ends = now_s() + std::strtod(query(target, "hold_ms").c_str(), nullptr) / 1000;
    for (;;) {
      if (!out_) {
        Json events = Json::array();
        for (const auto& event : log_) {
          const auto& key = event.contains("write") ? event["write"] : event["remove"];
          if (event["stamp"].get<std::uint64_t>() > since && key.get<std::string>().rfind(starts, 0) == 0)
            events.push_back(event);
        }
        if (!events.empty() || now_s() >= ends) return {200, {{"ledger", ledger_}, {"log", events}}};
      }
      const double wait = out_ ? 0.05 : std::max(0.001, ends - now_s());
      changed_.wait_for(lock, std::chrono::duration<double>(wait));
    }
  }

  const Figures& figures_;
  std::recursive_mutex mutex_;
  std::condition_variable_any changed_;
  std::map<std::string, Entry> keys_;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<Json> log_;
  std::uint64_t ledger_ = 10, next_lease_ = 0;
  Bucket requests_, writes_;
  bool out_ = false;
  const Json empty_ = Json::array();
  Server server_;
};

// ---- Jobs, and what their tasks do ----------------------------------------------------------------------------------

struct Job {
  Json spec;
  double run_s = 5;        // how long a task runs
  bool mistake = false;    // submitted with a mistake: a task fails after `run_s` on every machine
};

class Jobs {
 public:
  void add(const std::string& id, Job job) {
    const std::lock_guard<std::mutex> guard(mutex_);
    jobs_[id] = std::move(job);
  }
  std::optional<Job> find(const std::string& id) {
    const std::lock_guard<std::mutex> guard(mutex_);
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? std::nullopt : std::optional(found->second);
  }
  // Lets the task end now, wherever it runs.
  void finish(const std::string& piece) {
    const std::lock_guard<std::mutex> guard(mutex_);
    finished_.insert(piece);
  }
  bool finished(const std::string& piece) {
    const std::lock_guard<std::mutex> guard(mutex_);
    return finished_.count(piece) > 0;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, Job> jobs_;
  std::set<std::string> finished_;
};

inline std::string job_of(const std::string& piece) { return piece.substr(0, piece.find('/')); }

// ---- Workers --------------------------------------------------------------------------------------------------------

struct Piece {
  std::string piece;
  std::uint64_t attempt = 0;
  std::string stage = "pulling", cause;
  bool stored = false, started = false;
  double ready = 0, ends = 0;
};

// What happened to a task on a machine, for the check of a case.
struct TaskEvent {
  double at = 0;
  std::string machine, piece, what;  // what: run, start, done, error, killed, lost
  std::uint64_t attempt = 0;
};

class Events {
 public:
  void add(const std::string& machine, const Piece& piece, const std::string& what) {
    const std::lock_guard<std::mutex> guard(mutex_);
    events_.push_back({now_s(), machine, piece.piece, what, piece.attempt});
    record("%s: task %s attempt %llu: %s", machine.c_str(), piece.piece.c_str(),
           static_cast<unsigned long long>(piece.attempt), what.c_str());
  }
  std::vector<TaskEvent> all() {
    const std::lock_guard<std::mutex> guard(mutex_);
    return events_;
  }
  std::size_t count(const std::string& piece, const std::string& what) {
    std::size_t found = 0;
    for (const auto& event : all()) found += event.piece == piece && event.what == what;
    return found;
  }

 private:
  std::mutex mutex_;
  std::vector<TaskEvent> events_;
};

class Worker {
 public:
  Worker(std::string id, MachineType type, std::string zone, bool spot, const Figures& figures, Jobs& jobs,
         Events& events, std::vector<std::pair<std::string, int>> nodes)
      : id_(std::move(id)), type_(std::move(type)), zone_(std::move(zone)), spot_(spot), figures_(figures),
        jobs_(jobs), events_(events), nodes_(std::move(nodes)), random_(std::hash<std::string>{}(id_)),
        commands_([this](const Message& request) { return handle_direct(request); }) {
    lease_from_ = now_s();
    record("%s: machine is up (%s, %s, %s)", id_.c_str(), type_.name.c_str(), zone_.c_str(), spot_ ? "spot" : "ordinary");
    std::thread([this] { run_tasks(); }).detach();
    std::thread([this] { run_reports(); }).detach();
  }
  const std::string& id() const { return id_; }
  int port() const { return commands_.port(); }
  // The machine and everything on it are gone.
  void remove(const char* why) {
    Lock lock(mutex_);
    if (gone_) return;
    gone_ = true;
    record("%s: machine is gone (%s)", id_.c_str(), why);
    for (const auto& piece : pieces_)
      if (piece.stage != "exited") events_.add(id_, piece, "lost");
    pieces_.clear();
  }
  bool gone() {
    Lock lock(mutex_);
    return gone_;
  }
  const std::string& zone() const { return zone_; }
  bool spot() const { return spot_; }
  // The cloud takes the machine back after this time, and the worker reports that.
  void give_notice(double seconds) {
    Lock lock(mutex_);
    taken_at_ = now_s() + seconds;
    changed_ = true;
    record("%s: spot notice, %.1f s", id_.c_str(), seconds);
  }
  // Returns whether the cloud has to take the machine back now.
  bool notice_over() {
    Lock lock(mutex_);
    return taken_at_ > 0 && now_s() >= taken_at_;
  }
  double free_cpus() {
    Lock lock(mutex_);
    double used = 0;
    for (const auto& piece : pieces_)
      if (piece.stage != "exited")
        if (const auto job = jobs_.find(job_of(piece.piece))) used += job->spec["vcpus"].get<double>();
    return gone_ ? 0 : type_.cpus - used;
  }
  std::size_t tasks() {
    Lock lock(mutex_);
    return pieces_.size();
  }

 private:
  void run_tasks() {
    for (;;) {
      sleep_s(0.02);
      Lock lock(mutex_);
      if (gone_) return;
      check_lease();
      for (auto& piece : pieces_) step(piece);
    }
  }
  void check_lease() {
    if (now_s() - lease_from_ <= figures_.lease_s) return;
    record("%s: lease ended, session %llu", id_.c_str(), static_cast<unsigned long long>(session_ + 1));
    for (const auto& piece : pieces_)
      if (piece.stage != "exited") events_.add(id_, piece, "lost");
    pieces_.clear();
    ++session_;
    lease_from_ = now_s();
    changed_ = true;
  }
  void step(Piece& piece) {
    if (piece.stage == "pulling" && now_s() >= piece.ready) {
      const auto job = jobs_.find(job_of(piece.piece));
      if (kept_.count(piece.piece)) return exit(piece, "done");
      piece.stage = "running";
      piece.started = true;
      const bool standing = job && job->spec["shape"] == "standing";
      piece.ends = standing ? 1e18 : now_s() + (job ? job->run_s : 0);
      events_.add(id_, piece, "start");
      changed_ = true;
    } else if (piece.stage == "running" && (now_s() >= piece.ends || jobs_.finished(piece.piece))) {
      const auto job = jobs_.find(job_of(piece.piece));
      if (job && job->mistake) return exit(piece, "error");
      kept_.insert(piece.piece);
      exit(piece, "done");
    } else if (piece.stage == "saving" && now_s() >= piece.ends) {
      piece.stored = true;
      exit(piece, "halted");
    }
  }
  void exit(Piece& piece, const std::string& cause) {
    piece.stage = "exited";
    piece.cause = cause;
    changed_ = true;
    events_.add(id_, piece, cause == "halted" ? "killed" : cause);
  }
  Json report() {
    Json pieces = Json::array();
    for (const auto& piece : pieces_) {
      Json each{{"piece", piece.piece}, {"try", piece.attempt}, {"stage", piece.stage}};
      if (piece.stage == "exited") each["cause"] = piece.cause;
      if (piece.stored) each["stored"] = true;
      pieces.push_back(std::move(each));
    }
    return {{"dyke", id_},        {"endpoint", "127.0.0.1:" + std::to_string(port())},
            {"build", type_.name}, {"polder", zone_},
            {"ebbtide", spot_},    {"watch", session_},
            {"tally", ++tally_},   {"warrant", token_},
            {"warning_s", taken_at_ > 0 ? Json(std::max(0.0, taken_at_ - now_s())) : Json()}, {"pieces", std::move(pieces)}};
  }
  void run_reports() {
    std::uniform_real_distribution<double> vary(0.75, 1.25);
    double due = now_s();
    double sent = -1;
    std::size_t node = std::hash<std::string>{}(id_) % nodes_.size();
    Client client;
    for (;;) {
      sleep_s(0.02);
      Json body;
      std::uint64_t session;
      {
        Lock lock(mutex_);
        if (gone_) return;
        if (now_s() < due && !(changed_ && now_s() - sent >= 0.5)) continue;
        changed_ = false;
        session = session_;
        body = report();
      }
      sent = now_s();
      due = sent + figures_.report_s * vary(random_);
      const auto response = client.call(nodes_[node].second, "POST", "/v1/report", pack(body), 4);
      Lock lock(mutex_);
      if (gone_) return;
      record("%s -> %s report tally %llu token %llu %s: %d", id_.c_str(), nodes_[node].first.c_str(),
             static_cast<unsigned long long>(body["tally"].get<std::uint64_t>()),
             static_cast<unsigned long long>(body["warrant"].get<std::uint64_t>()), body["pieces"].dump(-1, ' ', false, Json::error_handler_t::replace).c_str(),
             response ? response->status : 0);
      if (response && response->status == 421) {
        const std::string named = unpack(response->body).value("harbour", std::string());
        client.close();
        const auto found =
            std::find_if(nodes_.begin(), nodes_.end(), [&](const auto& each) { return each.first == named; });
        if (found != nodes_.end() && found->first != nodes_[node].first) {
          node = static_cast<std::size_t>(found - nodes_.begin());
          due = now_s() + 0.1;
        } else {
          node = (node + 1) % nodes_.size();
          due = now_s() + 1;
        }
        continue;
      }
      if (!response || response->status != 200) {
        client.close();
        node = (node + 1) % nodes_.size();
        due = now_s() + 1;
        changed_ = false;
        continue;
      }
      const Json answer = unpack(response->body);
      const auto token = answer.value("warrant", std::uint64_t{0});
      if (token < token_ || token == 0 || session != session_) continue;
      if (token > token_) {
        token_ = token;
        if (now_s() - token_told_ > figures_.lease_s / 2) {
          token_told_ = now_s();
          changed_ = true;
        }
      }
      lease_from_ = sent;
      execute(answer["orders"]);
    }
  }
  Answer handle_direct(const Message& request) {
    Lock lock(mutex_);
    if (gone_) return {0, Json(), true};
    if (request.target == "/show") return {200, report()};
    const Json body = unpack(request.body);
    if (!body.contains("warrant") || !body.contains("watch")) return {400, Json::object()};
    if (body["warrant"].get<std::uint64_t>() < token_ || body["watch"].get<std::uint64_t>() != session_)
      return {409, report()};
    token_ = body["warrant"].get<std::uint64_t>();
    execute(body["orders"]);
    return {200, report()};
  }
  void execute(const Json& orders) {
    for (const auto& order : orders) {
      const auto verb = order["verb"].get<std::string>();
      const auto name = order["piece"].get<std::string>();
      const auto attempt = order["try"].get<std::uint64_t>();
      record("%s: order %s %s attempt %llu", id_.c_str(), verb.c_str(), name.c_str(),
             static_cast<unsigned long long>(attempt));
      auto piece = std::find_if(pieces_.begin(), pieces_.end(),
                                [&](const Piece& each) { return each.piece == name && each.attempt == attempt; });
      if (verb == "forget") {
        if (piece != pieces_.end() && piece->stage == "exited") pieces_.erase(piece);
        changed_ = true;
      } else if (verb == "kill") {
        if (piece != pieces_.end()) kill(*piece, order.value("leeway_s", 0.0));
      } else if (verb == "run" && piece == pieces_.end()) {
        run(name, attempt);
      }
    }
  }
  void kill(Piece& piece, double leeway_s) {
    if (piece.stage == "exited" || (piece.stage == "saving" && leeway_s > 0)) return;
    const auto job = jobs_.find(job_of(piece.piece));
    const double stow_s = job ? job->spec["stow_s"].get<double>() : 0;
    if (piece.stage == "running" && job && job->spec["mark_s"].get<double>() > 0 && leeway_s >= stow_s) {
      piece.stage = "saving";
      piece.ends = now_s() + stow_s;
      changed_ = true;
    } else {
      exit(piece, "halted");
    }
  }
  void run(const std::string& name, std::uint64_t attempt) {
    Piece piece;
    piece.piece = name;
    piece.attempt = attempt;
    const auto job = jobs_.find(job_of(name));
    const bool busy = std::any_of(pieces_.begin(), pieces_.end(), [&](const Piece& each) {
      return each.piece == name && each.stage != "exited";
    });
    events_.add(id_, piece, "run");
    piece.ready = now_s() + 0.3;
    if (!job || busy || job->spec["vcpus"].get<double>() > free_cpus() + 1e-6) {
      piece.stage = "exited";
      piece.cause = !job ? "no_such" : busy ? "busy" : "no_room";
      record("%s: refused %s: %s", id_.c_str(), name.c_str(), piece.cause.c_str());
    }
    pieces_.push_back(std::move(piece));
    changed_ = true;
  }

  const std::string id_;
  const MachineType type_;
  const std::string zone_;
  const bool spot_;
  const Figures& figures_;
  Jobs& jobs_;
  Events& events_;
  const std::vector<std::pair<std::string, int>> nodes_;
  std::mt19937 random_;
  std::recursive_mutex mutex_;
  std::vector<Piece> pieces_;
  std::set<std::string> kept_;  // results
  std::uint64_t session_ = 1, tally_ = 0, token_ = 0;
  double lease_from_ = 0, token_told_ = -1e9, taken_at_ = 0;
  bool changed_ = false, gone_ = false;
  Server commands_;
};

// ---- The cloud ------------------------------------------------------------------------------------------------------

class Cloud {
 public:
  Cloud(const Figures& figures, Jobs& jobs, Events& events)
      : figures_(figures), jobs_(jobs), events_(events),
        server_([this](const Message& request) { return handle(request); }) {
    std::thread([this] {
      for (;; sleep_s(0.05)) {
        Lock lock(mutex_);
        for (auto& machine : machines_)
          if (machine->gone < 0 && machine->worker && machine->worker->notice_over()) {
            machine->gone = now_s();
            machine->worker->remove("taken back");
          }
      }
    }).detach();
  }
  int port() const { return server_.port(); }
  void set_nodes(std::vector<std::pair<std::string, int>> nodes) { nodes_ = std::move(nodes); }
  // Machines that the cloud can still rent out, of all types, zones and kinds.
  std::atomic<int> capacity{1000};
  // The same of one zone, if set.
  void set_zone_capacity(const std::string& zone, int machines) {
    Lock lock(mutex_);
    zone_capacity_[zone] = machines;
  }

  // A machine that is up now.
  std::string add(const MachineType& type, const std::string& zone, bool spot) {
    Lock lock(mutex_);
    return create(type, zone, spot, 0);
  }
  std::vector<std::shared_ptr<Worker>> workers() {
    Lock lock(mutex_);
    std::vector<std::shared_ptr<Worker>> up;
    for (const auto& machine : machines_)
      if (machine->worker && machine->gone < 0) up.push_back(machine->worker);
    return up;
  }
  std::shared_ptr<Worker> worker(const std::string& id) {
    for (const auto& each : workers())
      if (each->id() == id) return each;
    return nullptr;
  }

 private:
  struct Machine {
    std::string id, zone;
    MachineType type;
    bool spot = false;
    double rented = 0, up = 0, gone = -1;
    std::shared_ptr<Worker> worker;
  };

  std::string create(const MachineType& type, const std::string& zone, bool spot, double boot_s) {
    auto machine = std::make_shared<Machine>();
    char id[16];
    std::snprintf(id, sizeof id, "n-%06d", ++created_);
    machine->id = id;
    machine->zone = zone;
    machine->type = type;
    machine->spot = spot;
    machine->rented = now_s();
    machine->up = now_s() + boot_s;
    machines_.push_back(machine);
    std::thread([this, machine, boot_s] {
      sleep_s(boot_s);
      Lock lock(mutex_);
      if (machine->gone >= 0) return;
      machine->worker = std::make_shared<Worker>(machine->id, machine->type, machine->zone, machine->spot, figures_,
                                                 jobs_, events_, nodes_);
    }).detach();
    return machine->id;
  }
  Answer handle(const Message& request) {
    sleep_s(0.05);
    Lock lock(mutex_);
    if (request.target == "/flavors") {
      Json builds = Json::array();
      for (const auto& type : figures_.types)
        builds.push_back({{"name", type.name}, {"vcpus", type.cpus}, {"gpus", type.gpus}, {"ram_gb", type.ram_gb},
                          {"local_gb", 60}, {"pull_gb_per_s", type.pull_gb_per_s}, {"price", type.price},
                          {"market_price", type.spot_price}, {"ready_s", type.ready_s}, {"polders", type.zones}});
      return {200, {{"builds", builds}}};
    }
    if (request.target.rfind("/machines?", 0) == 0) return list(request.target);
    const Json body = unpack(request.body);
    if (request.target == "/machines/delete") {
      record("cloud: delete %s", body["dykes"].dump().c_str());
      for (const auto& name : body["dykes"])
        for (auto& machine : machines_)
          if (machine->id == name.get<std::string>() && machine->gone < 0) {
            machine->gone = now_s();
            if (machine->worker) machine->worker->remove("deleted");
          }
      return {200, Json::object()};
    }
    if (request.target != "/machines") return {400, Json::object()};
    const auto charter = body["charter"].get<std::string>();
    if (const auto known = charters_.find(charter); known != charters_.end()) return {200, known->second};
    Json names = Json::array();
    for (const auto& type : figures_.types) {
      if (type.name != body["build"].get<std::string>()) continue;
      const auto zone = zone_capacity_.find(body["polder"].get<std::string>());
      for (std::uint64_t i = 0; i < body["count"].get<std::uint64_t>() && capacity > 0; ++i, --capacity) {
        if (zone != zone_capacity_.end() && zone->second-- <= 0) {
          zone->second = 0;
          break;
        }
        names.push_back(create(type, body["polder"], body["ebbtide"], figures_.boot_s));
      }
    }
    record("cloud: rental %s: %s", body.dump().c_str(), names.dump().c_str());
    if (names.empty()) return {503, {{"error", "no capacity"}}};
    charters_[charter] = {{"dykes", names}};
    return {200, charters_[charter]};
  }
  Answer list(const std::string& target) {
    const auto since = query(target, "since");
    const double at = now_s() - figures_.list_lag_s;
    Json listed = Json::array();
    for (const auto& machine : machines_) {
      if (machine->id <= since || machine->rented > at || (machine->gone >= 0 && machine->gone <= at)) continue;
      listed.push_back({{"id", machine->id}, {"endpoint", "127.0.0.1:1"}, {"build", machine->type.name},
                        {"polder", machine->zone}, {"ebbtide", machine->spot},
                        {"stage", machine->up > at ? "booting" : "running"}, {"held_s", at - machine->rented}});
    }
    return {200, {{"dykes", listed}, {"more", false}}};
  }

  const Figures& figures_;
  Jobs& jobs_;
  Events& events_;
  std::vector<std::pair<std::string, int>> nodes_;
  std::recursive_mutex mutex_;
  std::vector<std::shared_ptr<Machine>> machines_;
  std::map<std::string, Json> charters_;
  std::map<std::string, int> zone_capacity_;
  int created_ = 0;
  Server server_;
};

// ---- The controllers ------------------------------------------------------------------------------------------------

// Returns the program and its arguments from the deploy file.
inline std::vector<std::string> run_command(const std::string& root) {
  std::ifstream file(root + "/deploy/service.toml");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind("run = \"", 0) != 0) continue;
    std::istringstream words(line.substr(7, line.rfind('"') - 7));
    std::vector<std::string> command;
    for (std::string word; words >> word;) command.push_back(word);
    return command;
  }
  std::exit(2);
}

class Deployment {
 public:
  explicit Deployment(Figures figures_in, std::string root, std::string folder)
      : figures(std::move(figures_in)), root_(std::move(root)), folder_(std::move(folder)), state(figures),
        cloud(figures, jobs, events) {
    const auto ports = free_ports(2 * figures.controllers);
    for (int i = 0; i < figures.controllers; ++i) {
      nodes_.push_back({"dyke-" + std::to_string(i), ports[static_cast<std::size_t>(2 * i)]});
      internal_.push_back(ports[static_cast<std::size_t>(2 * i + 1)]);
    }
    pids_.assign(nodes_.size(), 0);
    cloud.set_nodes(nodes_);
  }
  ~Deployment() {
    for (std::size_t i = 0; i < pids_.size(); ++i) kill(static_cast<int>(i), SIGKILL);
  }

  Figures figures;

 private:
  std::string root_, folder_;

 public:
  Jobs jobs;
  Events events;
  StateService state;
  Cloud cloud;

  // Ports that the controllers use instead of the state service's own, by number: those of a proxy.
  std::map<int, int> state_port_of;

  void start(int number) {
    const auto index = static_cast<std::size_t>(number);
    Json siblings = Json::array(), teams = Json::array();
    for (std::size_t i = 0; i < nodes_.size(); ++i)
      if (i != index)
        siblings.push_back({{"host_name", nodes_[i].first},
                            {"zone", figures.zones[i % figures.zones.size()]},
                            {"addr", "127.0.0.1:" + std::to_string(internal_[i])}});
    for (auto team : figures.teams) {
      for (const char* field : {"cpus", "cpus_max", "gpus", "gpus_max"})
        if (!team.contains(field)) team[field] = 0.0;
      teams.push_back(team);
    }
    const int state_port = state_port_of.count(number) ? state_port_of[number] : state.port();
    const Json settings{
        {"host_name", nodes_[index].first},
        {"zone", figures.zones[index % figures.zones.size()]},
        {"public_addr", "127.0.0.1:" + std::to_string(nodes_[index].second)},
        {"internal_addr", "127.0.0.1:" + std::to_string(internal_[index])},
        {"siblings", siblings},
        {"services",
         {{"cloud", "127.0.0.1:" + std::to_string(cloud.port())}, {"state", "127.0.0.1:" + std::to_string(state_port)}}},
        {"settings",
         {{"nodes", figures.controllers},
          {"zones", figures.zones},
          {"teams", teams},
          {"objectives", figures.objectives},
          {"workers",
           {{"report_s", figures.report_s}, {"lease_s", figures.lease_s}, {"gang_wait_s", figures.gang_wait_s},
            {"gang_peer_s", figures.gang_peer_s}, {"cancel_s", figures.cancel_s}}},
          {"state",
           {{"rps", figures.state_rps}, {"write_rps", figures.state_write_rps}, {"value_kb", figures.value_kb},
            {"txn_ops", figures.txn_ops}}},
          {"cloud", {{"rps", figures.cloud_rps}, {"list_lag_s", figures.list_lag_s}}},
          {"resources", {{"core_share", 0.24}, {"ram_mb", 200.0}, {"fd_limit", 4000}}},
          {"clock_off_ms", 1000.0}}}};
    const std::string path = folder_ + "/" + nodes_[index].first + ".json";
    std::ofstream(path) << settings.dump(2);
    auto command = run_command(root_);
    command.push_back(path);
    const std::string log = folder_ + "/" + nodes_[index].first + ".log";
    const pid_t parent = ::getpid();
    const pid_t pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent) ::_exit(2);
      if (::chdir(root_.c_str()) != 0) ::_exit(2);
      const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(fd, 2);
      ::dup2(fd, 1);
      std::vector<char*> arguments;
      for (auto& word : command) arguments.push_back(word.data());
      arguments.push_back(nullptr);
      ::execv(arguments[0], arguments.data());
      ::_exit(2);
    }
    pids_[index] = pid;
    record("%s: started", nodes_[index].first.c_str());
  }
  void start_all() {
    for (int i = 0; i < figures.controllers; ++i) start(i);
  }
  void kill(int number, int signal) {
    auto& pid = pids_[static_cast<std::size_t>(number)];
    if (pid == 0) return;
    ::kill(pid, signal);
    record("%s: signal %d", nodes_[static_cast<std::size_t>(number)].first.c_str(), signal);
    if (signal != SIGKILL) return;
    ::waitpid(pid, nullptr, 0);
    pid = 0;
  }
  // Returns how a controller that nobody ended has ended, or an empty text.
  std::string ended(int number) {
    auto& pid = pids_[static_cast<std::size_t>(number)];
    int status = 0;
    if (pid == 0 || ::waitpid(pid, &status, WNOHANG) != pid) return {};
    pid = 0;
    return WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                               : "exit status " + std::to_string(WEXITSTATUS(status));
  }
  int public_port(int number) const { return nodes_[static_cast<std::size_t>(number)].second; }
  int leader() {
    const auto host = state.leader();
    for (std::size_t i = 0; i < nodes_.size(); ++i)
      if (nodes_[i].first == host) return static_cast<int>(i);
    return -1;
  }
  bool healthy(int number) {
    Client client;
    const auto response = client.call(public_port(number), "GET", "/healthz", {}, 1);
    return response && response->status == 200;
  }
  // Waits until one controller leads and all are healthy.
  bool wait_ready(double limit_s) {
    for (const double ends = now_s() + limit_s; now_s() < ends; sleep_s(0.1)) {
      bool ready = leader() >= 0;
      for (int i = 0; ready && i < figures.controllers; ++i) ready = healthy(i);
      if (ready) return true;
    }
    return false;
  }

  // ---- Users ----

  // A user's request to one node, with what it sent and got in the record.
  std::optional<Message> ask(int node, const std::string& method, const std::string& target, const std::string& body,
                             double timeout_s) {
    Client client;
    const double sent = now_s();
    auto response = client.call(public_port(node), method, target, body, timeout_s);
    record("user -> dyke-%d %s %s (sent at %.3f): %d %s", node, method.c_str(), target.c_str(), sent,
           response ? response->status : 0, response && !response->body.empty() ? unpack(response->body).dump().c_str() : "");
    return response;
  }
  Json spec(const std::string& id, int pieces, double vcpus) const {
    return {{"id", id}, {"lane", "pesate"}, {"crew", "sensori"}, {"shape", "batch"}, {"urgency", "normal"},
            {"pieces", pieces}, {"vcpus", vcpus}, {"gpus", 0.0}, {"ram_gb", 4.0}, {"hull", "img-01"},
            {"image_gb", 0.2}, {"builds", nullptr}, {"polder", nullptr}, {"same_place", false}, {"spread", false},
            {"ebbtide", true}, {"expect_s", 10.0}, {"mark_s", 0.0}, {"stow_s", 0.0}, {"due_s", nullptr}};
  }
  // Submits a job as a user does: repeated after 1 s until it is answered. Returns the status, 0 after 60 s.
  int submit(int node, Job job, double limit_s = 60) {
    const auto id = job.spec["id"].get<std::string>();
    const auto body = pack(job.spec);
    jobs.add(id, std::move(job));
    for (const double ends = now_s() + limit_s; now_s() < ends; sleep_s(1)) {
      const auto response = ask(node, "POST", "/work", body, 5);
      if (response && (response->status == 200 || response->status == 201 || response->status == 400 ||
                       response->status == 422))
        return response->status;
      node = (node + 1) % figures.controllers;
    }
    return 0;
  }
  std::string withdraw(int node, const std::string& id, double limit_s = 60) {
    for (const double ends = now_s() + limit_s; now_s() < ends; sleep_s(1)) {
      const auto response = ask(node, "POST", "/work/" + id + "/withdraw", {}, 5);
      if (response && response->status == 200) return unpack(response->body).value("stage", std::string());
      node = (node + 1) % figures.controllers;
    }
    return {};
  }
  // Returns the stage, the status as text if it is not 200, or an empty text without an answer.
  std::string poll(int node, const std::string& id) {
    const auto response = ask(node, "GET", "/work/" + id, {}, 2);
    if (!response) return {};
    if (response->status != 200) return std::to_string(response->status);
    return unpack(response->body).value("stage", std::string());
  }
  std::string wait_stage(const std::string& id, const std::string& stage, double limit_s) {
    std::string last;
    int node = 0;
    for (const double ends = now_s() + limit_s; now_s() < ends; sleep_s(0.5)) {
      last = poll(node++ % figures.controllers, id);
      if (last == stage) break;
    }
    return last;
  }

 private:
  std::vector<std::pair<std::string, int>> nodes_;
  std::vector<int> internal_;
  std::vector<pid_t> pids_;
};

// Runs a case: arguments are the project's root, a temporary folder and the path of the record. Exits with 1 if the
// rule was broken, 0 if it held and 2 if the case couldn't run.
inline int run_case(int argc, char** argv, const std::function<int(Deployment&)>& play, Figures figures = {}) {
  if (argc != 4) return 2;
  ::signal(SIGPIPE, SIG_IGN);
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with the script, and the controllers with this program
  record_file = std::fopen(argv[3], "w");
  if (!record_file) return 2;
  int result = 2;
  {
    static std::unique_ptr<Deployment> deployment;
    deployment = std::make_unique<Deployment>(std::move(figures), argv[1], argv[2]);
    result = play(*deployment);
    for (int i = 0; i < deployment->figures.controllers; ++i) deployment->kill(i, SIGKILL);
  }
  record("result: %s", result == 0 ? "the rule held" : result == 1 ? "the rule was broken" : "the case couldn't run");
  std::fflush(nullptr);
  ::_exit(result);  // the stand-ins' threads end with the process
}

}  // namespace lab
