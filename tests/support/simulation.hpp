// A whole deployment in simulated time: controllers as they are, and fakes of store, cloud, workers and users
// that keep to PROTOCOL. Links can refuse, lose, hold, repeat and delay. Every answer and every start is
// checked against PROTOCOL's rules, whatever the scenario.
#pragma once

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <memory>
#include <random>

#include "app/controller.hpp"
#include "cluster_fixture.hpp"
#include "core/task_fit.hpp"
#include "fakes.hpp"
#include "message_trace.hpp"
#include "simulation_types.hpp"

namespace dockdyke::testing {

class Simulation {
 public:
  explicit Simulation(Options options);

  // ---- What a scenario does
  // ----------------------------------------------------------------------------------

  void run(double s);
  bool run_until(const std::function<bool()>& condition, double most_s);

  // A user submits it, asks about it every 3 s and, after `cancel_after_s`, calls it off.
  void submit(wire::JobSpec spec, std::optional<double> cancel_after_s = {});
  // Through this controller, or any.
  void cancel(const std::string& id, std::optional<int> controller = {});
  void ask_again(const std::string& id) { net::spawn(submit_again(this, id)); }

  void inject_fault(std::string from, std::string to, Link link, double for_s, double share = 1);
  // The store puts the announced limits in force, without notice.
  void lower_limits();
  void outage(double for_s);
  // Ends the process; it is back after `back_s` with nothing but its settings.
  void crash(int number, double back_s);
  // Which version the controller runs from its next start on.
  void set_older(int number, bool older);
  std::optional<int> leader() const;
  static std::string host(int controller) { return "dyke-" + std::to_string(controller); }
  app::Controller* controller(int number) { return seats_.at(static_cast<std::size_t>(number)).controller; }

  std::vector<SimWorker*> workers_up();
  // Workers on which a task of this job is.
  std::vector<SimWorker*> workers_of(const std::string& id);
  void hang(SimWorker& worker, double for_s);
  void die(SimWorker& worker);
  std::size_t tasks_on_machines(const std::string& id);
  const core::ClusterConfig& config() const { return options_.config; }
  // When the job's tasks must be gone; nothing as long as no user was told of a cancellation.
  std::optional<net::TimePoint> cancellation_deadline(const JobId& id) const;
  const SimJob& job(const std::string& id) const { return jobs_.at(id); }
  const std::map<std::string, SimJob>& all_jobs() const { return jobs_; }
  std::size_t starts() const { return starts_; }
  std::size_t gang_starts() const { return gang_starts_; }
  // Gangs all of whose tasks saved together.
  std::size_t gang_saves() const { return gang_saves_; }
  std::size_t direct_commands() const { return direct_commands_; }
  // The cloud takes the machine back in so many seconds, and its worker reports it.
  void give_notice(SimWorker& worker, double termination_notice_s);
  double random(double from, double to) { return std::uniform_real_distribution<double>(from, to)(random_); }
  std::size_t pick(std::size_t of) { return std::uniform_int_distribution<std::size_t>(0, of - 1)(random_); }

  // With all faults over: every accepted job ends or was called off, and no question goes unanswered for 75
  // s.
  void expect_all_served(double target_s);
  // Nothing of a job that is over stays in the store but its end.
  void expect_nothing_left(double target_s);
  std::string unfinished() const;
  void expect_answered_lately();

  net::Loop loop{net::Loop::TimeSource::simulated};
  FakeState store;
  // Requests for this target never arrive.
  std::string lost_target;
  // The cloud answers nobody.
  bool cloud_out = false;
  std::size_t capacity = 12;  // machines in each zone and of each kind

 private:
  struct Seat {
    app::Controller* controller = nullptr;
    std::size_t process = 0;
    bool older = false;
  };
  class Transport : public net::Transport {
   public:
    Transport(Simulation& simulation, std::string host, std::size_t process)
        : simulation_(simulation), host_(std::move(host)), process_(process) {}
    net::Task<net::CallResult> call(net::Address to, std::string method, std::string target, std::string body,
                                    net::Duration timeout) override {
      if (simulation_.ended_.contains(process_)) co_await simulation_.loop.sleep(std::chrono::hours(100));
      net::CallResult result;
      std::optional<net::HttpMessage> got = co_await simulation_.exchange(
          host_, simulation_.host_at(to), std::move(method), std::move(target), std::move(body), timeout);
      if (simulation_.ended_.contains(process_)) co_await simulation_.loop.sleep(std::chrono::hours(100));
      if (got && got->status == kRefused) {
        result.never_sent = true;
      } else {
        result.response = std::move(got);
      }
      co_return result;
    }

   private:
    Simulation& simulation_;
    std::string host_;
    std::size_t process_;
  };

  static constexpr int kRefused = -1;  // no response but a refused connection

  void start_controller(int number);

  // ---- Links ----------------------------------------------------------------------------------------------

  net::Address address(const std::string& host);
  std::string host_at(const net::Address& at);

  Fate fate(const std::string& from, const std::string& to, const std::string& target);

  net::Task<std::optional<net::HttpMessage>> exchange(std::string from, std::string to, std::string method,
                                                      std::string target, std::string body,
                                                      net::Duration timeout);

  static net::Task<void> carry(Simulation* simulation, Fate fate, std::string from, std::string to,
                               std::string method, std::string target, std::string body,
                               net::OneShot<net::HttpMessage> answered);

  net::Task<net::HttpMessage> at_controller(std::string to, std::string method, std::string target,
                                            std::string body);

  // A direct order. A machine that hangs carries it out when it goes on; one that is gone never answers.
  net::Task<std::optional<net::HttpMessage>> at_worker(std::string to, std::string body);

  // ---- Store and cloud ------------------------------------------------------------------------------------

  bool refused_by_store(const std::string& from);

  // ---- The earlier version (simulated_older_version.cpp) --------------------------------------------------

  bool is_older(const std::string& host) const;
  // Gangs in a message, spelled so that today's parser knows them no better than the earlier one did.
  static std::string foreign_to_older(std::string body);
  // What an older controller's call becomes, and what it makes of the store's answer.
  net::HttpMessage older_store_call(const std::string& method, const std::string& target,
                                    const std::string& body);
  // The answer of an older controller to a request that is new to it; nothing where it knows the kind.
  static std::optional<int> older_refusal(const std::string& target, const std::string& body);

  net::Task<net::HttpMessage> at_store(std::string from, bool refuse, std::string method, std::string target,
                                       std::string body);

  static net::Task<void> keep_store_time(Simulation* simulation);

  net::Task<net::HttpMessage> at_cloud(std::string target, std::string body);

  Json rent(const Json& request);

  net::HttpMessage machine_list(const std::string& since);

  // ---- Workers --------------------------------------------------------------------------------------------

  static net::Task<void> live(Simulation* simulation, std::shared_ptr<SimWorker> worker);

  void step(SimWorker& worker, const std::shared_ptr<SimWorker>& shared);

  bool is_gang(const HeldTask& task) const;

  // The gang's tasks that are on machines which work on them.
  std::vector<std::pair<SimWorker*, HeldTask*>> members(const std::string& id, std::uint64_t attempt);

  // Gangs start when the last task has its image, end together, and notice within `gang_peer_s` when one is
  // gone.
  void run_gangs();

  // All tasks told in time save and end together; one that is missing spoils it.
  void save_gang(SimGang& gang, std::vector<std::pair<SimWorker*, HeldTask*>>& tasks,
                 const wire::JobSpec& spec);

  static void change(SimWorker& worker, HeldTask& task, wire::TaskState state, std::string cause);

  // Of the worker's own clock; a machine that hangs past it runs nothing when it goes on.
  bool lease_over(const SimWorker& worker) const;

  // A higher token is a change to be reported, but no more than once per half of a lease.
  void note_higher_token(SimWorker& worker) const;

  static const char* spelled(wire::TaskState state);

  static net::Task<void> heartbeat(Simulation* simulation, std::shared_ptr<SimWorker> worker);

  // A running task that can save does so if there is time; any other ends at once.
  void stop_task(HeldTask& task, double leeway_s);

  void obey(SimWorker& worker, const Json& command);

  // ---- Users ----------------------------------------------------------------------------------------------

  net::Task<std::optional<net::HttpMessage>> ask(std::string method, std::string target, std::string body,
                                                 double max_staleness_s, std::optional<int> controller);

  // Checks what a user is told of a job. An answer that others overtook on its way may be older than they
  // are.
  void told(const std::string& id, const net::HttpMessage& answer, net::TimePoint asked_at);

  static net::Task<void> be_user(Simulation* simulation, std::string id);

  static net::Task<void> call_off(Simulation* simulation, std::string id, std::optional<int> controller);

  static net::Task<void> submit_again(Simulation* simulation, std::string id);

  // ---- The rules ------------------------------------------------------------------------------------------

  // Where its tasks are, to tell why a job does not end.
  std::string places_of(const std::string& id) const;

  double time() const { return seconds_between(began_, loop.now()); }

  // Whether the task may still be running there. A worker that hangs past its lease kills all as it goes on.
  bool on(const SimWorker& worker, const HeldTask& task) const;

  void started(const SimWorker& here, const HeldTask& task);

  void check_cancelled();

  // No answer renews a lease beyond the time by which a cancelled task on the machine must be gone, unless it
  // carries the stop.
  void check_renewal(const SimWorker& worker) const;

  // Shortly before its time is up a cancelled task must be certain to go: with its worker's lease, or with
  // its machine, whose deletion is on record.
  void check_cancelled_task_is_ending(const SimWorker& worker, const HeldTask& task, double left_s) const;
  bool deletion_recorded(const SimWorker& worker) const;

  // With all faults over no job waits for 90 s while a machine that fits has room and its team may use it.
  void check_waiting();

  bool has_room(const wire::JobSpec& spec, wire::Resources used,
                const std::map<std::string, std::size_t>& zones) const;

  // Room for all tasks at the same time.
  bool has_room_for_gang(const wire::JobSpec& spec, wire::Resources used) const;

  Options options_;
  std::mt19937_64 random_;
  std::map<std::uint32_t, std::string> hosts_;
  std::map<std::string, std::uint32_t> numbers_;  // of hosts
  std::vector<LinkFault> link_faults_;
  net::TimePoint outage_until_;
  std::vector<std::unique_ptr<Transport>> transports_;
  std::vector<std::unique_ptr<app::Controller>> controllers_;
  std::vector<Seat> seats_;
  std::size_t processes_ = 0;
  std::set<std::size_t> ended_;
  std::vector<std::shared_ptr<SimWorker>> workers_;
  std::map<std::string, Json> rentals_;
  std::map<std::string, SimJob> jobs_;
  std::size_t starts_ = 0;
  std::size_t gang_starts_ = 0;
  std::size_t gang_saves_ = 0;
  std::size_t direct_commands_ = 0;
  std::map<std::pair<std::string, std::uint64_t>, SimGang> gangs_;  // by job and attempt
  bool calm_ = false;                                               // all faults are over
  net::TimePoint began_ = loop.now();
  wire::MachineType cloud_type_ = FakeCloud().type;
  MessageTrace trace_;
};

}  // namespace dockdyke::testing
