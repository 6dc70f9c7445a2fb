// Accepts jobs by storing them (PROTOCOL, "POST /work"). The same code runs on the leader and, when the
// leader does not respond, on any other controller.
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

// At most constants::kMaxSubmissionsInFlight submissions are handled at once; one more gets 503.
class SubmissionHandler {
 public:
  SubmissionHandler(net::Loop& loop, store::StateClient& state, const core::ClusterConfig& config,
                    const LeadershipState& leadership, const JobFeasibility& feasibility, JobReader& jobs);

  // The response to a submission that is malformed or can't be taken now; nothing when it is valid as far as
  // can be told without the state service.
  std::optional<net::HttpResponse> check(const std::string& body) const;
  net::Task<net::HttpResponse> submit(std::string body);
  // Latencies (s) of the submissions that this controller handled itself.
  const LatencyHistogram& latencies() const { return latencies_; }

 private:
  net::Task<net::HttpResponse> commit(wire::JobSpec spec);
  // The job can't run or be stored: its present state if it was accepted earlier, else `status`.
  net::Task<net::HttpResponse> reject_unless_accepted(JobId id, int status, net::TimePoint deadline);
  // The transaction's preconditions failed or its outcome is unknown.
  net::Task<net::HttpResponse> resolve(JobId id, net::TimePoint deadline);
  // Tells the leader's term, if there is one, of a job that is stored.
  void notify_term(const core::JobRecord& record, Revision version);

  net::Loop& loop_;
  store::StateClient& state_;
  const core::ClusterConfig& config_;
  const LeadershipState& leadership_;
  const JobFeasibility& feasibility_;
  JobReader& jobs_;
  std::size_t in_flight_ = 0;
  LatencyHistogram latencies_;
};

}  // namespace dockdyke::app
