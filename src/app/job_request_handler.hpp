// Users' requests, carried out on the state service. The same code runs on the leader and, when the leader
// does not answer, on any other controller.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "app/latency_histogram.hpp"
#include "app/poll_batcher.hpp"
#include "core/leader_state_machine.hpp"
#include "core/stored_records.hpp"
#include "net/http_server.hpp"
#include "net/loop.hpp"
#include "peer/peer.hpp"
#include "store/state_client.hpp"

namespace dockdyke::app {

net::HttpResponse json_response(int status, const wire::Json& body);
net::HttpResponse service_unavailable();

class JobRequestHandler {
 public:
  struct Listener {
    std::function<void(const core::JobRecord&, Revision)> on_submitted;
    std::function<void(const JobId&)> on_cancelled;
    // What the leader's own books say of an open job; nothing on any other controller.
    std::function<std::optional<core::JobProgress>(const JobId&)> progress;
    // The leader's word on these jobs; nothing when there is none to be had, or this controller leads.
    std::function<net::Task<std::optional<std::vector<peer::PolledJobStatus>>>(std::vector<JobId>)>
        poll_leader;
  };

  JobRequestHandler(net::Loop& loop, store::StateClient& state, const core::ClusterConfig& config,
                    Listener listener);

  void set_types(std::vector<wire::MachineType> types) { types_ = std::move(types); }
  bool types_known() const { return !types_.empty(); }

  // Nothing: the submission is sound as far as it can be told without the store. Else the answer to give.
  std::optional<net::HttpResponse> refusal(const std::string& body) const;
  net::Task<net::HttpResponse> submit(std::string body);
  net::Task<net::HttpResponse> poll(JobId id);
  // The present state of each job, for another controller.
  net::Task<std::vector<peer::PolledJobStatus>> poll_for_peer(std::vector<JobId> ids);
  // The job's end is on record.
  void cache_terminal_status(const JobId& id, const wire::JobStatus& status);
  net::Task<net::HttpResponse> cancel(JobId id);
  // How long submissions took that this controller carried out itself.
  const LatencyHistogram& submission_times() const { return submission_times_; }

 private:
  struct Found {
    store::Outcome outcome = store::Outcome::unknown;  // ok, missing, or anything else for "can't tell"
    wire::JobStatus status;
    std::optional<core::JobRecord> open;
    Revision version;
  };
  net::Task<Found> find(JobId id, net::TimePoint deadline);
  net::Task<net::HttpResponse> commit_submission(wire::JobSpec spec);
  bool can_ever_run(const wire::JobSpec& spec) const;
  // Names of types that nobody offers need no room in the record.
  void drop_unknown_types(wire::JobSpec& spec) const;
  // The present state of each job, read from the store for this question.
  net::Task<std::vector<peer::PolledJobStatus>> read_job_statuses(std::vector<JobId> ids);
  // Looks up one job and counts down the rest.
  net::Task<void> read_job_status(JobId id, net::TimePoint deadline, peer::PolledJobStatus* out,
                                  std::size_t* left, net::OneShot<bool> all_done);

  net::Loop& loop_;
  store::StateClient& state_;
  const core::ClusterConfig& config_;
  Listener listener_;
  std::vector<wire::MachineType> types_;
  std::size_t submitting_ = 0;
  LatencyHistogram submission_times_;
  std::unordered_map<JobId, wire::JobStatus> terminal_jobs_;
  std::deque<JobId> terminal_jobs_order_;
  PollBatcher polls_;
};

}  // namespace dockdyke::app
