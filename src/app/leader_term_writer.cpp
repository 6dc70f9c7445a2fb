// What a leader writes to the state service, and the calls to cloud and workers that follow.
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

// ---- Writing ----------------------------------------------------------------------------------------------

void LeaderTerm::start_writes() {
  while (writes_in_flight_ < constants::kMaxWritesInFlight) {
    auto next = cluster_.next_write(now());
    if (!next) return;
    ++writes_in_flight_;
    net::spawn(save(shared_from_this(), *std::move(next)));
  }
}

net::Task<void> LeaderTerm::save(Self self, core::StateWrite save) {
  save.transaction.preconditions.push_back(self->leader_precondition());
  const RequestPriority urgency = save.urgent ? RequestPriority::high : RequestPriority::normal;
  while (self->alive_) {
    const auto deadline = self->services_.loop.now() + net::seconds(constants::kBackgroundCallTimeout);
    store::Result<store::Committed> committed =
        co_await self->services_.state.commit(save.transaction, urgency, deadline);
    if (!self->alive_) break;
    if (committed) {
      for (const auto& id : save.finals) self->report_completion(id);
      self->push(core::WriteApplied{save.number});
      break;
    }
    auto& failed = committed.value.failed_preconditions;
    if (committed.outcome == Outcome::conflict) {
      if (std::find(failed.begin(), failed.end(), store::kLeaderKey) != failed.end()) {
        self->superseded();
      } else {
        self->push(core::WriteConflicted{save.number, std::move(failed)});
      }
      break;
    }
    if (committed.outcome == Outcome::rejected) {
      spdlog::error("event=save_rejected number={}", save.number);
      self->push(core::WriteRejected{save.number});
      co_await self->services_.loop.sleep(net::seconds(constants::kBackgroundRetryInterval));
      break;
    }
    // Refused, or perhaps applied: the same transaction again, which its guards keep from being applied
    // twice.
    co_await self->services_.loop.sleep(net::seconds(constants::kBackgroundRetryInterval));
  }
  --self->writes_in_flight_;
  self->work_.ring();
}

void LeaderTerm::report_completion(const JobId& id) {
  const core::Job* job = cluster_.job(id);
  if (!job) return;
  spdlog::debug("event=job_done id={} class={} tasks={} estimate={:.0f} submitted={:.1f} took={:.1f}",
                id.value, job->spec.job_class, job->spec.task_count, job->spec.estimated_run_s,
                job->submitted, now() - job->submitted);
  if (job->is_gang())
    spdlog::debug("event=gang_done id={} attempts={} machines={} placed_after={:.2f} complete_after={:.2f}",
                  id.value, job->gang.attempt, job->gang.machine_count,
                  job->gang.assigned_at - job->submitted, job->gang.started_at - job->submitted);
  listener_.on_job_completed(id, {wire::JobState::done, job->done_count, 0});
}

net::Task<void> LeaderTerm::confirm_removal(Self self, JobId id) {
  auto& services = self->services_;
  while (self->alive_) {
    store::Result<wire::KeyValue> open = co_await services.state.get(
        core::key::active_job(id), services.loop.now() + net::seconds(constants::kBackgroundCallTimeout));
    if (open) co_return;
    if (open.outcome == Outcome::missing) {
      self->push(core::JobRecordRemoved{id});
      co_return;
    }
    co_await services.loop.sleep(net::seconds(constants::kBackgroundRetryInterval));
  }
}

net::Task<bool> LeaderTerm::write_guarded(wire::Transaction transaction, RequestPriority urgency) {
  transaction.preconditions.push_back(leader_precondition());
  while (alive_) {
    store::Result<store::Committed> committed = co_await services_.state.commit(
        transaction, urgency, services_.loop.now() + net::seconds(constants::kBackgroundCallTimeout));
    if (committed) co_return alive_;
    const auto& failed = committed.value.failed_preconditions;
    if (committed.outcome == Outcome::conflict) {
      if (std::find(failed.begin(), failed.end(), store::kLeaderKey) != failed.end()) {
        superseded();
        co_return false;
      }
      // The other guard says that the record exists: an earlier, unanswered call of this loop wrote it.
      co_return alive_;
    }
    co_await services_.loop.sleep(net::seconds(constants::kBackgroundRetryInterval));
  }
  co_return false;
}

net::Task<bool> LeaderTerm::record(std::string key, wire::Json value, RequestPriority urgency) {
  wire::Transaction txn;
  txn.preconditions.push_back({key, Revision(0)});
  txn.puts.push_back({std::move(key), std::move(value), {}});
  const bool written = co_await write_guarded(std::move(txn), urgency);
  co_return written;
}

net::Task<void> LeaderTerm::execute(Self self, core::RequestScaleOut effect) {
  const std::string key = core::key::kScaleOutPrefix + effect.rental.id.value;
  if (!effect.recorded) {
    // Ahead of what else waits: a day's first rentals stood in line behind its first submissions for 5 s.
    const bool written = co_await self->record(key, wire::to_json(effect.rental), RequestPriority::high);
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
      self->push(core::ScaleOutGranted{effect.rental.id, std::move(rented.value)});
    } else if (answered) {
      self->push(core::ScaleOutRefused{effect.rental.id});
    } else {
      // Under the same name, which rents nothing twice, until the cloud says what came of it.
      co_await self->services_.loop.sleep(net::seconds(constants::kCloudRetryInterval));
    }
  }
  if (!answered) co_return;
  self->delete_later({key});
}

net::Task<void> LeaderTerm::execute(Self self, core::RequestScaleIn effect) {
  if (!effect.recorded) {
    const bool written =
        co_await self->record(effect.record, wire::machine_names(effect.machines), RequestPriority::normal);
    if (!written) co_return;
  }
  bool answered = false;
  while (self->alive_ && !answered) {
    const cloud::Outcome outcome = co_await self->services_.cloud.remove(effect.machines);
    spdlog::info("event=give_back record={} machines={} first={} outcome={}", effect.record,
                 effect.machines.size(), effect.machines.empty() ? "" : effect.machines.front().value,
                 static_cast<int>(outcome));
    answered = outcome == cloud::Outcome::ok;
    if (!answered) co_await self->services_.loop.sleep(net::seconds(constants::kCloudRetryInterval));
  }
  if (!answered) co_return;
  self->push(core::MachinesDeleted{effect.record, effect.machines});
  self->delete_later({effect.record});
}

net::Task<void> LeaderTerm::execute(Self self, core::DeleteKeys effect) {
  self->delete_later(std::move(effect.keys));
  co_return;
}

net::Task<void> LeaderTerm::execute(Self self, core::SendStopCommands effect) {
  const auto address = net::Address::parse(effect.address);
  if (!address) co_return;
  auto& services = self->services_;
  // Later than this the others no longer wait for it, and the answer to its report tells it to end as well.
  const auto deadline = services.loop.now() + net::seconds(self->config_.gang_peer_timeout_s);
  const std::string body =
      wire::encode(wire::direct_commands(self->token(), effect.incarnation, effect.commands));
  while (self->alive_ && services.loop.now() < deadline) {
    net::CallResult result =
        co_await services.transport.call(*address, "POST", std::string(wire::path::kDirectCommands), body,
                                         net::seconds(constants::kDirectCommandTimeout));
    spdlog::info("event=direct_stop machine={} status={}", effect.machine.value,
                 result.response ? result.response->status : 0);
    if (result.response) co_return;
    co_await services.loop.sleep(net::seconds(constants::kDirectCommandRetryInterval));
  }
}

void LeaderTerm::delete_later(std::vector<std::string> keys) {
  std::move(keys.begin(), keys.end(), std::back_inserter(obsolete_keys_));
  if (!deleting_) net::spawn(delete_obsolete_keys(shared_from_this()));
}

net::Task<void> LeaderTerm::delete_obsolete_keys(Self self) {
  // One transaction at a time: each in line on its own, they once filled the line and had submissions
  // refused.
  self->deleting_ = true;
  while (self->alive_ && !self->obsolete_keys_.empty()) {
    const auto count = std::min(self->obsolete_keys_.size(), self->config_.max_transaction_changes);
    const auto end = self->obsolete_keys_.begin() + static_cast<std::ptrdiff_t>(count);
    wire::Transaction txn;
    txn.deletions.assign(self->obsolete_keys_.begin(), end);
    self->obsolete_keys_.erase(self->obsolete_keys_.begin(), end);
    const bool written = co_await self->write_guarded(std::move(txn), RequestPriority::background);
    if (!written) break;
  }
  self->deleting_ = false;
}

}  // namespace dockdyke::app
