// What a leader reads: all records at its beginning, then changes, and the machine list.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "app/leader_term.hpp"
#include "constants.hpp"

namespace dockdyke::app {

using store::Outcome;
using store::RequestPriority;

// ---- Loading and watching ---------------------------------------------------------------------------------

template <class Parse>
void LeaderTerm::Records::take(const wire::KeyPage& page, const Parse& parse) {
  // A record that can't be read must not end one leader after the other.
  for (const auto& item : page.items) {
    try {
      events.push_back(parse(item));
    } catch (const wire::Malformed& error) {
      spdlog::error("event=bad_record key={} what=\"{}\"", item.key, error.what());
    }
  }
}

net::Task<bool> LeaderTerm::load_jobs(std::string prefix, bool terminating, Records& records) {
  store::Result<wire::KeyPage> jobs = co_await services_.state.list(std::move(prefix));
  if (!jobs) co_return false;
  if (!terminating) records.revision = jobs.value.revision;
  records.take(jobs.value, [terminating](const wire::KeyValue& item) {
    return core::JobLoaded{core::parse_job_record(item.value), item.version, terminating};
  });
  co_return true;
}

net::Task<bool> LeaderTerm::load_pages(Records& records) {
  store::Result<wire::KeyPage> pages = co_await services_.state.list(core::key::kSegmentPrefix);
  if (!pages) co_return false;
  records.take(pages.value, [](const wire::KeyValue& item) {
    return core::SegmentLoaded{item.key, core::parse_segment(item.value)};
  });
  co_return true;
}

net::Task<bool> LeaderTerm::load_records(Records& records) {
  // Open jobs first: one that is cancelled in between is then found open, and the watch tells of its end. The
  // other way round it would be in neither list, and its tasks would no longer count.
  const bool open = co_await load_jobs(core::key::kActivePrefix, false, records);
  if (!open || !alive_) co_return false;
  const bool terminating = co_await load_jobs(core::key::kTerminatingPrefix, true, records);
  if (!terminating || !alive_) co_return false;
  const bool pages = co_await load_pages(records);
  if (!pages || !alive_) co_return false;
  store::Result<wire::KeyPage> gangs = co_await services_.state.list(core::key::kGangPrefix);
  if (!gangs || !alive_) co_return false;
  records.take(gangs.value, [](const wire::KeyValue& item) {
    return core::GangPartLoaded{item.key, core::parse_gang_part(item.key, item.value)};
  });
  store::Result<wire::KeyPage> rents = co_await services_.state.list(core::key::kScaleOutPrefix);
  if (!rents || !alive_) co_return false;
  store::Result<wire::KeyPage> returns = co_await services_.state.list(core::key::kScaleInPrefix);
  if (!returns || !alive_) co_return false;
  records.take(rents.value, [](const wire::KeyValue& item) {
    return core::ScaleOutLoaded{wire::parse_scale_out_request(item.value)};
  });
  records.take(returns.value, [](const wire::KeyValue& item) {
    return core::ScaleInLoaded{item.key, wire::parse_machine_names(item.value)};
  });
  co_return true;
}

net::Task<void> LeaderTerm::load(Self self) {
  // All or nothing: a job of a reading that failed half-way may be cancelled before the next one begins, and
  // neither that reading nor the watch after it would tell.
  Records records;
  bool done = false;
  while (self->alive_ && !done) {
    records = {};
    done = co_await self->load_records(records);
    if (!done) co_await self->services_.loop.sleep(net::seconds(constants::kBackgroundRetryInterval));
  }
  if (!self->alive_) co_return;
  for (auto& event : records.events) self->push(std::move(event));
  self->watch_from_ = records.revision;
  self->push(core::LoadCompleted{});
  spdlog::info("event=loaded token={} revision={} records={}", self->token().value, self->watch_from_.value,
               records.events.size());
  net::spawn(watch(self));
}

void LeaderTerm::submit_record(const std::string& key, const wire::Json& value, Revision version) {
  try {
    push(core::JobSubmitted{core::parse_job_record(value), version});
  } catch (const wire::Malformed& error) {
    spdlog::error("event=bad_record key={} what=\"{}\"", key, error.what());
  }
}

net::Task<void> LeaderTerm::watch(Self self) {
  auto& state = self->services_.state;
  while (self->alive_) {
    const auto asked_at = self->services_.loop.now();
    store::Result<wire::KeyEvents> events =
        co_await state.watch(core::key::kActivePrefix, self->watch_from_, self->watch_timeout_s());
    if (!self->alive_) co_return;
    if (events.outcome == Outcome::expired) {
      // Too much has happened since: compare with the present keys.
      store::Result<wire::KeyPage> page = co_await state.list(core::key::kActivePrefix);
      if (!page || !self->alive_) continue;
      std::set<std::string> present;
      for (const auto& item : page.value.items) {
        present.insert(item.key);
        self->submit_record(item.key, item.value, item.version);
      }
      for (const auto& id : self->cluster_.active_jobs())
        if (!present.contains(core::key::active_job(id))) net::spawn(confirm_removal(self, id));
      self->watch_from_ = page.value.revision;
      continue;
    }
    if (!events) {
      co_await self->services_.loop.sleep(net::seconds(constants::kBackgroundRetryInterval));
      continue;
    }
    for (const auto& event : events.value.events) {
      const JobId id(event.key.substr(core::key::kActivePrefix.size()));
      if (!event.value) {
        self->push(core::JobRecordRemoved{id});
      } else if (!self->cluster_.job(id)) {
        // Our own saves come back here too; only records of jobs that are new to us are read.
        self->submit_record(event.key, *event.value, event.version);
      }
    }
    self->watch_from_ = std::max(self->watch_from_, events.value.revision);
    // Whatever was cancelled before this call was sent is known now.
    self->watched_at_ = asked_at;
  }
}

net::Task<void> LeaderTerm::refresh_machine_list(Self self) {
  while (self->alive_) {
    cloud::Result<std::vector<wire::ListedMachine>> list = co_await self->services_.cloud.machines();
    if (!self->alive_) co_return;
    if (list) self->push(core::MachinesListed{std::move(list.value)});
    co_await self->services_.loop.sleep(net::seconds(constants::kMachineListInterval));
  }
}

}  // namespace dockdyke::app
