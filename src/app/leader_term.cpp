#include "app/leader_term.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>
#include <variant>

#include "constants.hpp"

namespace dockdyke::app {

LeaderTerm::LeaderTerm(TermServices services, const core::ClusterConfig& config, store::Leadership leadership,
                       net::TimePoint requested_at, Listener listener)
    : context_(services, config, leadership.token, std::move(listener.on_superseded)),
      elected_at_(context_.now()),
      state_machine_(config, leadership.token, context_.now(), services.loop.time_of_day_ms()),
      freshness_(services.loop, config, requested_at),
      held_responses_(context_, state_machine_, services.max_held_responses),
      heartbeat_handler_(context_, state_machine_, freshness_, held_responses_),
      fenced_writer_(context_),
      key_deleter_(context_, fenced_writer_),
      state_writer_(context_, state_machine_, std::move(listener.on_job_completed)),
      effect_executor_(context_, fenced_writer_, key_deleter_),
      record_loader_(context_),
      record_watcher_(context_, state_machine_, freshness_),
      cancellation_log_(leadership.token),
      zone_conflict_log_(leadership.token) {}

void LeaderTerm::start(const std::vector<wire::MachineType>& machine_types) {
  context_.set_owner(weak_from_this());
  if (!machine_types.empty()) push(core::MachineTypesChanged{machine_types});
  context_.spawn(run_main_loop());
  context_.spawn(load_and_watch());
  context_.spawn(refresh_machine_list());
  context_.spawn(run_timers());
}

net::Task<net::HttpResponse> LeaderTerm::handle_heartbeat(wire::Heartbeat heartbeat) {
  // Keeps the term alive while the response is held.
  const auto self = shared_from_this();
  net::HttpResponse response = co_await heartbeat_handler_.handle(std::move(heartbeat));
  co_return response;
}

// ---- Main loop --------------------------------------------------------------------------------------------

double LeaderTerm::next_wakeup_s() const {
  // No write is due while the maximum number is in flight; the completion of one wakes the loop.
  const double write_due_s = state_writer_.next_due_in_s().value_or(constants::kHousekeepingIntervalSeconds);
  return std::min(constants::kHousekeepingIntervalSeconds, write_due_s);
}

bool LeaderTerm::apply_events(core::Time now) {
  bool write_finished = false;
  for (const auto& event : context_.events().take_all()) {
    state_machine_.apply(event, now);
    write_finished = write_finished || std::holds_alternative<core::WriteApplied>(event) ||
                     std::holds_alternative<core::WriteConflicted>(event);
  }
  return write_finished;
}

net::Task<void> LeaderTerm::run_main_loop() {
  while (context_.alive()) {
    co_await context_.events().wait_for(net::seconds(next_wakeup_s()));
    if (!context_.alive()) break;
    const auto now = context_.now();
    const bool write_finished = apply_events(now);
    heartbeat_handler_.apply_queued(now);
    if (!context_.alive()) break;  // a heartbeat revealed a newer leader
    state_machine_.assign_tasks(now);
    state_writer_.start_due_writes();
    for (auto& effect : state_machine_.take_effects()) effect_executor_.execute(std::move(effect));
    cancellation_log_.write(state_machine_.take_cancellation_reports());
    if (write_finished) held_responses_.release_ready();
  }
  held_responses_.release_all();
}

// ---- Background tasks -------------------------------------------------------------------------------------

net::Task<void> LeaderTerm::load_and_watch() {
  std::optional<LoadedRecords> records = co_await record_loader_.load();
  if (!records || !context_.alive()) co_return;
  for (auto& event : records->events) push(std::move(event));
  push(core::LoadCompleted{records->revision});
  spdlog::info("event=state_loaded token={} revision={} records={} attempts={} took_s={:.2f}", token().value,
               records->revision.value, records->events.size(), records->attempts, age_s());
  context_.spawn(record_watcher_.run(records->revision));
}

net::Task<void> LeaderTerm::refresh_machine_list() {
  while (context_.alive()) {
    cloud::Result<std::vector<wire::ListedMachine>> listed = co_await context_.cloud().list_machines();
    if (!context_.alive()) co_return;
    if (listed) push(core::MachinesListed{std::move(listed.value)});
    co_await context_.loop().sleep(net::seconds(constants::kMachineListIntervalSeconds));
  }
}

net::Task<void> LeaderTerm::run_timers() {
  double since_statistics_s = 0;
  while (context_.alive()) {
    push(core::Tick{});
    co_await context_.loop().sleep(net::seconds(constants::kHousekeepingIntervalSeconds));
    log_zone_conflicts();
    since_statistics_s += constants::kHousekeepingIntervalSeconds;
    if (since_statistics_s < constants::kAutoscalerIntervalSeconds) continue;
    since_statistics_s = 0;
    log_statistics();
  }
}

void LeaderTerm::log_state_view() const {
  spdlog::info(
      "event=state_view token={} led_s={:.1f} loaded={} revision={} watch_age_s={:.1f} lease_age_s={:.1f} "
      "failed_watches={}",
      token().value, age_s(), state_machine_.loaded(), record_watcher_.watched_revision().value,
      freshness_.watch_age_s(), freshness_.lease_age_s(), record_watcher_.failed_watches());
}

void LeaderTerm::log_assignments() const {
  const auto tasks = state_machine_.assignment_counts();
  const auto undispatched = state_machine_.undispatched_summary(context_.now());
  spdlog::info("event=task_assignments never_dispatched={} fetching={} running={}", undispatched.tasks,
               tasks.fetching, tasks.running);
  if (undispatched.tasks == 0) return;
  spdlog::info(
      "event=undispatched_tasks token={} tasks={} not_durable={} withheld={} job={} task={} machine={} "
      "waited_s={:.1f} durable={} obstacle={}",
      token().value, undispatched.tasks, undispatched.not_durable, undispatched.withheld,
      undispatched.task.job.value, undispatched.task.index, undispatched.machine.value, undispatched.waited_s,
      undispatched.durable, core::to_string(undispatched.obstacle));
}

void LeaderTerm::log_zone_conflicts() {
  if (ZoneConflictLog::enabled()) zone_conflict_log_.write(state_machine_.zone_conflict_summary());
}

void LeaderTerm::log_statistics() {
  for (const auto& [offering, usage] : state_machine_.usage_by_offering())
    spdlog::debug(
        "event=offering_usage type={} zone={} spot={} machines={} booting={} empty={} cpus_used={:.0f} "
        "cpus={:.0f}",
        offering.type, offering.zone, offering.spot, usage.machines, usage.booting, usage.empty,
        usage.cpus_used, usage.cpus);
  log_assignments();
  const auto fleet = state_machine_.fleet_summary();
  spdlog::info(
      "event=fleet machines={} booting={} saturated={} scale_in_candidates={} free={} waiting_tasks={} "
      "jobs={} "
      "staleness_s={:.1f}",
      fleet.machines, fleet.booting, fleet.saturated, fleet.scale_in_candidates, fleet.free,
      fleet.waiting_tasks, state_machine_.job_count(), freshness_.staleness_s());
  spdlog::info("event=state_writes task_log_segments={} in_flight={} held_responses={}",
               state_machine_.task_log_segments(), state_writer_.in_flight(), held_responses_.size());
  log_state_view();
  heartbeat_handler_.log_response_counts();
  cancellation_log_.write_summary(state_machine_.cancellation_summary(context_.now()));
}

}  // namespace dockdyke::app
