#include "app/frontend.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>

#include "constants.hpp"

namespace dockdyke::app {

using net::HttpResponse;
using store::Outcome;
using wire::Stage;

HttpResponse answer(int status, const wire::Json& body) {
  return {status, wire::encode(body), std::nullopt};
}
std::int64_t time_of_day_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
HttpResponse come_back() {
  return {503, {}, limits::kRetryAfter};
}

namespace {

bool is_final(Stage stage) {
  return stage == Stage::done || stage == Stage::cancelled;
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

Frontend::Frontend(net::Loop& loop, store::StateClient& state, const core::Config& config, Listener listener)
    : loop_(loop), state_(state), config_(config), listener_(std::move(listener)) {}

void Frontend::remember(const JobId& id, const wire::JobStatus& status) {
  if (!finals_.emplace(id, status).second) return;
  finals_order_.push_back(id);
  if (finals_order_.size() > limits::kFinalCache) {
    finals_.erase(finals_order_.front());
    finals_order_.pop_front();
  }
}

bool Frontend::can_ever_run(const wire::JobSpec& spec) const {
  auto team = std::find_if(config_.teams.begin(), config_.teams.end(),
                           [&](const auto& each) { return each.name == spec.team; });
  if (team == config_.teams.end()) return false;
  const auto claim = spec.each * (spec.shape == wire::Shape::standing ? spec.tasks : 1.0);
  const auto& limit = team->limit;
  if ((limit.cpus > 0 && claim.cpus > limit.cpus) || (limit.gpus > 0 && claim.gpus > limit.gpus))
    return false;
  return std::any_of(types_.begin(), types_.end(), [&](const wire::MachineType& type) {
    if (spec.machine_types && std::find(spec.machine_types->begin(), spec.machine_types->end(), type.name) ==
                                  spec.machine_types->end())
      return false;
    if (spec.zone && std::find(type.zones.begin(), type.zones.end(), *spec.zone) == type.zones.end())
      return false;
    return spec.each.fits_into(type.size);
  });
}

net::Task<Frontend::Found> Frontend::find(JobId id, net::TimePoint deadline) {
  Found found;
  if (auto known = finals_.find(id); known != finals_.end()) {
    found.outcome = Outcome::ok;
    found.status = known->second;
    co_return found;
  }
  store::Result<wire::KeyValue> open = co_await state_.get(core::key::open(id), deadline);
  try {
    if (open) {
      found.open = core::parse_job_record(open.value.value);
      found.status = found.open->status;
      found.version = open.value.version;
      found.outcome = Outcome::ok;
      co_return found;
    }
    if (open.outcome != Outcome::missing) co_return found;
    // Moved from one key to the other in one transaction: what is not open any more is over by now.
    store::Result<wire::KeyValue> over = co_await state_.get(core::key::over(id), deadline);
    found.outcome = over.outcome;
    if (over) {
      const auto record = core::parse_final_record(over.value.value);
      found.status = {record.stage, record.done, 0};
      remember(id, found.status);
    }
  } catch (const wire::Malformed& error) {
    spdlog::error("event=bad_record job={} what=\"{}\"", id.value, error.what());
    found.outcome = Outcome::unknown;
  }
  co_return found;
}

std::optional<HttpResponse> Frontend::refusal(const std::string& body) const {
  if (!read_spec(body)) return HttpResponse{400, {}, std::nullopt};
  if (types_.empty() || submitting_ >= limits::kSubmitsInFlight || state_.backed_up()) return come_back();
  return std::nullopt;
}

net::Task<HttpResponse> Frontend::submit(std::string body) {
  auto refused = refusal(body);
  if (refused) co_return *std::move(refused);
  auto spec = read_spec(body);
  ++submitting_;
  const auto began = loop_.now();
  HttpResponse response = co_await commit_submission(*std::move(spec));
  submission_times_.add(std::chrono::duration<double>(loop_.now() - began).count());
  --submitting_;
  co_return response;
}

net::Task<HttpResponse> Frontend::commit_submission(wire::JobSpec spec) {
  const auto deadline = loop_.now() + net::seconds(limits::kSubmitBudget);
  const JobId id = spec.id;
  if (!can_ever_run(spec)) {
    // A job that was accepted once stays accepted, whatever the machine types have come to be.
    Found found = co_await find(id, deadline);
    if (found.outcome == Outcome::ok) co_return answer(200, wire::job_answer(id, found.status.stage));
    if (found.outcome == Outcome::missing) co_return HttpResponse{422, {}, std::nullopt};
    co_return come_back();
  }
  core::JobRecord record;
  record.per_part = core::tasks_per_part(spec, config_.value_bytes);
  record.spec = std::move(spec);
  record.submitted_ms = time_of_day_ms();
  wire::Transaction txn;
  txn.guards.push_back({core::key::open(id), Revision(0)});
  txn.guards.push_back({core::key::over(id), Revision(0)});
  txn.puts.push_back({core::key::open(id), core::to_json(record), {}});
  store::Result<store::Committed> committed = co_await state_.commit(txn, store::Urgency::high, deadline);
  if (committed) {
    listener_.on_submitted(record, committed.value.revision);
    co_return answer(201, wire::job_answer(id, Stage::pending));
  }
  if (committed.outcome != Outcome::conflict && committed.outcome != Outcome::unknown) co_return come_back();
  // Known already, or unanswered: the store tells.
  Found found = co_await find(id, deadline);
  if (found.outcome != Outcome::ok) co_return come_back();
  if (found.open) listener_.on_submitted(*found.open, found.version);
  co_return answer(200, wire::job_answer(id, found.status.stage));
}

net::Task<HttpResponse> Frontend::poll(JobId id) {
  Found found = co_await find(id, loop_.now() + net::seconds(limits::kPollBudget));
  if (found.outcome == Outcome::ok) co_return answer(200, wire::job_status_answer(id, found.status));
  if (found.outcome == Outcome::missing) co_return HttpResponse{404, {}, std::nullopt};
  co_return come_back();
}

net::Task<HttpResponse> Frontend::cancel(JobId id) {
  const auto deadline = loop_.now() + net::seconds(limits::kSubmitBudget);
  for (int attempt = 0; attempt < limits::kTxnAttempts; ++attempt) {
    Found found = co_await find(id, deadline);
    if (found.outcome == Outcome::missing) co_return HttpResponse{404, {}, std::nullopt};
    if (found.outcome != Outcome::ok) co_return come_back();
    if (is_final(found.status.stage) || !found.open)
      co_return answer(200, wire::job_answer(id, found.status.stage));
    const auto txn = core::cancellation(*found.open, found.version);
    store::Result<store::Committed> committed = co_await state_.commit(txn, store::Urgency::high, deadline);
    if (committed) {
      remember(id, {Stage::cancelled, found.status.done, 0});
      listener_.on_cancelled(id);
      co_return answer(200, wire::job_answer(id, Stage::cancelled));
    }
    // Overtaken by a save of the leader, or unanswered: read and try again. Anything else is not carried out.
    if (committed.outcome != Outcome::conflict && committed.outcome != Outcome::unknown) break;
  }
  co_return come_back();
}

}  // namespace dockdyke::app
