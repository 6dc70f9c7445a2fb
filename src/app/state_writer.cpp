#include "app/state_writer.hpp"

#include <spdlog/spdlog.h>

#include <optional>
#include <utility>

#include "constants.hpp"

namespace dockdyke::app {

using store::Outcome;
using store::RequestPriority;

StateWriter::StateWriter(TermContext& context, core::LeaderStateMachine& state_machine,
                         CompletionListener on_job_completed)
    : context_(context), state_machine_(state_machine), on_job_completed_(std::move(on_job_completed)) {}

bool StateWriter::can_start_write() const {
  return in_flight_ < constants::kMaxWritesInFlight;
}

std::optional<double> StateWriter::next_due_in_s() const {
  if (!can_start_write()) return std::nullopt;
  return state_machine_.next_write_due_in(context_.now());
}

void StateWriter::start_due_writes() {
  while (can_start_write()) {
    auto write = state_machine_.next_write(context_.now());
    if (!write) return;
    ++in_flight_;
    context_.spawn(run_write(*std::move(write)));
  }
}

net::Task<void> StateWriter::run_write(core::StateWrite write) {
  write.transaction.preconditions.push_back(context_.leader_precondition());
  const RequestPriority priority = write.urgent ? RequestPriority::high : RequestPriority::normal;
  while (context_.alive()) {
    store::Result<store::CommitResult> committed =
        co_await context_.state().commit(write.transaction, priority, context_.background_deadline());
    if (!context_.alive() || handle_outcome(write, committed)) break;
    const bool rejected = committed.outcome == Outcome::rejected;
    if (rejected) {
      spdlog::error("event=write_rejected number={}", write.number);
      context_.events().push(core::WriteRejected{write.number});
    }
    co_await context_.retry_delay();
    if (rejected) break;
    // The transaction was refused or its outcome is unknown. The retry is safe, since its preconditions
    // prevent it from being applied twice.
  }
  --in_flight_;
  context_.events().wake();
}

bool StateWriter::handle_outcome(const core::StateWrite& write,
                                 store::Result<store::CommitResult>& committed) {
  if (committed) {
    for (const auto& id : write.completed_jobs) notify_job_completed(id);
    context_.events().push(core::WriteApplied{write.number});
    return true;
  }
  if (committed.outcome != Outcome::conflict) return false;
  if (TermContext::leader_changed(committed.value)) {
    context_.report_superseded();
  } else {
    auto& failed = committed.value.failed_preconditions;
    context_.events().push(core::WriteConflicted{write.number, std::move(failed)});
  }
  return true;
}

void StateWriter::notify_job_completed(const JobId& id) const {
  const core::Job* job = state_machine_.job(id);
  if (!job) return;
  spdlog::debug(
      "event=job_completed id={} class={} tasks={} estimated_run_s={:.0f} submitted_s={:.1f} "
      "duration_s={:.1f}",
      id.value, job->spec.job_class, job->spec.task_count, job->spec.estimated_run_s, job->submitted_at,
      context_.now() - job->submitted_at);
  if (job->is_gang())
    spdlog::debug(
        "event=gang_completed id={} attempts={} machines={} assigned_after_s={:.2f} started_after_s={:.2f}",
        id.value, job->gang.attempt, job->gang.machine_count, job->gang.assigned_at - job->submitted_at,
        job->gang.started_at - job->submitted_at);
  on_job_completed_(id, {wire::JobState::done, job->done_count, 0});
}

}  // namespace dockdyke::app
