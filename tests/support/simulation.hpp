// A complete deployment in simulated time: real controllers, and fakes of the state service, the cloud,
// workers and users that follow PROTOCOL. Links can refuse, drop, delay and duplicate messages. The
// invariants of PROTOCOL are checked in every scenario.
#pragma once

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <functional>
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
  explicit Simulation(SimulationOptions options);

  // ---- Scenario actions -----------------------------------------------------------------------------------

  // Runs for this long, or until a check fails.
  void run(double duration_s);
  // Returns false if the condition does not hold within the time or a check fails.
  bool run_until(const std::function<bool()>& condition, double timeout_s);

  // Simulates a user who submits the job, polls it every 3 s and cancels it after `cancel_after_s`, if given.
  void submit(wire::JobSpec spec, std::optional<double> cancel_after_s = {});
  // Cancels the job through this controller, or through a random one for each attempt.
  void cancel(const std::string& id, std::optional<int> controller = {});
  // Submits the accepted job again, to this controller or to a random one.
  void resubmit(const std::string& id, std::optional<int> controller = {}) {
    net::spawn(send_resubmission(this, id, controller));
  }
  // Keeps every request from now on that arrives at its receiver, except reads that wait for changes.
  void record_requests() { recording_requests_ = true; }
  const std::vector<DeliveredRequest>& recorded_requests() const { return recorded_requests_; }
  // Delivers a copy of each recorded request, in random order within `duration_s`. Nobody gets the responses.
  void deliver_copies(double duration_s);

  void inject_fault(std::string from, std::string to, LinkFaultKind kind, double duration_s,
                    double affected_fraction = 1);
  // Makes the state service enforce the announced lower limits.
  void lower_state_service_limits();
  void start_state_service_outage(double duration_s);
  // Ends the process. It restarts after `restart_after_s` without any state of its own.
  void crash_controller(int number, double restart_after_s);
  // Selects the version that the controller runs from its next start on.
  void set_previous_version(int number, bool previous_version);
  // Returns the controller that the state service records as the leader, or std::nullopt if there is none.
  std::optional<int> leader() const;
  static std::string host(int controller) { return "dyke-" + std::to_string(controller); }
  app::Controller* controller(int number) {
    return controller_slots_.at(static_cast<std::size_t>(number)).controller;
  }

  std::vector<SimWorker*> running_workers();
  // Returns the workers with at least one started, unfinished task of the job.
  std::vector<SimWorker*> workers_with_active_tasks(const std::string& id);
  void hang_worker(SimWorker& worker, double duration_s);
  void crash_worker(SimWorker& worker);
  // Returns the number of started, unfinished tasks of the job on all workers.
  std::size_t active_task_count(const std::string& id);
  // Returns whether each task of the job is started and unfinished.
  bool all_tasks_active(const std::string& id) {
    return active_task_count(id) == jobs_.at(id).spec.task_count;
  }
  const core::ClusterConfig& config() const { return options_.config; }
  // Returns when the job's tasks must have ended, or std::nullopt if no user has received a confirmation of
  // its cancellation.
  std::optional<net::TimePoint> cancellation_deadline(const JobId& id) const;
  const SimJob& job(const std::string& id) const { return jobs_.at(id); }
  const std::map<std::string, SimJob>& all_jobs() const { return jobs_; }
  std::size_t task_starts() const { return task_starts_; }
  std::size_t gang_starts() const { return gang_starts_; }
  // Returns the number of checkpoints written by complete gangs.
  std::size_t gang_checkpoints() const { return gang_checkpoints_; }
  std::size_t direct_command_requests() const { return direct_command_requests_; }
  // Announces that the cloud reclaims the machine in `termination_notice_s`; the worker reports it.
  void send_termination_notice(SimWorker& worker, double termination_notice_s);
  double random(double from, double to) { return std::uniform_real_distribution<double>(from, to)(random_); }
  std::size_t random_index(std::size_t size) {
    return std::uniform_int_distribution<std::size_t>(0, size - 1)(random_);
  }

  // Expects every accepted job to complete or to be cancelled within `timeout_s`. To be called when all
  // faults are over; from then on no job may starve.
  void expect_all_jobs_finish(double timeout_s);
  // Expects all records of finished jobs except their terminal records to be deleted within `timeout_s`.
  void expect_no_leftover_records(double timeout_s);
  std::string describe_unfinished_jobs() const;
  // Expects every unfinished job to have received a response in the last 75 s.
  void expect_recent_responses();

  net::Loop loop{net::Loop::TimeSource::simulated};
  FakeStateService state_service;
  // Requests for this target are dropped.
  std::string dropped_target;
  std::optional<SlowTarget> slow_target;
  // Each transaction for which this returns true is applied 12 s late, and its response is dropped.
  std::function<bool(const Json& transaction)> applies_late;
  // Makes the cloud respond 503 to every request.
  bool cloud_unavailable = false;
  // Number of machines that the cloud has in each zone, of spot and on-demand machines each.
  std::size_t max_machines_per_offering = 12;

 private:
  struct ControllerSlot {
    app::Controller* controller = nullptr;
    std::size_t process = 0;
    bool previous_version = false;
  };
  // Carries the calls of one controller process; calls of an ended process never return.
  class Transport : public net::Transport {
   public:
    Transport(Simulation& simulation, std::string host, std::size_t process)
        : simulation_(simulation), host_(std::move(host)), process_(process) {}
    net::Task<net::CallResult> call(net::Address to, std::string method, std::string target, std::string body,
                                    net::Duration timeout) override {
      if (simulation_.ended_processes_.contains(process_))
        co_await simulation_.loop.sleep(std::chrono::hours(100));
      net::CallResult result;
      std::optional<net::HttpMessage> response = co_await simulation_.send_request(
          host_, simulation_.host_at(to), std::move(method), std::move(target), std::move(body), timeout);
      if (simulation_.ended_processes_.contains(process_))
        co_await simulation_.loop.sleep(std::chrono::hours(100));
      if (response && response->status == kConnectionRefused) {
        result.never_sent = true;
      } else {
        result.response = std::move(response);
      }
      co_return result;
    }

   private:
    Simulation& simulation_;
    std::string host_;
    std::size_t process_;
  };

  static constexpr int kConnectionRefused = -1;  // status of a refused connection

  void start_controller(int number);

  // ---- Links ----------------------------------------------------------------------------------------------

  // Returns the host's address, and assigns one to a new host.
  net::Address address(const std::string& host);
  std::string host_at(const net::Address& at);

  // Draws the delays of a request and applies the current faults of its link.
  Delivery plan_delivery(const std::string& from, const std::string& to, const std::string& target);

  // Returns the response, or std::nullopt if none arrives within the timeout.
  net::Task<std::optional<net::HttpMessage>> send_request(std::string from, std::string to,
                                                          std::string method, std::string target,
                                                          std::string body, net::Duration timeout);

  // Delivers the request after its delay, and sets `response` unless the response is dropped.
  static net::Task<void> deliver(Simulation* simulation, Delivery delivery, std::string from, std::string to,
                                 std::string method, std::string target, std::string body,
                                 net::OneShot<net::HttpMessage> response);

  net::Task<net::HttpMessage> handle_at_controller(std::string to, std::string method, std::string target,
                                                   std::string body);

  // Handles commands that the leader sends directly. A hung worker executes them when it resumes; a
  // terminated one never responds.
  net::Task<std::optional<net::HttpMessage>> handle_at_worker(std::string to, std::string body);

  // ---- Previous version (simulated_previous_version.cpp) --------------------------------------------------

  bool runs_previous_version(const std::string& host) const;
  // Returns the message with the job kind of gangs replaced by an unknown one, as the previous version treats
  // it.
  static std::string hide_gang_kind(std::string body);
  // Handles a call by a controller of the previous version and returns the response as that version sees it.
  net::HttpMessage call_state_service_as_previous_version(const std::string& method,
                                                          const std::string& target, const std::string& body);
  // Returns the error status with which the previous version rejects a request that is new to it, or
  // std::nullopt.
  static std::optional<int> previous_version_rejection(const std::string& target, const std::string& body);

  // ---- State service and cloud ----------------------------------------------------------------------------

  bool state_service_refuses(const std::string& from);

  net::Task<net::HttpMessage> handle_at_state_service(std::string from, bool refuse, std::string method,
                                                      std::string target, std::string body);

  // Expires leases of the state service, advances gangs and checks invariants, twice per step of the workers.
  static net::Task<void> run_periodic_updates(Simulation* simulation);

  net::Task<net::HttpMessage> handle_at_cloud(std::string target, std::string body);

  // Returns the names of the new machines, as many as requested or as the cloud has left.
  Json create_machines(const Json& request);

  // Returns the machines whose names follow `since`, in their states of a random time ago, at most twice the
  // configured lag.
  net::HttpMessage list_machines(const std::string& since);

  // ---- Workers --------------------------------------------------------------------------------------------

  // Simulates the worker from its boot until its machine is terminated.
  static net::Task<void> run_worker(Simulation* simulation, std::shared_ptr<SimWorker> worker);

  // Advances the worker's tasks and sends a heartbeat if one is due. `shared_worker` owns `worker`.
  void step_worker(SimWorker& worker, const std::shared_ptr<SimWorker>& shared_worker);

  bool is_gang(const SimTask& task) const;

  // Returns the gang's tasks on workers that neither hang nor have lost their lease.
  std::vector<std::pair<SimWorker*, SimTask*>> gang_tasks_on_responsive_workers(const std::string& id,
                                                                                std::uint64_t attempt);

  // Advances all gangs. Their tasks start together when the last one has its image and end together; when one
  // task is lost, the others exit within `gang_peer_timeout_s`.
  void step_gangs();

  // Ends the gang once all its tasks have written the checkpoint, or aborts it if that takes longer than
  // `gang_peer_timeout_s`.
  void step_gang_checkpoint(SimGang& gang, std::vector<std::pair<SimWorker*, SimTask*>>& tasks,
                            const wire::JobSpec& spec);

  static void set_task_state(SimWorker& worker, SimTask& task, wire::TaskState state, std::string cause);

  // Returns whether the worker's lease has expired, which makes it end all its tasks.
  bool lease_expired(const SimWorker& worker) const;

  // Makes the worker report a higher token early, at most once per half of a lease.
  void note_token_change(SimWorker& worker) const;

  // Returns the state's name in heartbeats.
  static const char* state_name(wire::TaskState state);

  static net::Task<void> send_heartbeat(Simulation* simulation, std::shared_ptr<SimWorker> worker);

  // Lets a running task write a checkpoint if `leeway_s` suffices, and ends any other task at once.
  void stop_task(SimTask& task, double leeway_s);

  void execute_command(SimWorker& worker, const Json& command);

  // ---- Users ----------------------------------------------------------------------------------------------

  // Sends the request to this controller, or to a random one, and retries refused connections.
  net::Task<std::optional<net::HttpMessage>> send_user_request(std::string method, std::string target,
                                                               std::string body, double timeout_s,
                                                               std::optional<int> controller);

  // Checks that the job's state is consistent with all responses received before the request was sent, and
  // records the response.
  void check_job_status_response(const std::string& id, const net::HttpMessage& response,
                                 net::TimePoint requested_at);

  // Submits the job until it is accepted or rejected, then polls it until its end is confirmed.
  static net::Task<void> run_user(Simulation* simulation, std::string id);

  // Repeats the cancellation until it gets a response or the job's end is confirmed.
  static net::Task<void> cancel_until_confirmed(Simulation* simulation, std::string id,
                                                std::optional<int> controller);

  // Submits an accepted job again and expects it to be recognised.
  static net::Task<void> send_resubmission(Simulation* simulation, std::string id,
                                           std::optional<int> controller);

  // ---- Invariants (invariants.cpp) ------------------------------------------------------------------------

  // Lists the job's tasks with their states and workers, for failure messages.
  std::string describe_task_locations(const std::string& id) const;

  double elapsed_s() const { return seconds_between(started_at_, loop.now()); }

  // Returns whether the task may still be executing. A worker that has hung past its lease ends its tasks.
  bool may_be_active(const SimWorker& worker, const SimTask& task) const;

  // Counts the start and checks exclusive execution, quota and placement constraints.
  void check_task_start(const SimWorker& worker, const SimTask& task);

  void check_cancelled_tasks();

  // Checks that no heartbeat response extends a lease beyond the cancellation deadline of a task that it does
  // not stop.
  void check_lease_renewal(const SimWorker& worker) const;

  // Checks that shortly before its deadline a cancelled task is certain to end in time, either because its
  // worker's lease expires or because the deletion of its machine is recorded.
  void check_cancelled_task_will_end(const SimWorker& worker, const SimTask& task, double left_s) const;
  bool deletion_recorded(const SimWorker& worker) const;

  // Checks, once all faults are over, that no job waits for 90 s although a task of it could be started.
  void check_waiting_jobs();

  // Returns whether the quota admits one more task of the job and some worker has free capacity for it.
  bool task_fits(const wire::JobSpec& spec, wire::Resources used,
                 const std::map<std::string, std::size_t>& zones) const;

  // Returns whether quota and free capacity admit all tasks of the gang at the same time.
  bool gang_fits(const wire::JobSpec& spec, wire::Resources used) const;

  SimulationOptions options_;
  std::mt19937_64 random_;
  std::map<std::uint32_t, std::string> hosts_by_number_;
  std::map<std::string, std::uint32_t> host_numbers_;
  std::vector<LinkFault> link_faults_;
  bool recording_requests_ = false;
  std::vector<DeliveredRequest> recorded_requests_;
  net::TimePoint outage_until_;
  std::vector<std::unique_ptr<Transport>> transports_;
  std::vector<std::unique_ptr<app::Controller>> controllers_;
  std::vector<ControllerSlot> controller_slots_;
  std::size_t process_count_ = 0;
  std::set<std::size_t> ended_processes_;  // by process number
  std::vector<std::shared_ptr<SimWorker>> workers_;
  std::map<std::string, Json> scale_out_responses_;  // by idempotency key of the request
  std::map<std::string, SimJob> jobs_;
  std::size_t task_starts_ = 0;
  std::size_t gang_starts_ = 0;
  std::size_t gang_checkpoints_ = 0;
  std::size_t direct_command_requests_ = 0;
  std::map<std::pair<std::string, std::uint64_t>, SimGang> gangs_;  // by job and attempt
  bool faults_over_ = false;
  net::TimePoint started_at_ = loop.now();
  wire::MachineType cloud_type_ = FakeCloud().machine_type;
  MessageTrace trace_;
};

}  // namespace dockdyke::testing
