// One leadership: the owner of the cluster's state, its queue of commands, and the calls its effects need.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

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
    net::Transport& transport;      // to workers
    std::size_t most_held_answers;  // as far as connections allow
  };

  struct Listener {
    std::function<void()> on_overtaken;
    // The job's end is on record.
    std::function<void(const JobId&, const wire::JobStatus&)> on_final;
  };

  LeaderTerm(Services services, const core::ClusterConfig& config, store::Leadership leadership,
             net::TimePoint asked_at, Listener listener);

  void start(const std::vector<wire::MachineType>& types);
  // Nothing of this term goes on after its present call.
  void end();

  FencingToken token() const { return cluster_.token(); }
  void renewed(net::TimePoint asked_at) { renewed_at_ = std::max(renewed_at_, asked_at); }
  // For how long no worker has been heard, and from when on that is odd for the fleet there is.
  struct WorkerSilence {
    double lasted_s = 0;
    double odd_s = 0;
    std::size_t machines = 0;
    bool heard_before = false;
    bool odd() const { return machines > 0 && lasted_s >= odd_s; }
  };
  WorkerSilence silence() const;
  // Neither the store nor any other controller answers.
  void set_alone(bool alone);
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
  static net::Task<void> own(Self self);
  static net::Task<void> load(Self self);
  static net::Task<void> watch(Self self);
  // Tells the owner of a submission on record.
  void take_record(const std::string& key, const wire::Json& value, Revision version);
  static net::Task<void> read_machines(Self self);
  static net::Task<void> keep_time(Self self);
  static net::Task<void> save(Self self, core::StateWrite save);
  // Asks the store whether the job is still open.
  static net::Task<void> look_up(Self self, JobId id);
  static net::Task<void> carry_out(Self self, core::RequestScaleOut effect);
  static net::Task<void> carry_out(Self self, core::RequestScaleIn effect);
  static net::Task<void> carry_out(Self self, core::DeleteKeys effect);
  static net::Task<void> carry_out(Self self, core::SendStopCommands effect);

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
  net::Task<void> hold_answer(MachineId machine);
  void release_held();
  // Writes under the leader's guard until it is done; false when the term has ended.
  net::Task<bool> write_guarded(wire::Transaction transaction, store::Urgency urgency);
  net::Task<bool> record(std::string key, wire::Json value, store::Urgency urgency);
  void start_saves();
  void discard(std::vector<std::string> keys);
  static net::Task<void> remove_discarded(Self self);
  void note_final(const JobId& id);
  void overtaken();
  wire::Precondition leader_precondition() const;
  core::Time now() const;
  // Seconds since the last moment of which everything is known to us.
  double staleness() const;
  // How stale the view may get before workers are no longer answered.
  double patience_s() const;
  double watch_hold_s() const;
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
  std::map<MachineId, net::OneShot<bool>> held_;  // answers that wait
  std::size_t saving_ = 0;
  std::deque<std::string> discarded_;  // keys to be removed when there is budget
  bool discarding_ = false;
  Revision watch_from_;
  net::TimePoint renewed_at_;
  net::TimePoint watched_at_;
  std::optional<net::TimePoint> alone_since_;
  std::optional<net::TimePoint> heard_at_;  // the last worker's report
  net::TimePoint elected_at_;
};

}  // namespace dockdyke::app
