// Accepts submitted jobs by storing them (PROTOCOL, "POST /work"). Runs on the leader and, if the leader does
// not respond, on followers.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "app/job_feasibility.hpp"
#include "app/job_reader.hpp"
#include "app/latency_histogram.hpp"
#include "app/leadership_state.hpp"
#include "core/config.hpp"
#include "net/http_server.hpp"
#include "net/loop.hpp"
#include "net/task.hpp"
#include "store/state_client.hpp"

namespace dockdyke::app {

// Handles at most constants::kMaxSubmissionsInFlight submissions concurrently and rejects further ones with
// 503.
class SubmissionHandler {
 public:
  SubmissionHandler(net::Loop& loop, store::StateClient& state_client, const core::ClusterConfig& config,
                    const LeadershipState& leadership, const JobFeasibility& feasibility,
                    JobReader& job_reader);

  // Returns the response that rejects the submission if it is malformed, the machine types are unknown or
  // this controller is overloaded; otherwise std::nullopt. Does not call the state service.
  std::optional<net::HttpResponse> check_admission(const std::string& body) const;
  // Checks and stores the job and returns the response to the user.
  net::Task<net::HttpResponse> submit(std::string body);
  // Latencies of the submissions that this controller processed itself.
  const LatencyHistogram& latencies() const { return latencies_; }

 private:
  // Stores the job if it can ever run and no record with its id exists.
  net::Task<net::HttpResponse> store_job(wire::JobSpec spec);
  // Handles a job that cannot run or be stored: responds with its current state if it was accepted before,
  // else with the error `status`.
  net::Task<net::HttpResponse> reject_unless_accepted(JobId id, int status, net::TimePoint deadline);
  // Handles a conflict or an unknown outcome of the transaction: responds with the stored state of the job.
  net::Task<net::HttpResponse> respond_from_stored_job(JobId id, net::TimePoint deadline);
  // Notifies the leader's term of a stored job; does nothing on a follower.
  void notify_term(const core::JobRecord& record, Revision version);

  net::Loop& loop_;
  store::StateClient& state_client_;
  const core::ClusterConfig& config_;
  const LeadershipState& leadership_;
  const JobFeasibility& feasibility_;
  JobReader& job_reader_;
  std::size_t in_flight_ = 0;
  LatencyHistogram latencies_;
};

}  // namespace dockdyke::app
