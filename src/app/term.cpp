#include "app/term.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
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

// The number at the end of "part/<job>/<number>".
std::uint32_t part_number(const std::string& key) {
  return static_cast<std::uint32_t>(std::stoul(key.substr(key.rfind('/') + 1)));
}

}  // namespace

Term::Term(Services services, const core::Config& config, store::Leadership leadership,
           net::TimePoint asked_at, std::function<void()> on_overtaken)
    : services_(services),
      config_(config),
      cluster_(config, leadership.token, seconds_of(services.loop.now()), time_of_day_ms()),
      on_overtaken_(std::move(on_overtaken)),
      work_(services.loop),
      renewed_at_(asked_at),
      watched_at_(asked_at) {}

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
  on_overtaken_();
}

void Term::push(Command command) {
  commands_.push_back(std::move(command));
  work_.ring();
}

// ---- The owner of all state -------------------------------------------------------------------------------

net::Task<void> Term::own(Self self) {
  while (self->alive_) {
    co_await self->work_.wait_for(net::seconds(limits::kHousekeeping));
    if (!self->alive_) break;
    auto commands = std::exchange(self->commands_, {});
    auto reports = std::exchange(self->reports_, {});
    const auto now = self->now();
    auto& cluster = self->cluster_;
    for (const auto& command : commands) cluster.apply(command, now);
    for (const auto& waiting : reports) {
      const auto fate = cluster.take_report(waiting.report, now);
      waiting.fate.set(fate);
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
    for (const auto& waiting : std::exchange(self->waiting_for_saves_, {})) waiting.set(true);
  }
  for (const auto& waiting : std::exchange(self->waiting_for_saves_, {})) waiting.set(true);
}

net::Task<HttpResponse> Term::report(wire::Report report) {
  const Self self = shared_from_this();
  auto& loop = services_.loop;
  // A leader cut off from the store must not keep alive for long what others may have cancelled meanwhile.
  if (staleness() >= patience_s() || reports_.size() >= limits::kReportQueue) co_return come_back();
  const MachineId machine = report.machine;
  const net::OneShot<core::ReportFate> fate(loop);
  reports_.push_back({std::move(report), fate});
  work_.ring();
  const std::optional<core::ReportFate> decided = co_await fate.wait_until(loop.now() + net::seconds(1));
  if (!alive_ || decided != core::ReportFate::taken) co_return come_back();
  const auto deadline = loop.now() + net::seconds(limits::kAnswerWait);
  while (alive_ && loop.now() < deadline && cluster_.answer_waits_for_save(machine)) {
    const net::OneShot<bool> saved(loop);
    waiting_for_saves_.push_back(saved);
    co_await saved.wait_until(deadline);
  }
  if (!alive_) co_return come_back();
  const auto orders =
      cluster_.orders_for(machine, staleness() < limits::kFreshForStarts * watch_hold_s(), now());
  cluster_.answered(machine, now());
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
    spdlog::info(
        "event=tick machines={} booting={} overwhelmed={} underwhelmed={} free={} waiting={} jobs={} "
        "stale={:.1f}",
        count.machines, count.booting, count.overwhelmed, count.underwhelmed, count.free, count.waiting_tasks,
        self->cluster_.jobs(), self->staleness());
  }
}

// ---- Loading and watching ---------------------------------------------------------------------------------

net::Task<bool> Term::load_jobs(const std::string& prefix, bool lingering, Revision* revision) {
  store::Result<wire::KeyPage> jobs = co_await services_.state.list(prefix);
  if (!jobs) co_return false;
  if (revision) *revision = jobs.value.revision;
  for (const auto& item : jobs.value.items) {
    core::JobLoaded loaded;
    loaded.lingering = lingering;
    loaded.version = item.version;
    try {
      loaded.record = core::parse_job_record(item.value);
      if (loaded.record.parts() > 1) {
        store::Result<wire::KeyPage> parts =
            co_await services_.state.list(core::key::part_prefix(loaded.record.spec.id));
        if (!parts) co_return false;
        for (const auto& part : parts.value.items)
          loaded.parts.emplace_back(part_number(part.key), core::parse_part(part.value));
      }
    } catch (const std::exception& error) {
      spdlog::error("event=bad_record key={} what=\"{}\"", item.key, error.what());
      continue;
    }
    push(std::move(loaded));
  }
  co_return true;
}

net::Task<bool> Term::load_once() {
  // Lingering ones first: a job cancelled in between is then found open, and the watch tells of its end.
  const bool lingering = co_await load_jobs(core::key::kLingerPrefix, true, nullptr);
  if (!lingering || !alive_) co_return false;
  const bool open = co_await load_jobs(core::key::kOpenPrefix, false, &watch_from_);
  if (!open || !alive_) co_return false;
  store::Result<wire::KeyPage> rents = co_await services_.state.list(core::key::kRentPrefix);
  if (!rents || !alive_) co_return false;
  store::Result<wire::KeyPage> returns = co_await services_.state.list(core::key::kReturnPrefix);
  if (!returns || !alive_) co_return false;
  for (const auto& item : rents.value.items) push(core::RentLoaded{wire::parse_rental(item.value)});
  for (const auto& item : returns.value.items)
    push(core::ReturnLoaded{item.key, wire::parse_machine_names(item.value)});
  co_return true;
}

net::Task<void> Term::load(Self self) {
  bool done = false;
  while (self->alive_ && !done) {
    done = co_await self->load_once();
    if (!done) co_await self->services_.loop.sleep(net::seconds(limits::kBackgroundRetry));
  }
  if (!self->alive_) co_return;
  self->push(core::LoadDone{});
  spdlog::info("event=loaded token={} revision={}", self->token().value, self->watch_from_.value);
  net::spawn(watch(self));
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
        self->push(core::JobSubmitted{core::parse_job_record(item.value), item.version});
      }
      for (const auto& id : self->cluster_.open_jobs())
        if (!present.contains(core::key::open(id))) net::spawn(reread(self, id, 0));
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
        try {
          self->push(core::JobSubmitted{core::parse_job_record(*event.value), event.version});
        } catch (const wire::Malformed& error) {
          spdlog::error("event=bad_record key={} what=\"{}\"", event.key, error.what());
        }
      }
    }
    self->watch_from_ = std::max(self->watch_from_, events.value.revision);
    // Whatever was cancelled before this call was sent is known now.
    self->watched_at_ = asked_at;
  }
}

net::Task<void> Term::read_machines(Self self) {
  while (self->alive_) {
    const auto asked_at = self->now();
    cloud::Result<std::vector<wire::ListedMachine>> list = co_await self->services_.cloud.machines();
    if (!self->alive_) co_return;
    if (list) self->push(core::MachinesListed{std::move(list.value), asked_at});
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
  const auto deadline = self->services_.loop.now() + net::seconds(limits::kBackgroundPatience);
  store::Result<store::Committed> committed = co_await self->services_.state.commit(
      std::move(save.transaction), save.final ? Urgency::high : Urgency::normal, deadline);
  if (self->alive_) {
    const auto& failed = committed.value.failed_guards;
    if (committed) {
      if (const core::Job* job = self->cluster_.job(save.id); job && save.final)
        spdlog::debug("event=job_done id={} class={} tasks={} estimate={:.0f} submitted={:.1f} took={:.1f}",
                      save.id.value, job->spec.job_class, job->spec.tasks, job->spec.estimate_s,
                      job->submitted, self->now() - job->submitted);
      self->push(core::SaveDone{save.id, save.number, committed.value.revision});
    } else if (committed.outcome == Outcome::conflict &&
               std::find(failed.begin(), failed.end(), store::kLeaderKey) != failed.end()) {
      self->overtaken();
    } else if (committed.outcome == Outcome::refused) {
      co_await self->services_.loop.sleep(net::seconds(limits::kBackgroundRetry));
      self->push(core::SaveUndone{save.id, save.number, std::nullopt});
    } else {
      if (committed.outcome == Outcome::rejected) {
        spdlog::error("event=save_rejected job={}", save.id.value);
        co_await self->services_.loop.sleep(net::seconds(limits::kBackgroundRetry));
      }
      co_await reread(self, save.id, save.number);
    }
  }
  --self->saving_;
  self->work_.ring();
}

net::Task<void> Term::reread(Self self, JobId id, std::uint64_t save) {
  auto& services = self->services_;
  while (self->alive_) {
    store::Result<wire::KeyValue> open = co_await services.state.get(
        core::key::open(id), services.loop.now() + net::seconds(limits::kBackgroundPatience));
    if (!self->alive_) co_return;
    if (open) {
      self->push(core::SaveUndone{id, save, open.value.version});
      co_return;
    }
    if (open.outcome == Outcome::missing) {
      self->push(core::SaveUndone{id, save, std::nullopt});
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

net::Task<bool> Term::record(const std::string& key, const wire::Json& value) {
  wire::Transaction txn;
  txn.guards.push_back({key, Revision(0)});
  txn.puts.push_back({key, value, {}});
  const bool written = co_await write_guarded(std::move(txn), Urgency::normal);
  co_return written;
}

net::Task<void> Term::carry_out(Self self, core::Rent effect) {
  const std::string key = core::key::kRentPrefix + effect.rental.id.value;
  if (!effect.recorded) {
    const bool written = co_await self->record(key, wire::to_json(effect.rental));
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
  core::Discard record;
  record.keys.push_back(key);
  co_await carry_out(self, std::move(record));
}

net::Task<void> Term::carry_out(Self self, core::GiveBack effect) {
  if (!effect.recorded) {
    const bool written = co_await self->record(effect.record, wire::machine_names(effect.machines));
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
  core::Discard record;
  record.keys.push_back(effect.record);
  co_await carry_out(self, std::move(record));
}

net::Task<void> Term::carry_out(Self self, core::Discard effect) {
  for (std::size_t first = 0; first < effect.keys.size(); first += self->config_.txn_ops) {
    wire::Transaction txn;
    const auto end = std::min(effect.keys.size(), first + self->config_.txn_ops);
    txn.removals.assign(effect.keys.begin() + static_cast<std::ptrdiff_t>(first),
                        effect.keys.begin() + static_cast<std::ptrdiff_t>(end));
    const bool written = co_await self->write_guarded(std::move(txn), Urgency::background);
    if (!written) co_return;
  }
}

}  // namespace dockdyke::app
