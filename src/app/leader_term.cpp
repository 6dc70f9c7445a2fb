#include "app/leader_term.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "app/responses.hpp"
#include "constants.hpp"

namespace dockdyke::app {

using core::Event;
using net::HttpResponse;
using store::Outcome;
using store::RequestPriority;

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

double LeaderTerm::max_staleness_s() const {
  const double spare = std::max(0.0, config_.cancellation_timeout_s - config_.worker_lease_s);
  return spare - std::min(constants::kCancellationMarginMax, constants::kCancellationMarginShare * spare);
}

double LeaderTerm::watch_timeout_s() const {
  return std::min(constants::kLeaderWatchTimeout, max_staleness_s() / constants::kWatchesPerMaxStaleness);
}

HeartbeatSilence LeaderTerm::heartbeat_silence() const {
  HeartbeatSilence out;
  out.any_heartbeat_received = last_heartbeat_at_.has_value();
  out.duration_s =
      std::chrono::duration<double>(services_.loop.now() - last_heartbeat_at_.value_or(elected_at_)).count();
  out.threshold_s = constants::kHeartbeatSilenceMin;
  if (out.duration_s < out.threshold_s) return out;  // no need to count the machines
  out.machines = cluster_.machines_up();
  const double round_s = constants::kHeartbeatRoundFactor * config_.heartbeat_interval_s + idle_hold_s();
  const double few_s = constants::kHeartbeatsMissedThreshold * config_.heartbeat_interval_s /
                       std::max(1.0, static_cast<double>(out.machines));
  out.threshold_s = std::max(out.threshold_s, std::min(round_s, few_s));
  return out;
}

double LeaderTerm::idle_hold_s() const {
  return std::min(constants::kIdleHoldMax, constants::kIdleHoldShare * config_.heartbeat_interval_s);
}

void LeaderTerm::set_isolated(bool alone) {
  if (!alone) {
    isolated_since_.reset();
  } else if (!isolated_since_) {
    isolated_since_ = services_.loop.now();
  }
}

void LeaderTerm::start(const std::vector<wire::MachineType>& types) {
  if (!types.empty()) push(core::MachineTypesChanged{types});
  net::spawn(run(shared_from_this()));
  net::spawn(load(shared_from_this()));
  net::spawn(refresh_machine_list(shared_from_this()));
  net::spawn(run_timers(shared_from_this()));
}

void LeaderTerm::end() {
  alive_ = false;
  work_.ring();
}

void LeaderTerm::superseded() {
  if (!alive_) return;
  spdlog::info("event=overtaken token={}", token().value);
  listener_.on_superseded();
}

void LeaderTerm::push(Event event) {
  events_.push_back(std::move(event));
  work_.ring();
}

// ---- The owner of all state -------------------------------------------------------------------------------

net::Task<void> LeaderTerm::run(Self self) {
  auto& cluster = self->cluster_;
  while (self->alive_) {
    // With all saves under way, as in an outage, there is nothing to wake for: the end of one rings the bell.
    const bool may_save = self->writes_in_flight_ < constants::kMaxWritesInFlight;
    const double due_s =
        may_save ? cluster.next_write_due_in(self->now()).value_or(constants::kHousekeepingInterval)
                 : constants::kHousekeepingInterval;
    co_await self->work_.wait_for(net::seconds(std::min(constants::kHousekeepingInterval, due_s)));
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
      if (fate == core::HeartbeatOutcome::accepted) self->last_heartbeat_at_ = self->services_.loop.now();
      if (fate == core::HeartbeatOutcome::superseded) {
        self->superseded();
        break;
      }
    }
    if (!self->alive_) break;
    cluster.assign_tasks(now);
    self->start_writes();
    for (auto& effect : cluster.take_effects())
      std::visit([&](auto& each) { net::spawn(execute(self, std::move(each))); }, effect);
    if (recorded) self->release_held_responses();
  }
  for (const auto& [machine, held] : std::exchange(self->held_responses_, {})) held.set(true);
}

void LeaderTerm::release_held_responses() {
  std::vector<MachineId> ready;
  for (const auto& [machine, held] : held_responses_)
    if (cluster_.response_hold(machine, now()) == core::ResponseHold::none) ready.push_back(machine);
  for (const auto& machine : ready) {
    held_responses_.at(machine).set(true);
    held_responses_.erase(machine);
  }
}

net::Task<void> LeaderTerm::hold_response(MachineId machine) {
  auto& loop = services_.loop;
  const auto began = loop.now();
  std::optional<net::TimePoint> saving_since;
  while (alive_) {
    const auto hold = cluster_.response_hold(machine, now());
    if (hold == core::ResponseHold::none) co_return;
    if (hold == core::ResponseHold::awaiting_work && held_responses_.size() >= services_.max_held_responses)
      co_return;
    // Work given to an idle machine meanwhile has the same time to get on record as any other.
    if (hold == core::ResponseHold::awaiting_write && !saving_since) saving_since = loop.now();
    const auto until = saving_since ? *saving_since + net::seconds(constants::kWriteHoldTimeout)
                                    : began + net::seconds(idle_hold_s());
    if (loop.now() >= until) co_return;
    const net::OneShot<bool> woken(loop);
    held_responses_.insert_or_assign(machine, woken);
    const std::optional<bool> ready = co_await woken.wait_until(until);
    if (ready) continue;
    if (auto found = held_responses_.find(machine);
        found != held_responses_.end() && found->second.same(woken))
      held_responses_.erase(found);
  }
}

net::Task<HttpResponse> LeaderTerm::heartbeat(wire::Heartbeat heartbeat) {
  const Self self = shared_from_this();
  auto& loop = services_.loop;
  // A leader cut off from the store must not keep alive for long what others may have cancelled meanwhile.
  const double isolated_service_s =
      std::min(constants::kIsolatedServiceTimeMax, constants::kIsolatedServiceTimeShare * max_staleness_s());
  const bool cut_off = isolated_since_ && loop.now() - *isolated_since_ >= net::seconds(isolated_service_s);
  if (cut_off || staleness() >= max_staleness_s() || heartbeats_.size() >= constants::kHeartbeatQueueLimit)
    co_return service_unavailable();
  const net::OneShot<core::HeartbeatOutcome> fate(loop);
  heartbeats_.push_back({heartbeat, fate});
  work_.ring();
  const std::optional<core::HeartbeatOutcome> decided =
      co_await fate.wait_until(loop.now() + net::seconds(1));
  if (!alive_ || decided != core::HeartbeatOutcome::accepted) co_return service_unavailable();
  co_await hold_response(heartbeat.machine);
  // A later report of the machine means that it no longer waits for this answer: its orders would be lost.
  if (!alive_ || !cluster_.awaits_response(heartbeat)) co_return service_unavailable();
  const auto commands = cluster_.commands_for(
      heartbeat.machine, staleness() < constants::kStartStalenessWatches * watch_timeout_s(), now());
  cluster_.response_sent(heartbeat.machine, now());
  co_return json_response(200, wire::heartbeat_response(token(), commands));
}

net::Task<void> LeaderTerm::run_timers(Self self) {
  double counted_s = 0;
  while (self->alive_) {
    self->push(core::Tick{});
    co_await self->services_.loop.sleep(net::seconds(constants::kHousekeepingInterval));
    counted_s += constants::kHousekeepingInterval;
    if (counted_s < constants::kAutoscalerInterval) continue;
    counted_s = 0;
    for (const auto& [offering, use] : self->cluster_.usage_by_offering())
      spdlog::debug(
          "event=fleet type={} zone={} spot={} machines={} booting={} empty={} cpus={:.0f} of={:.0f}",
          offering.type, offering.zone, offering.spot, use.machines, use.booting, use.empty, use.cpus_used,
          use.cpus);
    const auto count = self->cluster_.count();
    const auto tasks = self->cluster_.assignment_counts();
    spdlog::info("event=tasks unsent={} fetching={} running={}", tasks.unsent, tasks.fetching, tasks.running);
    spdlog::info(
        "event=tick machines={} booting={} overwhelmed={} underwhelmed={} free={} waiting={} jobs={} "
        "stale={:.1f}",
        count.machines, count.booting, count.overwhelmed, count.underwhelmed, count.free, count.waiting_tasks,
        self->cluster_.jobs(), self->staleness());
    spdlog::info("event=pages kept={} saving={} held={}", self->cluster_.segments(), self->writes_in_flight_,
                 self->held_responses_.size());
  }
}

}  // namespace dockdyke::app
