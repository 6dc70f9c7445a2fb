#include "app/submission_handler.hpp"

#include <chrono>
#include <utility>

#include "app/responses.hpp"
#include "constants.hpp"
#include "net/http_status.hpp"

namespace dockdyke::app {

using net::HttpResponse;
using store::Outcome;
using wire::JobState;
namespace http_status = net::http_status;

namespace {

// Returns std::nullopt if the body is malformed.
std::optional<wire::JobSpec> parse_submission(const std::string& body) {
  const auto value = wire::decode(body);
  if (!value) return std::nullopt;
  try {
    return wire::parse_job(*value);
  } catch (const wire::ParseError&) {
    return std::nullopt;
  }
}

}  // namespace

SubmissionHandler::SubmissionHandler(net::Loop& loop, store::StateClient& state_client,
                                     const core::ClusterConfig& config, const LeadershipState& leadership,
                                     const JobFeasibility& feasibility, JobReader& job_reader)
    : loop_(loop),
      state_client_(state_client),
      config_(config),
      leadership_(leadership),
      feasibility_(feasibility),
      job_reader_(job_reader) {}

std::optional<HttpResponse> SubmissionHandler::check_admission(const std::string& body) const {
  if (!parse_submission(body)) return empty_response(http_status::kBadRequest);
  if (!feasibility_.machine_types_known()) return service_unavailable();
  if (in_flight_ >= constants::kMaxSubmissionsInFlight || state_client_.saturated())
    return service_unavailable();
  return std::nullopt;
}

net::Task<HttpResponse> SubmissionHandler::submit(std::string body) {
  auto rejection = check_admission(body);
  if (rejection) co_return *std::move(rejection);
  // Respond at once instead of waiting for another call to the state service to time out.
  if (state_client_.unreachable()) co_return service_unavailable();
  // With a longer write backlog the submission would time out in the queue.
  if (state_client_.write_backlog_s() > constants::kMaxSubmissionBacklogSeconds)
    co_return service_unavailable();
  auto spec = parse_submission(body);
  ++in_flight_;
  const auto started_at = loop_.now();
  HttpResponse response = co_await store_job(*std::move(spec));
  latencies_.add(std::chrono::duration<double>(loop_.now() - started_at).count());
  --in_flight_;
  co_return response;
}

net::Task<HttpResponse> SubmissionHandler::store_job(wire::JobSpec spec) {
  const auto deadline = loop_.now() + net::seconds(constants::kSubmissionTimeoutSeconds);
  const JobId id = spec.id;
  const bool can_run = feasibility_.can_ever_run(spec);
  core::JobRecord record;
  record.spec = std::move(spec);
  record.submitted_ms = loop_.time_of_day_ms();
  if (!core::fits_value(record, config_.max_value_bytes)) feasibility_.remove_unoffered_types(record.spec);
  // A record that exceeds the value size limit contains names that are too long: the request is invalid.
  if (!can_run || !core::fits_value(record, config_.max_value_bytes)) {
    const int status = can_run ? http_status::kBadRequest : http_status::kUnprocessableEntity;
    HttpResponse response = co_await reject_unless_accepted(id, status, deadline);
    co_return response;
  }
  wire::Transaction transaction;
  transaction.preconditions.push_back({core::key::active_job(id), Revision(0)});
  transaction.preconditions.push_back({core::key::terminal_job(id), Revision(0)});
  transaction.puts.push_back({core::key::active_job(id), core::to_json(record), {}});
  store::Result<store::CommitResult> committed =
      co_await state_client_.commit(std::move(transaction), store::RequestPriority::high, deadline);
  if (committed) {
    notify_term(record, committed.value.revision);
    co_return msgpack_response(http_status::kCreated, wire::job_response(id, JobState::pending));
  }
  if (committed.outcome != Outcome::conflict && committed.outcome != Outcome::unknown)
    co_return service_unavailable();
  HttpResponse response = co_await respond_from_stored_job(id, deadline);
  co_return response;
}

net::Task<HttpResponse> SubmissionHandler::reject_unless_accepted(JobId id, int status,
                                                                  net::TimePoint deadline) {
  // An accepted job stays accepted, even if machine types or limits have changed since.
  const JobLookup job = co_await job_reader_.read(id, deadline);
  if (job.outcome == Outcome::ok)
    co_return msgpack_response(http_status::kOk, wire::job_response(id, job.status.state));
  if (job.outcome == Outcome::missing) co_return empty_response(status);
  co_return service_unavailable();
}

net::Task<HttpResponse> SubmissionHandler::respond_from_stored_job(JobId id, net::TimePoint deadline) {
  const JobLookup job = co_await job_reader_.read(id, deadline);
  if (job.outcome != Outcome::ok) co_return service_unavailable();
  if (job.active_record) notify_term(*job.active_record, job.active_version);
  co_return msgpack_response(http_status::kOk, wire::job_response(id, job.status.state));
}

void SubmissionHandler::notify_term(const core::JobRecord& record, Revision version) {
  if (leadership_.leading()) leadership_.term()->push(core::JobSubmitted{record, version});
}

}  // namespace dockdyke::app
