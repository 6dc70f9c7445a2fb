#include "app/job_request_handler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "constants.hpp"

namespace dockdyke::app {

using net::HttpResponse;
using store::Outcome;
using wire::JobState;

HttpResponse json_response(int status, const wire::Json& body) {
  return {status, wire::encode(body), std::nullopt};
}
HttpResponse service_unavailable() {
  return {503, {}, constants::kRetryAfterSeconds};
}

namespace {

bool is_final(JobState state) {
  return state == JobState::done || state == JobState::cancelled;
}

std::optional<wire::JobSpec> read_spec(const std::string& body) {
  auto value = wire::decode(body);
  if (!value) return std::nullopt;
  try {
    return wire::parse_job(*value);
  } catch (const wire::Malformed&) {
    return std::nullopt;
  }
}

}  // namespace

JobRequestHandler::JobRequestHandler(net::Loop& loop, store::StateClient& state,
                                     const core::ClusterConfig& config, Listener listener)
    : loop_(loop),
      state_(state),
      config_(config),
      listener_(std::move(listener)),
      polls_(loop, {listener_.poll_leader,
                    [this](std::vector<JobId> ids) { return read_job_statuses(std::move(ids)); }}) {}

void JobRequestHandler::cache_terminal_status(const JobId& id, const wire::JobStatus& status) {
  if (!terminal_jobs_.emplace(id, status).second) return;
  terminal_jobs_order_.push_back(id);
  if (terminal_jobs_order_.size() > constants::kTerminalJobCacheSize) {
    terminal_jobs_.erase(terminal_jobs_order_.front());
    terminal_jobs_order_.pop_front();
  }
}

bool JobRequestHandler::can_ever_run(const wire::JobSpec& spec) const {
  auto team = std::find_if(config_.teams.begin(), config_.teams.end(),
                           [&](const auto& each) { return each.name == spec.team; });
  if (team == config_.teams.end()) return false;
  // Tasks of an array may run one after the other; all others have to run together.
  const auto claim = spec.task_resources * (spec.kind == wire::JobKind::array ? 1.0 : spec.task_count);
  const auto& limit = team->quota;
  if ((limit.cpus > 0 && claim.cpus > limit.cpus) || (limit.gpus > 0 && claim.gpus > limit.gpus))
    return false;
  std::set<std::string> zones;
  for (const auto& type : types_) {
    const auto& allowed = spec.machine_types;
    if (allowed && std::find(allowed->begin(), allowed->end(), type.name) == allowed->end()) continue;
    if (!spec.task_resources.fits_into(type.size)) continue;
    for (const auto& zone : type.zones)
      if (!spec.zone || *spec.zone == zone) zones.insert(zone);
  }
  // At most half of a spread gang's tasks, rounded up, may share a zone.
  const bool two_zones = spec.kind == wire::JobKind::gang && spec.spread && spec.task_count > 1;
  return two_zones ? zones.size() > 1 && !spec.same_zone : !zones.empty();
}

void JobRequestHandler::drop_unknown_types(wire::JobSpec& spec) const {
  if (!spec.machine_types) return;
  std::erase_if(*spec.machine_types, [&](const std::string& name) {
    return std::none_of(types_.begin(), types_.end(), [&](const auto& type) { return type.name == name; });
  });
}

net::Task<JobRequestHandler::Found> JobRequestHandler::find(JobId id, net::TimePoint deadline) {
  Found found;
  if (auto known = terminal_jobs_.find(id); known != terminal_jobs_.end()) {
    found.outcome = Outcome::ok;
    found.status = known->second;
    co_return found;
  }
  store::Result<wire::KeyValue> open = co_await state_.get(core::key::active_job(id), deadline);
  try {
    if (open) {
      found.open = core::parse_job_record(open.value.value);
      found.version = open.value.version;
      if (const auto progress = listener_.progress(id)) found.status = progress->status;
      found.outcome = Outcome::ok;
      co_return found;
    }
    if (open.outcome != Outcome::missing) co_return found;
    // Moved from one key to the other in one transaction: what is not open any more is over by now.
    store::Result<wire::KeyValue> over = co_await state_.get(core::key::terminal_job(id), deadline);
    found.outcome = over.outcome;
    if (over) {
      const auto record = core::parse_terminal_record(over.value.value);
      found.status = {record.state, record.done, 0};
      cache_terminal_status(id, found.status);
    }
  } catch (const wire::Malformed& error) {
    spdlog::error("event=bad_record job={} what=\"{}\"", id.value, error.what());
    found.outcome = Outcome::unknown;
  }
  co_return found;
}

std::optional<HttpResponse> JobRequestHandler::refusal(const std::string& body) const {
  if (!read_spec(body)) return HttpResponse{400, {}, std::nullopt};
  if (types_.empty() || submitting_ >= constants::kMaxSubmissionsInFlight || state_.saturated())
    return service_unavailable();
  return std::nullopt;
}

net::Task<HttpResponse> JobRequestHandler::submit(std::string body) {
  auto refused = refusal(body);
  if (refused) co_return *std::move(refused);
  // The store has not been answering: the user is told now, not when another call has timed out.
  if (state_.unreachable()) co_return service_unavailable();
  // Queued behind more than that it would be refused anyway, after seconds of waiting.
  if (state_.write_backlog_s() > constants::kSubmissionBacklogLimit) co_return service_unavailable();
  auto spec = read_spec(body);
  ++submitting_;
  const auto began = loop_.now();
  HttpResponse response = co_await commit_submission(*std::move(spec));
  submission_times_.add(std::chrono::duration<double>(loop_.now() - began).count());
  --submitting_;
  co_return response;
}

net::Task<HttpResponse> JobRequestHandler::commit_submission(wire::JobSpec spec) {
  const auto deadline = loop_.now() + net::seconds(constants::kSubmissionTimeout);
  const JobId id = spec.id;
  const bool can_run = can_ever_run(spec);
  core::JobRecord record;
  record.spec = std::move(spec);
  record.submitted_ms = loop_.time_of_day_ms();
  if (!core::fits_value(record, config_.max_value_bytes)) drop_unknown_types(record.spec);
  // Names so long that the store can't hold them are invalid.
  if (!can_run || !core::fits_value(record, config_.max_value_bytes)) {
    // A job that was accepted once stays accepted, whatever types and limits have come to be.
    Found found = co_await find(id, deadline);
    if (found.outcome == Outcome::ok)
      co_return json_response(200, wire::job_response(id, found.status.state));
    if (found.outcome == Outcome::missing) co_return HttpResponse{can_run ? 400 : 422, {}, std::nullopt};
    co_return service_unavailable();
  }
  wire::Transaction txn;
  txn.preconditions.push_back({core::key::active_job(id), Revision(0)});
  txn.preconditions.push_back({core::key::terminal_job(id), Revision(0)});
  txn.puts.push_back({core::key::active_job(id), core::to_json(record), {}});
  store::Result<store::Committed> committed =
      co_await state_.commit(txn, store::RequestPriority::high, deadline);
  if (committed) {
    listener_.on_submitted(record, committed.value.revision);
    co_return json_response(201, wire::job_response(id, JobState::pending));
  }
  if (committed.outcome != Outcome::conflict && committed.outcome != Outcome::unknown)
    co_return service_unavailable();
  // Known already, or unanswered: the store tells.
  Found found = co_await find(id, deadline);
  if (found.outcome != Outcome::ok) co_return service_unavailable();
  if (found.open) listener_.on_submitted(*found.open, found.version);
  co_return json_response(200, wire::job_response(id, found.status.state));
}

net::Task<HttpResponse> JobRequestHandler::poll(JobId id) {
  if (auto known = terminal_jobs_.find(id); known != terminal_jobs_.end())
    co_return json_response(200, wire::job_status_response(id, known->second));
  const peer::PolledJobStatus polled = co_await polls_.ask(id, net::seconds(constants::kPollTimeout));
  if (polled.status == 503) co_return service_unavailable();
  if (polled.status != 200) co_return HttpResponse{polled.status, {}, std::nullopt};
  if (is_final(polled.job.state)) cache_terminal_status(id, polled.job);
  co_return json_response(200, wire::job_status_response(id, polled.job));
}

net::Task<std::vector<peer::PolledJobStatus>> JobRequestHandler::poll_for_peer(std::vector<JobId> ids) {
  std::vector<peer::PolledJobStatus> polled =
      co_await polls_.ask_all(std::move(ids), net::seconds(constants::kLeaderPollTimeout));
  co_return polled;
}

net::Task<void> JobRequestHandler::read_job_status(JobId id, net::TimePoint deadline,
                                                   peer::PolledJobStatus* out, std::size_t* left,
                                                   net::OneShot<bool> all_done) {
  Found found = co_await find(id, deadline);
  if (found.outcome == Outcome::ok) *out = {200, found.status};
  if (found.outcome == Outcome::missing) out->status = 404;
  if (--*left == 0) all_done.set(true);
}

net::Task<std::vector<peer::PolledJobStatus>> JobRequestHandler::read_job_statuses(std::vector<JobId> ids) {
  const auto deadline = loop_.now() + net::seconds(constants::kPollTimeout);
  std::vector<peer::PolledJobStatus> out(ids.size(), peer::PolledJobStatus{503, {}});
  if (state_.unreachable()) {
    for (std::size_t i = 0; i < ids.size(); ++i)
      if (auto known = terminal_jobs_.find(ids[i]); known != terminal_jobs_.end())
        out[i] = {200, known->second};
    co_return out;
  }
  // Jobs in the leader's books: one comparison tells of many that their records are unchanged.
  const std::size_t most = constants::kPreconditionsPerChange * config_.max_transaction_changes;
  std::vector<std::size_t> others;
  std::size_t next = 0;
  while (next < ids.size()) {
    std::vector<std::size_t> compared;
    std::vector<wire::JobStatus> statuses;
    wire::Transaction compare;
    for (; next < ids.size() && compared.size() < most; ++next) {
      const auto progress = listener_.progress(ids[next]);
      if (!progress || terminal_jobs_.contains(ids[next])) {
        others.push_back(next);
        continue;
      }
      compare.preconditions.push_back({core::key::active_job(ids[next]), progress->version});
      compared.push_back(next);
      statuses.push_back(progress->status);
    }
    if (compared.empty()) break;
    store::Result<store::Committed> held =
        co_await state_.commit(compare, store::RequestPriority::normal, deadline);
    const auto& failed = held.value.failed_preconditions;
    if (!held && held.outcome != Outcome::conflict) continue;  // can't tell: 503
    for (std::size_t i = 0; i < compared.size(); ++i) {
      const bool changed =
          std::find(failed.begin(), failed.end(), core::key::active_job(ids[compared[i]])) != failed.end();
      if (changed || (!held && failed.empty())) {
        others.push_back(compared[i]);  // over since
      } else {
        out[compared[i]] = {200, statuses[i]};
      }
    }
  }
  if (others.empty()) co_return out;
  std::size_t left = others.size();
  const net::OneShot<bool> all_done(loop_);
  for (auto i : others) net::spawn(read_job_status(ids[i], deadline, &out[i], &left, all_done));
  // Every look-up ends by the deadline of its own calls, and all write into `out`: none may be left behind.
  while (left > 0) co_await all_done.wait_until(loop_.now() + net::seconds(constants::kPollTimeout));
  co_return out;
}

net::Task<HttpResponse> JobRequestHandler::cancel(JobId id) {
  const auto deadline = loop_.now() + net::seconds(constants::kSubmissionTimeout);
  if (state_.unreachable() && !terminal_jobs_.contains(id)) co_return service_unavailable();
  for (int attempt = 0; attempt < constants::kMaxTransactionAttempts; ++attempt) {
    Found found = co_await find(id, deadline);
    if (found.outcome == Outcome::missing) co_return HttpResponse{404, {}, std::nullopt};
    if (found.outcome != Outcome::ok) co_return service_unavailable();
    if (is_final(found.status.state) || !found.open)
      co_return json_response(200, wire::job_response(id, found.status.state));
    const auto txn = core::cancellation(*found.open, found.version, found.status.done, loop_.time_of_day_ms(),
                                        config_.max_value_bytes);
    store::Result<store::Committed> committed =
        co_await state_.commit(txn, store::RequestPriority::high, deadline);
    if (committed) {
      cache_terminal_status(id, {JobState::cancelled, found.status.done, 0});
      listener_.on_cancelled(id);
      co_return json_response(200, wire::job_response(id, JobState::cancelled));
    }
    // Overtaken by a save of the leader, or unanswered: read and try again. Anything else is not carried out.
    if (committed.outcome != Outcome::conflict && committed.outcome != Outcome::unknown) break;
  }
  co_return service_unavailable();
}

}  // namespace dockdyke::app
