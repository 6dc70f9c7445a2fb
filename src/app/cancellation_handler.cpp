#include "app/cancellation_handler.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "app/responses.hpp"
#include "constants.hpp"
#include "net/http_status.hpp"

namespace dockdyke::app {

using net::HttpResponse;
using store::Outcome;
using wire::JobState;
namespace http_status = net::http_status;

CancellationHandler::CancellationHandler(net::Loop& loop, store::StateClient& state,
                                         const core::ClusterConfig& config, const LeadershipState& leadership,
                                         const PeerNotifier& peers, TerminalJobCache& terminal_jobs,
                                         JobReader& jobs)
    : loop_(loop),
      state_(state),
      config_(config),
      leadership_(leadership),
      peers_(peers),
      terminal_jobs_(terminal_jobs),
      jobs_(jobs) {}

net::Task<HttpResponse> CancellationHandler::cancel(JobId id) {
  const auto deadline = loop_.now() + net::seconds(constants::kSubmissionTimeoutSeconds);
  if (state_.unreachable() && !terminal_jobs_.contains(id)) co_return service_unavailable();
  for (int attempt = 0; attempt < constants::kMaxTransactionAttempts; ++attempt) {
    const JobLookup job = co_await jobs_.read(id, deadline);
    if (job.outcome == Outcome::missing) co_return empty_response(http_status::kNotFound);
    if (job.outcome != Outcome::ok) co_return service_unavailable();
    if (is_terminal(job.status.state) || !job.active_record)
      co_return json_response(http_status::kOk, wire::job_response(id, job.status.state));
    auto transaction =
        core::cancellation_transaction(*job.active_record, job.active_version, job.status.done_tasks,
                                       loop_.time_of_day_ms(), config_.max_value_bytes);
    store::Result<store::Committed> committed =
        co_await state_.commit(std::move(transaction), store::RequestPriority::high, deadline);
    if (committed) {
      cancelled(id, job.status.done_tasks);
      co_return json_response(http_status::kOk, wire::job_response(id, JobState::cancelled));
    }
    // A conflict with a write of the leader, or no response: read again and retry. After anything else the
    // transaction was not applied.
    if (committed.outcome != Outcome::conflict && committed.outcome != Outcome::unknown) break;
  }
  co_return service_unavailable();
}

void CancellationHandler::cancelled(const JobId& id, std::uint64_t done_count) {
  spdlog::info("event=cancellation_confirmed id={} leading={}", id.value, leadership_.leading());
  terminal_jobs_.insert(id, {JobState::cancelled, done_count, 0});
  if (leadership_.leading()) {
    leadership_.term()->push(core::JobRecordDeleted{id});
  } else {
    peers_.job_cancelled(id);
  }
}

}  // namespace dockdyke::app
