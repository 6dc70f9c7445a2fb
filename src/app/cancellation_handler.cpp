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

CancellationHandler::CancellationHandler(net::Loop& loop, store::StateClient& state_client,
                                         const core::ClusterConfig& config, const LeadershipState& leadership,
                                         const PeerNotifier& peer_notifier, TerminalJobCache& terminal_jobs,
                                         JobReader& job_reader)
    : loop_(loop),
      state_client_(state_client),
      config_(config),
      leadership_(leadership),
      peer_notifier_(peer_notifier),
      terminal_jobs_(terminal_jobs),
      job_reader_(job_reader) {}

net::Task<HttpResponse> CancellationHandler::cancel(JobId id) {
  const auto deadline = loop_.now() + net::seconds(constants::kSubmissionTimeoutSeconds);
  if (state_client_.unreachable() && !terminal_jobs_.contains(id)) co_return service_unavailable();
  for (int attempt = 0; attempt < constants::kMaxTransactionAttempts; ++attempt) {
    const JobLookup job = co_await job_reader_.read(id, deadline);
    if (job.outcome == Outcome::missing) co_return empty_response(http_status::kNotFound);
    if (job.outcome != Outcome::ok) co_return service_unavailable();
    if (is_terminal(job.status.state) || !job.active_record)
      co_return msgpack_response(http_status::kOk, wire::job_response(id, job.status.state));
    auto transaction =
        core::cancellation_transaction(*job.active_record, job.active_version, job.status.done_tasks,
                                       loop_.time_of_day_ms(), config_.max_value_bytes);
    store::Result<store::CommitResult> committed =
        co_await state_client_.commit(std::move(transaction), store::RequestPriority::high, deadline);
    if (committed) {
      publish_cancellation(id, job.status.done_tasks);
      co_return msgpack_response(http_status::kOk, wire::job_response(id, JobState::cancelled));
    }
    // After a conflict or an unknown outcome the job is read again and the transaction is retried. All other
    // outcomes mean that the transaction was not applied.
    if (committed.outcome != Outcome::conflict && committed.outcome != Outcome::unknown) break;
  }
  co_return service_unavailable();
}

void CancellationHandler::publish_cancellation(const JobId& id, std::uint64_t done_count) {
  spdlog::info("event=cancellation_confirmed id={} leading={}", id.value, leadership_.leading());
  terminal_jobs_.insert(id, {JobState::cancelled, done_count, 0});
  if (leadership_.leading()) {
    leadership_.term()->push(core::JobRecordDeleted{id});
  } else {
    peer_notifier_.notify_job_cancelled(id);
  }
}

}  // namespace dockdyke::app
