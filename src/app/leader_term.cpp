#include "app/leader_term.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "app/frontend.hpp"
#include "constants.hpp"

namespace dockdyke::app {

using core::Event;
using net::HttpResponse;
using store::Outcome;
using store::Urgency;

namespace {

core::Time seconds_of(net::TimePoint time) {
  return std::chrono::duration<double>(time.time_since_epoch()).count();
}

}  // namespace

LeaderTerm::LeaderTerm(Services services, const core::ClusterConfig& config, store::Leadership leadership,
                       net::TimePoint asked_at, Listener listener)
    : services_(services),
      config_(config),
      cluster_(config, leadership.token, seconds_of(services.loop.now()), services.loop.time_of_day_ms()),
      listener_(std::move(listener)),
      work_(services.loop),
      renewed_at_(asked_at),
      watched_at_(asked_at),
      elected_at_(services.loop.now()) {}

core::Time LeaderTerm::now() const {
  return seconds_of(services_.loop.now());
}
wire::Precondition LeaderTerm::leader_precondition() const {
  return {store::kLeaderKey, Revision(token().value)};
}

double LeaderTerm::staleness() const {
  return std::chrono::duration<double>(services_.loop.now() - std::min(renewed_at_, watched_at_)).count();
}

double LeaderTerm::patience_s() const {
  const double spare = std::max(0.0, config_.cancellation_timeout_s - config_.worker_lease_s);
  return spare - std::min(limits::kCancelMargin, limits::kCancelMarginShare * spare);
}

double LeaderTerm::watch_hold_s() const {
  return std::min(limits::kWatchHold, patience_s() / limits::kWatchesPerPatience);
}

LeaderTerm::WorkerSilence LeaderTerm::silence() const {
  WorkerSilence out;
  out.heard_before = heard_at_.has_value();
  out.lasted_s =
      std::chrono::duration<double>(services_.loop.now() - heard_at_.value_or(elected_at_)).count();
  out.odd_s = limits::kDeafLeast;
  if (out.lasted_s < out.odd_s) return out;  // no need to count the machines
  out.machines = cluster_.machines_up();
  const double round_s = limits::kReportRound * config_.heartbeat_interval_s + idle_hold_s();
  const double few_s =
      limits::kDeafReports * config_.heartbeat_interval_s / std::max(1.0, static_cast<double>(out.machines));
  out.odd_s = std::max(out.odd_s, std::min(round_s, few_s));
  return out;
}

double LeaderTerm::idle_hold_s() const {
  return std::min(limits::kIdleHold, limits::kIdleHoldShare * config_.heartbeat_interval_s);
}

void LeaderTerm::set_alone(bool alone) {
  if (!alone) {
    alone_since_.reset();
  } else if (!alone_since_) {
    alone_since_ = services_.loop.now();
  }
}

void LeaderTerm::start(const std::vector<wire::MachineType>& types) {
  if (!types.empty()) push(core::MachineTypesChanged{types});
  net::spawn(own(shared_from_this()));
  net::spawn(load(shared_from_this()));
  net::spawn(read_machines(shared_from_this()));
  net::spawn(keep_time(shared_from_this()));
}

void LeaderTerm::end() {
  alive_ = false;
  work_.ring();
}

void LeaderTerm::overtaken() {
  if (!alive_) return;
  spdlog::info("event=overtaken token={}", token().value);
  listener_.on_overtaken();
}

void LeaderTerm::push(Event event) {
  events_.push_back(std::move(event));
  work_.ring();
}

// ---- The owner of all state -------------------------------------------------------------------------------

net::Task<void> LeaderTerm::own(Self self) {
  auto& cluster = self->cluster_;
  while (self->alive_) {
    // With all saves under way, as in an outage, there is nothing to wake for: the end of one rings the bell.
    const bool may_save = self->saving_ < limits::kSavesInFlight;
    const double due_s = may_save ? cluster.next_write_due_in(self->now()).value_or(limits::kHousekeeping)
                                  : limits::kHousekeeping;
    co_await self->work_.wait_for(net::seconds(std::min(limits::kHousekeeping, due_s)));
    if (!self->alive_) break;
    auto events = std::exchange(self->events_, {});
    auto heartbeats = std::exchange(self->heartbeats_, {});
    const auto now = self->now();
    bool recorded = false;
    for (const auto& event : events) {
      cluster.apply(event, now);
      recorded = recorded || std::holds_alternative<core::WriteApplied>(event) ||
                 std::holds_alternative<core::WriteConflicted>(event);
    }
    for (const auto& waiting : heartbeats) {
      const auto fate = cluster.apply_heartbeat(waiting.heartbeat, now);
      waiting.fate.set(fate);
      if (fate == core::HeartbeatOutcome::accepted) self->heard_at_ = self->services_.loop.now();
      if (fate == core::HeartbeatOutcome::superseded) {
        self->overtaken();
        break;
      }
    }
    if (!self->alive_) break;
    cluster.assign_tasks(now);
    self->start_saves();
    for (auto& effect : cluster.take_effects())
      std::visit([&](auto& each) { net::spawn(carry_out(self, std::move(each))); }, effect);
    if (recorded) self->release_held();
  }
  for (const auto& [machine, held] : std::exchange(self->held_, {})) held.set(true);
}

void LeaderTerm::release_held() {
  std::vector<MachineId> ready;
  for (const auto& [machine, held] : held_)
    if (cluster_.response_hold(machine, now()) == core::ResponseHold::none) ready.push_back(machine);
  for (const auto& machine : ready) {
    held_.at(machine).set(true);
    held_.erase(machine);
  }
}

net::Task<void> LeaderTerm::hold_answer(MachineId machine) {
  auto& loop = services_.loop;
  const auto began = loop.now();
  std::optional<net::TimePoint> saving_since;
  while (alive_) {
    const auto hold = cluster_.response_hold(machine, now());
    if (hold == core::ResponseHold::none) co_return;
    if (hold == core::ResponseHold::awaiting_work && held_.size() >= services_.most_held_answers) co_return;
    // Work given to an idle machine meanwhile has the same time to get on record as any other.
    if (hold == core::ResponseHold::awaiting_write && !saving_since) saving_since = loop.now();
    const auto until = saving_since ? *saving_since + net::seconds(limits::kAnswerWait)
                                    : began + net::seconds(idle_hold_s());
    if (loop.now() >= until) co_return;
    const net::OneShot<bool> woken(loop);
    held_.insert_or_assign(machine, woken);
    const std::optional<bool> ready = co_await woken.wait_until(until);
    if (ready) continue;
    if (auto found = held_.find(machine); found != held_.end() && found->second.same(woken))
      held_.erase(found);
  }
}

net::Task<HttpResponse> LeaderTerm::heartbeat(wire::Heartbeat heartbeat) {
  const Self self = shared_from_this();
  auto& loop = services_.loop;
  // A leader cut off from the store must not keep alive for long what others may have cancelled meanwhile.
  const double alone_s = std::min(limits::kAlonePatience, limits::kAloneShare * patience_s());
  const bool cut_off = alone_since_ && loop.now() - *alone_since_ >= net::seconds(alone_s);
  if (cut_off || staleness() >= patience_s() || heartbeats_.size() >= limits::kReportQueue)
    co_return come_back();
  const net::OneShot<core::HeartbeatOutcome> fate(loop);
  heartbeats_.push_back({heartbeat, fate});
  work_.ring();
  const std::optional<core::HeartbeatOutcome> decided =
      co_await fate.wait_until(loop.now() + net::seconds(1));
  if (!alive_ || decided != core::HeartbeatOutcome::accepted) co_return come_back();
  co_await hold_answer(heartbeat.machine);
  // A later report of the machine means that it no longer waits for this answer: its orders would be lost.
  if (!alive_ || !cluster_.awaits_response(heartbeat)) co_return come_back();
  const auto commands =
      cluster_.commands_for(heartbeat.machine, staleness() < limits::kFreshForStarts * watch_hold_s(), now());
  cluster_.response_sent(heartbeat.machine, now());
  co_return answer(200, wire::heartbeat_response(token(), commands));
}

net::Task<void> LeaderTerm::keep_time(Self self) {
  double counted_s = 0;
  while (self->alive_) {
    self->push(core::Tick{});
    co_await self->services_.loop.sleep(net::seconds(limits::kHousekeeping));
    counted_s += limits::kHousekeeping;
    if (counted_s < limits::kTick) continue;
    counted_s = 0;
    for (const auto& [offer, use] : self->cluster_.usage_by_offering())
      spdlog::debug(
          "event=fleet type={} zone={} spot={} machines={} booting={} empty={} cpus={:.0f} of={:.0f}",
          std::get<0>(offer), std::get<1>(offer), std::get<2>(offer), use.machines, use.booting, use.empty,
          use.cpus_used, use.cpus);
    const auto count = self->cluster_.count();
    const auto tasks = self->cluster_.assignment_counts();
    spdlog::info("event=tasks unsent={} fetching={} running={}", tasks.unsent, tasks.fetching, tasks.running);
    spdlog::info(
        "event=tick machines={} booting={} overwhelmed={} underwhelmed={} free={} waiting={} jobs={} "
        "stale={:.1f}",
        count.machines, count.booting, count.overwhelmed, count.underwhelmed, count.free, count.waiting_tasks,
        self->cluster_.jobs(), self->staleness());
    spdlog::info("event=pages kept={} saving={} held={}", self->cluster_.segments(), self->saving_,
                 self->held_.size());
  }
}

}  // namespace dockdyke::app
