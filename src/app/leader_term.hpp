// One leadership: the owner of the cluster's state, its queue of commands, and the calls its effects need.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "app/heartbeat_silence.hpp"
#include "cloud/cloud_client.hpp"
#include "core/cluster.hpp"
#include "net/http_server.hpp"
#include "net/loop.hpp"
#include "store/election.hpp"
#include "store/state_client.hpp"

namespace dockdyke::app {

class LeaderTerm : public std::enable_shared_from_this<LeaderTerm> {
 public:
  struct Services {
    net::Loop& loop;
    store::StateClient& state;
    cloud::CloudClient& cloud;
    net::Transport& transport;       // to workers
    std::size_t max_held_responses;  // as far as connections allow
  };

  struct Listener {
    std::function<void()> on_superseded;
    // The job's end is on record.
    std::function<void(const JobId&, const wire::JobStatus&)> on_job_completed;
  };

  LeaderTerm(Services services, const core::ClusterConfig& config, store::Leadership leadership,
             net::TimePoint asked_at, Listener listener);

  void start(const std::vector<wire::MachineType>& types);
  // Nothing of this term goes on after its present call.
  void end();

  FencingToken token() const { return cluster_.token(); }
  void lease_renewed(net::TimePoint asked_at) { renewed_at_ = std::max(renewed_at_, asked_at); }
  HeartbeatSilence heartbeat_silence() const;
  // Neither the store nor any other controller answers.
  void set_isolated(bool alone);
  void push(core::Event event);
  net::Task<net::HttpResponse> heartbeat(wire::Heartbeat heartbeat);
  std::optional<core::JobProgress> progress(const JobId& id) const { return cluster_.progress(id); }

 private:
  using Self = std::shared_ptr<LeaderTerm>;
  struct WaitingReport {
    wire::Heartbeat heartbeat;
    net::OneShot<core::HeartbeatOutcome> fate;
  };

  // Every loop takes a share of the term, so that the state outlives its last call.
  static net::Task<void> run(Self self);
  static net::Task<void> load(Self self);
  static net::Task<void> watch(Self self);
  // Tells the owner of a submission on record.
  void submit_record(const std::string& key, const wire::Json& value, Revision version);
  static net::Task<void> refresh_machine_list(Self self);
  static net::Task<void> run_timers(Self self);
  static net::Task<void> save(Self self, core::StateWrite save);
  // Asks the store whether the job is still open.
  static net::Task<void> confirm_removal(Self self, JobId id);
  static net::Task<void> execute(Self self, core::RequestScaleOut effect);
  static net::Task<void> execute(Self self, core::RequestScaleIn effect);
  static net::Task<void> execute(Self self, core::DeleteKeys effect);
  static net::Task<void> execute(Self self, core::SendStopCommands effect);

  // All that a new leader reads, and the revision from which changes are to be watched.
  struct Records {
    std::vector<core::Event> events;
    Revision revision;

    template <class Parse>
    void take(const wire::KeyPage& page, const Parse& parse);
  };
  net::Task<bool> load_records(Records& records);
  net::Task<bool> load_jobs(std::string prefix, bool terminating, Records& records);
  net::Task<bool> load_pages(Records& records);
  // Waits until the machine's answer can go out with all that is on its way, or there is no more time.
  net::Task<void> hold_response(MachineId machine);
  void release_held_responses();
  // Writes under the leader's guard until it is done; false when the term has ended.
  net::Task<bool> write_guarded(wire::Transaction transaction, store::RequestPriority urgency);
  net::Task<bool> record(std::string key, wire::Json value, store::RequestPriority urgency);
  void start_writes();
  void delete_later(std::vector<std::string> keys);
  static net::Task<void> delete_obsolete_keys(Self self);
  void report_completion(const JobId& id);
  void superseded();
  wire::Precondition leader_precondition() const;
  core::Time now() const;
  // Seconds since the last moment of which everything is known to us.
  double staleness() const;
  // How stale the view may get before workers are no longer answered.
  double max_staleness_s() const;
  double watch_timeout_s() const;
  // For how long the answer to a machine without tasks waits for work.
  double idle_hold_s() const;

  Services services_;
  const core::ClusterConfig& config_;
  core::Cluster cluster_;
  Listener listener_;
  bool alive_ = true;
  net::WakeUp work_;
  std::vector<core::Event> events_;
  std::vector<WaitingReport> heartbeats_;
  std::map<MachineId, net::OneShot<bool>> held_responses_;  // answers that wait
  std::size_t writes_in_flight_ = 0;
  std::deque<std::string> obsolete_keys_;  // keys to be removed when there is budget
  bool deleting_ = false;
  Revision watch_from_;
  net::TimePoint renewed_at_;
  net::TimePoint watched_at_;
  std::optional<net::TimePoint> isolated_since_;
  std::optional<net::TimePoint> last_heartbeat_at_;  // the last worker's report
  net::TimePoint elected_at_;
};

}  // namespace dockdyke::app
