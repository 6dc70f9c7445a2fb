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

// Nothing where the body is malformed.
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

SubmissionHandler::SubmissionHandler(net::Loop& loop, store::StateClient& state,
                                     const core::ClusterConfig& config, const LeadershipState& leadership,
                                     const JobFeasibility& feasibility, JobReader& jobs)
    : loop_(loop),
      state_(state),
      config_(config),
      leadership_(leadership),
      feasibility_(feasibility),
      jobs_(jobs) {}

std::optional<HttpResponse> SubmissionHandler::check(const std::string& body) const {
  if (!parse_submission(body)) return empty_response(http_status::kBadRequest);
  if (!feasibility_.decidable()) return service_unavailable();
  if (in_flight_ >= constants::kMaxSubmissionsInFlight || state_.saturated()) return service_unavailable();
  return std::nullopt;
}

net::Task<HttpResponse> SubmissionHandler::submit(std::string body) {
  auto rejection = check(body);
  if (rejection) co_return *std::move(rejection);
  // The state service has not been responding: the user is told now, not when another call has timed out.
  if (state_.unreachable()) co_return service_unavailable();
  // Queued behind more writes than that, it would time out after seconds of waiting.
  if (state_.write_backlog_s() > constants::kMaxSubmissionBacklogSeconds) co_return service_unavailable();
  auto spec = parse_submission(body);
  ++in_flight_;
  const auto started_at = loop_.now();
  HttpResponse response = co_await commit(*std::move(spec));
  latencies_.add(std::chrono::duration<double>(loop_.now() - started_at).count());
  --in_flight_;
  co_return response;
}

net::Task<HttpResponse> SubmissionHandler::commit(wire::JobSpec spec) {
  const auto deadline = loop_.now() + net::seconds(constants::kSubmissionTimeoutSeconds);
  const JobId id = spec.id;
  const bool can_run = feasibility_.can_ever_run(spec);
  core::JobRecord record;
  record.spec = std::move(spec);
  record.submitted_ms = loop_.time_of_day_ms();
  if (!core::fits_value(record, config_.max_value_bytes)) feasibility_.drop_unknown_types(record.spec);
  // Names so long that the state service can't hold them are invalid.
  if (!can_run || !core::fits_value(record, config_.max_value_bytes)) {
    const int status = can_run ? http_status::kBadRequest : http_status::kUnprocessableEntity;
    HttpResponse response = co_await reject_unless_accepted(id, status, deadline);
    co_return response;
  }
  wire::Transaction transaction;
  transaction.preconditions.push_back({core::key::active_job(id), Revision(0)});
  transaction.preconditions.push_back({core::key::terminal_job(id), Revision(0)});
  transaction.puts.push_back({core::key::active_job(id), core::to_json(record), {}});
  store::Result<store::Committed> committed =
      co_await state_.commit(std::move(transaction), store::RequestPriority::high, deadline);
  if (committed) {
    notify_term(record, committed.value.revision);
    co_return json_response(http_status::kCreated, wire::job_response(id, JobState::pending));
  }
  if (committed.outcome != Outcome::conflict && committed.outcome != Outcome::unknown)
    co_return service_unavailable();
  HttpResponse response = co_await resolve(id, deadline);
  co_return response;
}

net::Task<HttpResponse> SubmissionHandler::reject_unless_accepted(JobId id, int status,
                                                                  net::TimePoint deadline) {
  // A job that was accepted once stays accepted, whatever types and limits there are by now.
  const JobLookup job = co_await jobs_.read(id, deadline);
  if (job.outcome == Outcome::ok)
    co_return json_response(http_status::kOk, wire::job_response(id, job.status.state));
  if (job.outcome == Outcome::missing) co_return empty_response(status);
  co_return service_unavailable();
}

net::Task<HttpResponse> SubmissionHandler::resolve(JobId id, net::TimePoint deadline) {
  const JobLookup job = co_await jobs_.read(id, deadline);
  if (job.outcome != Outcome::ok) co_return service_unavailable();
  if (job.active_record) notify_term(*job.active_record, job.active_version);
  co_return json_response(http_status::kOk, wire::job_response(id, job.status.state));
}

void SubmissionHandler::notify_term(const core::JobRecord& record, Revision version) {
  if (leadership_.leading()) leadership_.term()->push(core::JobSubmitted{record, version});
}

}  // namespace dockdyke::app
