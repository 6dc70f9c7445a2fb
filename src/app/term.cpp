#include "app/term.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "app/frontend.hpp"
#include "constants.hpp"

namespace dockdyke::app {

using core::Command;
using net::HttpResponse;
using store::Outcome;
using store::Urgency;

namespace {

core::Time seconds_of(net::TimePoint time) {
  return std::chrono::duration<double>(time.time_since_epoch()).count();
}

}  // namespace

Term::Term(Services services, const core::Config& config, store::Leadership leadership,
           net::TimePoint asked_at, Listener listener)
    : services_(services),
      config_(config),
      cluster_(config, leadership.token, seconds_of(services.loop.now()), services.loop.time_of_day_ms()),
      listener_(std::move(listener)),
      work_(services.loop),
      renewed_at_(asked_at),
      watched_at_(asked_at),
      elected_at_(services.loop.now()) {}

core::Time Term::now() const {
  return seconds_of(services_.loop.now());
}
wire::Guard Term::leader_guard() const {
  return {store::kLeaderKey, Revision(token().value)};
}

double Term::staleness() const {
  return std::chrono::duration<double>(services_.loop.now() - std::min(renewed_at_, watched_at_)).count();
}

double Term::patience_s() const {
  const double spare = std::max(0.0, config_.cancel_s - config_.lease_s);
  return spare - std::min(limits::kCancelMargin, limits::kCancelMarginShare * spare);
}

double Term::watch_hold_s() const {
  return std::min(limits::kWatchHold, patience_s() / limits::kWatchesPerPatience);
}

Term::Silence Term::silence() const {
  Silence out;
  out.heard_before = heard_at_.has_value();
  out.lasted_s =
      std::chrono::duration<double>(services_.loop.now() - heard_at_.value_or(elected_at_)).count();
  out.odd_s = limits::kDeafLeast;
  if (out.lasted_s < out.odd_s) return out;  // no need to count the machines
  out.machines = cluster_.machines_up();
  const double round_s = limits::kReportRound * config_.report_s + idle_hold_s();
  const double few_s =
      limits::kDeafReports * config_.report_s / std::max(1.0, static_cast<double>(out.machines));
  out.odd_s = std::max(out.odd_s, std::min(round_s, few_s));
  return out;
}

double Term::idle_hold_s() const {
  return std::min(limits::kIdleHold, limits::kIdleHoldShare * config_.report_s);
}

void Term::set_alone(bool alone) {
  if (!alone) {
    alone_since_.reset();
  } else if (!alone_since_) {
    alone_since_ = services_.loop.now();
  }
}

void Term::start(const std::vector<wire::MachineType>& types) {
  if (!types.empty()) push(core::TypesChanged{types});
  net::spawn(own(shared_from_this()));
  net::spawn(load(shared_from_this()));
  net::spawn(read_machines(shared_from_this()));
  net::spawn(keep_time(shared_from_this()));
}

void Term::end() {
  alive_ = false;
  work_.ring();
}

void Term::overtaken() {
  if (!alive_) return;
  spdlog::info("event=overtaken token={}", token().value);
  listener_.on_overtaken();
}

void Term::push(Command command) {
  commands_.push_back(std::move(command));
  work_.ring();
}

// ---- The owner of all state -------------------------------------------------------------------------------

net::Task<void> Term::own(Self self) {
  auto& cluster = self->cluster_;
  while (self->alive_) {
    // With all saves under way, as in an outage, there is nothing to wake for: the end of one rings the bell.
    const bool may_save = self->saving_ < limits::kSavesInFlight;
    const double due_s =
        may_save ? cluster.save_due_in(self->now()).value_or(limits::kHousekeeping) : limits::kHousekeeping;
    co_await self->work_.wait_for(net::seconds(std::min(limits::kHousekeeping, due_s)));
    if (!self->alive_) break;
    auto commands = std::exchange(self->commands_, {});
    auto reports = std::exchange(self->reports_, {});
    const auto now = self->now();
    bool recorded = false;
    for (const auto& command : commands) {
      cluster.apply(command, now);
      recorded = recorded || std::holds_alternative<core::SaveDone>(command) ||
                 std::holds_alternative<core::SaveConflict>(command);
    }
    for (const auto& waiting : reports) {
      const auto fate = cluster.take_report(waiting.report, now);
      waiting.fate.set(fate);
      if (fate == core::ReportFate::taken) self->heard_at_ = self->services_.loop.now();
      if (fate == core::ReportFate::overtaken) {
        self->overtaken();
        break;
      }
    }
    if (!self->alive_) break;
    cluster.place(now);
    self->start_saves();
    for (auto& effect : cluster.take_effects())
      std::visit([&](auto& each) { net::spawn(carry_out(self, std::move(each))); }, effect);
    if (recorded) self->release_held();
  }
  for (const auto& [machine, held] : std::exchange(self->held_, {})) held.set(true);
}

void Term::release_held() {
  std::vector<MachineId> ready;
  for (const auto& [machine, held] : held_)
    if (cluster_.hold(machine) == core::Hold::none) ready.push_back(machine);
  for (const auto& machine : ready) {
    held_.at(machine).set(true);
    held_.erase(machine);
  }
}

net::Task<void> Term::hold_answer(MachineId machine) {
  auto& loop = services_.loop;
  const auto began = loop.now();
  std::optional<net::TimePoint> saving_since;
  while (alive_) {
    const auto hold = cluster_.hold(machine);
    if (hold == core::Hold::none) co_return;
    // Work given to an idle machine meanwhile has the same time to get on record as any other.
    if (hold == core::Hold::save && !saving_since) saving_since = loop.now();
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

net::Task<HttpResponse> Term::report(wire::Report report) {
  const Self self = shared_from_this();
  auto& loop = services_.loop;
  // A leader cut off from the store must not keep alive for long what others may have cancelled meanwhile.
  const double alone_s = std::min(limits::kAlonePatience, limits::kAloneShare * patience_s());
  const bool cut_off = alone_since_ && loop.now() - *alone_since_ >= net::seconds(alone_s);
  if (cut_off || staleness() >= patience_s() || reports_.size() >= limits::kReportQueue)
    co_return come_back();
  const net::OneShot<core::ReportFate> fate(loop);
  reports_.push_back({report, fate});
  work_.ring();
  const std::optional<core::ReportFate> decided = co_await fate.wait_until(loop.now() + net::seconds(1));
  if (!alive_ || decided != core::ReportFate::taken) co_return come_back();
  co_await hold_answer(report.machine);
  // A later report of the machine means that it no longer waits for this answer: its orders would be lost.
  if (!alive_ || !cluster_.awaits_answer(report)) co_return come_back();
  const auto orders =
      cluster_.orders_for(report.machine, staleness() < limits::kFreshForStarts * watch_hold_s(), now());
  cluster_.answered(report.machine, now());
  co_return answer(200, wire::report_answer(token(), orders));
}

net::Task<void> Term::keep_time(Self self) {
  double counted_s = 0;
  while (self->alive_) {
    self->push(core::Tick{});
    co_await self->services_.loop.sleep(net::seconds(limits::kHousekeeping));
    counted_s += limits::kHousekeeping;
    if (counted_s < limits::kTick) continue;
    counted_s = 0;
    for (const auto& [offer, use] : self->cluster_.usage_by_offer())
      spdlog::debug(
          "event=fleet type={} zone={} spot={} machines={} booting={} empty={} cpus={:.0f} of={:.0f}",
          std::get<0>(offer), std::get<1>(offer), std::get<2>(offer), use.machines, use.booting, use.empty,
          use.cpus_used, use.cpus);
    const auto count = self->cluster_.count();
    const auto tasks = self->cluster_.placed_tasks();
    spdlog::info("event=tasks unsent={} fetching={} running={}", tasks.unsent, tasks.fetching, tasks.running);
    spdlog::info(
        "event=tick machines={} booting={} overwhelmed={} underwhelmed={} free={} waiting={} jobs={} "
        "stale={:.1f}",
        count.machines, count.booting, count.overwhelmed, count.underwhelmed, count.free, count.waiting_tasks,
        self->cluster_.jobs(), self->staleness());
    spdlog::info("event=pages kept={} saving={} held={}", self->cluster_.pages(), self->saving_,
                 self->held_.size());
  }
}

// ---- Loading and watching ---------------------------------------------------------------------------------

template <class Parse>
void Term::Records::take(const wire::KeyPage& page, const Parse& parse) {
  // A record that can't be read must not end one leader after the other.
  for (const auto& item : page.items) {
    try {
      commands.push_back(parse(item));
    } catch (const wire::Malformed& error) {
      spdlog::error("event=bad_record key={} what=\"{}\"", item.key, error.what());
    }
  }
}

net::Task<bool> Term::load_jobs(std::string prefix, bool lingering, Records& records) {
  store::Result<wire::KeyPage> jobs = co_await services_.state.list(std::move(prefix));
  if (!jobs) co_return false;
  if (!lingering) records.revision = jobs.value.revision;
  records.take(jobs.value, [lingering](const wire::KeyValue& item) {
    return core::JobLoaded{core::parse_job_record(item.value), item.version, lingering};
  });
  co_return true;
}

net::Task<bool> Term::load_pages(Records& records) {
  store::Result<wire::KeyPage> pages = co_await services_.state.list(core::key::kPagePrefix);
  if (!pages) co_return false;
  records.take(pages.value, [](const wire::KeyValue& item) {
    return core::PageLoaded{item.key, core::parse_page(item.value)};
  });
  co_return true;
}

net::Task<bool> Term::load_records(Records& records) {
  // Open jobs first: one that is cancelled in between is then found open, and the watch tells of its end. The
  // other way round it would be in neither list, and its tasks would no longer count.
  const bool open = co_await load_jobs(core::key::kOpenPrefix, false, records);
  if (!open || !alive_) co_return false;
  const bool lingering = co_await load_jobs(core::key::kLingerPrefix, true, records);
  if (!lingering || !alive_) co_return false;
  const bool pages = co_await load_pages(records);
  if (!pages || !alive_) co_return false;
  store::Result<wire::KeyPage> gangs = co_await services_.state.list(core::key::kGangPrefix);
  if (!gangs || !alive_) co_return false;
  records.take(gangs.value, [](const wire::KeyValue& item) {
    return core::GangPartLoaded{item.key, core::parse_gang_part(item.key, item.value)};
  });
  store::Result<wire::KeyPage> rents = co_await services_.state.list(core::key::kRentPrefix);
  if (!rents || !alive_) co_return false;
  store::Result<wire::KeyPage> returns = co_await services_.state.list(core::key::kReturnPrefix);
  if (!returns || !alive_) co_return false;
  records.take(rents.value,
               [](const wire::KeyValue& item) { return core::RentLoaded{wire::parse_rental(item.value)}; });
  records.take(returns.value, [](const wire::KeyValue& item) {
    return core::ReturnLoaded{item.key, wire::parse_machine_names(item.value)};
  });
  co_return true;
}

net::Task<void> Term::load(Self self) {
  // All or nothing: a job of a reading that failed half-way may be cancelled before the next one begins, and
  // neither that reading nor the watch after it would tell.
  Records records;
  bool done = false;
  while (self->alive_ && !done) {
    records = {};
    done = co_await self->load_records(records);
    if (!done) co_await self->services_.loop.sleep(net::seconds(limits::kBackgroundRetry));
  }
  if (!self->alive_) co_return;
  for (auto& command : records.commands) self->push(std::move(command));
  self->watch_from_ = records.revision;
  self->push(core::LoadDone{});
  spdlog::info("event=loaded token={} revision={} records={}", self->token().value, self->watch_from_.value,
               records.commands.size());
  net::spawn(watch(self));
}

void Term::take_record(const std::string& key, const wire::Json& value, Revision version) {
  try {
    push(core::JobSubmitted{core::parse_job_record(value), version});
  } catch (const wire::Malformed& error) {
    spdlog::error("event=bad_record key={} what=\"{}\"", key, error.what());
  }
}

net::Task<void> Term::watch(Self self) {
  auto& state = self->services_.state;
  while (self->alive_) {
    const auto asked_at = self->services_.loop.now();
    store::Result<wire::KeyEvents> events =
        co_await state.watch(core::key::kOpenPrefix, self->watch_from_, self->watch_hold_s());
    if (!self->alive_) co_return;
    if (events.outcome == Outcome::expired) {
      // Too much has happened since: compare with the present keys.
      store::Result<wire::KeyPage> page = co_await state.list(core::key::kOpenPrefix);
      if (!page || !self->alive_) continue;
      std::set<std::string> present;
      for (const auto& item : page.value.items) {
        present.insert(item.key);
        self->take_record(item.key, item.value, item.version);
      }
      for (const auto& id : self->cluster_.open_jobs())
        if (!present.contains(core::key::open(id))) net::spawn(look_up(self, id));
      self->watch_from_ = page.value.revision;
      continue;
    }
    if (!events) {
      co_await self->services_.loop.sleep(net::seconds(limits::kBackgroundRetry));
      continue;
    }
    for (const auto& event : events.value.events) {
      const JobId id(event.key.substr(core::key::kOpenPrefix.size()));
      if (!event.value) {
        self->push(core::JobOffRecord{id});
      } else if (!self->cluster_.job(id)) {
        // Our own saves come back here too; only records of jobs that are new to us are read.
        self->take_record(event.key, *event.value, event.version);
      }
    }
    self->watch_from_ = std::max(self->watch_from_, events.value.revision);
    // Whatever was cancelled before this call was sent is known now.
    self->watched_at_ = asked_at;
  }
}

net::Task<void> Term::read_machines(Self self) {
  while (self->alive_) {
    cloud::Result<std::vector<wire::ListedMachine>> list = co_await self->services_.cloud.machines();
    if (!self->alive_) co_return;
    if (list) self->push(core::MachinesListed{std::move(list.value)});
    co_await self->services_.loop.sleep(net::seconds(limits::kListEvery));
  }
}

// ---- Writing ----------------------------------------------------------------------------------------------

void Term::start_saves() {
  while (saving_ < limits::kSavesInFlight) {
    auto next = cluster_.next_save(now());
    if (!next) return;
    ++saving_;
    net::spawn(save(shared_from_this(), *std::move(next)));
  }
}

net::Task<void> Term::save(Self self, core::Save save) {
  save.transaction.guards.push_back(self->leader_guard());
  const Urgency urgency = save.urgent ? Urgency::high : Urgency::normal;
  while (self->alive_) {
    const auto deadline = self->services_.loop.now() + net::seconds(limits::kBackgroundPatience);
    store::Result<store::Committed> committed =
        co_await self->services_.state.commit(save.transaction, urgency, deadline);
    if (!self->alive_) break;
    if (committed) {
      for (const auto& id : save.finals) self->note_final(id);
      self->push(core::SaveDone{save.number});
      break;
    }
    auto& failed = committed.value.failed_guards;
    if (committed.outcome == Outcome::conflict) {
      if (std::find(failed.begin(), failed.end(), store::kLeaderKey) != failed.end()) {
        self->overtaken();
      } else {
        self->push(core::SaveConflict{save.number, std::move(failed)});
      }
      break;
    }
    if (committed.outcome == Outcome::rejected) {
      spdlog::error("event=save_rejected number={}", save.number);
      self->push(core::SaveRejected{save.number});
      co_await self->services_.loop.sleep(net::seconds(limits::kBackgroundRetry));
      break;
    }
    // Refused, or perhaps applied: the same transaction again, which its guards keep from being applied
    // twice.
    co_await self->services_.loop.sleep(net::seconds(limits::kBackgroundRetry));
  }
  --self->saving_;
  self->work_.ring();
}

void Term::note_final(const JobId& id) {
  const core::Job* job = cluster_.job(id);
  if (!job) return;
  spdlog::debug("event=job_done id={} class={} tasks={} estimate={:.0f} submitted={:.1f} took={:.1f}",
                id.value, job->spec.job_class, job->spec.tasks, job->spec.estimate_s, job->submitted,
                now() - job->submitted);
  if (job->is_gang())
    spdlog::debug("event=gang_done id={} attempts={} machines={} placed_after={:.2f} complete_after={:.2f}",
                  id.value, job->gang.number, job->gang.machines, job->gang.placed_at - job->submitted,
                  job->gang.running_at - job->submitted);
  listener_.on_final(id, {wire::Stage::done, job->done_count, 0});
}

net::Task<void> Term::look_up(Self self, JobId id) {
  auto& services = self->services_;
  while (self->alive_) {
    store::Result<wire::KeyValue> open = co_await services.state.get(
        core::key::open(id), services.loop.now() + net::seconds(limits::kBackgroundPatience));
    if (open) co_return;
    if (open.outcome == Outcome::missing) {
      self->push(core::JobOffRecord{id});
      co_return;
    }
    co_await services.loop.sleep(net::seconds(limits::kBackgroundRetry));
  }
}

net::Task<bool> Term::write_guarded(wire::Transaction transaction, Urgency urgency) {
  transaction.guards.push_back(leader_guard());
  while (alive_) {
    store::Result<store::Committed> committed = co_await services_.state.commit(
        transaction, urgency, services_.loop.now() + net::seconds(limits::kBackgroundPatience));
    if (committed) co_return alive_;
    const auto& failed = committed.value.failed_guards;
    if (committed.outcome == Outcome::conflict) {
      if (std::find(failed.begin(), failed.end(), store::kLeaderKey) != failed.end()) {
        overtaken();
        co_return false;
      }
      // The other guard says that the record exists: an earlier, unanswered call of this loop wrote it.
      co_return alive_;
    }
    co_await services_.loop.sleep(net::seconds(limits::kBackgroundRetry));
  }
  co_return false;
}

net::Task<bool> Term::record(std::string key, wire::Json value, Urgency urgency) {
  wire::Transaction txn;
  txn.guards.push_back({key, Revision(0)});
  txn.puts.push_back({std::move(key), std::move(value), {}});
  const bool written = co_await write_guarded(std::move(txn), urgency);
  co_return written;
}

net::Task<void> Term::carry_out(Self self, core::Rent effect) {
  const std::string key = core::key::kRentPrefix + effect.rental.id.value;
  if (!effect.recorded) {
    // Ahead of what else waits: a day's first rentals stood in line behind its first submissions for 5 s.
    const bool written = co_await self->record(key, wire::to_json(effect.rental), Urgency::high);
    if (!written) co_return;
  }
  bool answered = false;
  while (self->alive_ && !answered) {
    cloud::Result<std::vector<MachineId>> rented = co_await self->services_.cloud.rent(effect.rental);
    spdlog::info("event=rent id={} type={} zone={} spot={} count={} outcome={} got={}",
                 effect.rental.id.value, effect.rental.type, effect.rental.zone, effect.rental.spot,
                 effect.rental.count, static_cast<int>(rented.outcome), rented.value.size());
    answered = rented.outcome != cloud::Outcome::unknown;
    if (rented) {
      self->push(core::RentAnswered{effect.rental.id, std::move(rented.value)});
    } else if (answered) {
      self->push(core::RentRefused{effect.rental.id});
    } else {
      // Under the same name, which rents nothing twice, until the cloud says what came of it.
      co_await self->services_.loop.sleep(net::seconds(limits::kCloudRetry));
    }
  }
  if (!answered) co_return;
  self->discard({key});
}

net::Task<void> Term::carry_out(Self self, core::GiveBack effect) {
  if (!effect.recorded) {
    const bool written =
        co_await self->record(effect.record, wire::machine_names(effect.machines), Urgency::normal);
    if (!written) co_return;
  }
  bool answered = false;
  while (self->alive_ && !answered) {
    const cloud::Outcome outcome = co_await self->services_.cloud.remove(effect.machines);
    spdlog::info("event=give_back record={} machines={} first={} outcome={}", effect.record,
                 effect.machines.size(), effect.machines.empty() ? "" : effect.machines.front().value,
                 static_cast<int>(outcome));
    answered = outcome == cloud::Outcome::ok;
    if (!answered) co_await self->services_.loop.sleep(net::seconds(limits::kCloudRetry));
  }
  if (!answered) co_return;
  self->push(core::MachinesDeleted{effect.record, effect.machines});
  self->discard({effect.record});
}

net::Task<void> Term::carry_out(Self self, core::Discard effect) {
  self->discard(std::move(effect.keys));
  co_return;
}

net::Task<void> Term::carry_out(Self self, core::DirectStop effect) {
  const auto address = net::Address::parse(effect.address);
  if (!address) co_return;
  auto& services = self->services_;
  // Later than this the others no longer wait for it, and the answer to its report tells it to end as well.
  const auto deadline = services.loop.now() + net::seconds(self->config_.gang_peer_s);
  const std::string body = wire::encode(wire::direct_orders(self->token(), effect.session, effect.orders));
  while (self->alive_ && services.loop.now() < deadline) {
    net::CallResult result =
        co_await services.transport.call(*address, "POST", std::string(wire::path::kDirectOrders), body,
                                         net::seconds(limits::kDirectOrderTimeout));
    spdlog::info("event=direct_stop machine={} status={}", effect.machine.value,
                 result.response ? result.response->status : 0);
    if (result.response) co_return;
    co_await services.loop.sleep(net::seconds(limits::kDirectOrderRetry));
  }
}

void Term::discard(std::vector<std::string> keys) {
  std::move(keys.begin(), keys.end(), std::back_inserter(discarded_));
  if (!discarding_) net::spawn(remove_discarded(shared_from_this()));
}

net::Task<void> Term::remove_discarded(Self self) {
  // One transaction at a time: each in line on its own, they once filled the line and had submissions
  // refused.
  self->discarding_ = true;
  while (self->alive_ && !self->discarded_.empty()) {
    const auto count = std::min(self->discarded_.size(), self->config_.txn_ops);
    const auto end = self->discarded_.begin() + static_cast<std::ptrdiff_t>(count);
    wire::Transaction txn;
    txn.removals.assign(self->discarded_.begin(), end);
    self->discarded_.erase(self->discarded_.begin(), end);
    const bool written = co_await self->write_guarded(std::move(txn), Urgency::background);
    if (!written) break;
  }
  self->discarding_ = false;
}

}  // namespace dockdyke::app
