#include "app/record_watcher.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>
#include <utility>

#include "core/stored_records.hpp"
#include "store/state_client.hpp"

namespace dockdyke::app {

using store::Outcome;

RecordWatcher::RecordWatcher(TermContext& context, const core::LeaderStateMachine& state_machine,
                             ViewFreshness& freshness)
    : context_(context), state_machine_(state_machine), freshness_(freshness) {}

net::Task<void> RecordWatcher::run(Revision after) {
  watched_revision_ = after;
  while (context_.alive()) {
    const auto requested_at = context_.loop().now();
    store::Result<wire::KeyEvents> changes = co_await context_.state().watch(
        core::key::kActivePrefix, watched_revision_, freshness_.watch_timeout_s());
    if (!context_.alive()) co_return;
    if (changes.outcome == Outcome::expired) {
      co_await reconcile();
    } else if (changes) {
      apply_events(changes.value);
      // All cancellations stored before this call was sent are known now.
      freshness_.watch_completed(requested_at);
    } else {
      ++failed_watches_;
      co_await context_.retry_delay();
    }
  }
}

void RecordWatcher::apply_events(const wire::KeyEvents& changes) {
  for (const auto& change : changes.events) {
    const JobId id(change.key.substr(core::key::kActivePrefix.size()));
    if (!change.value) {
      context_.events().push(core::JobRecordDeleted{id});
    } else if (!state_machine_.job(id)) {
      // The watch also returns this leader's own writes, so records of known jobs are skipped.
      push_submission(change.key, *change.value, change.version);
    }
  }
  watched_revision_ = std::max(watched_revision_, changes.revision);
}

net::Task<void> RecordWatcher::reconcile() {
  store::Result<wire::KeyPage> page = co_await context_.state().list(core::key::kActivePrefix);
  if (!page || !context_.alive()) co_return;
  std::set<std::string> present;
  for (const auto& item : page.value.items) {
    present.insert(item.key);
    push_submission(item.key, item.value, item.version);
  }
  for (const auto& id : state_machine_.active_jobs())
    if (!present.contains(core::key::active_job(id))) context_.spawn(confirm_deletion(id));
  watched_revision_ = page.value.revision;
}

net::Task<void> RecordWatcher::confirm_deletion(JobId id) {
  while (context_.alive()) {
    store::Result<wire::KeyValue> record =
        co_await context_.state().get(core::key::active_job(id), context_.background_deadline());
    if (record) co_return;
    if (record.outcome == Outcome::missing) {
      context_.events().push(core::JobRecordDeleted{id});
      co_return;
    }
    co_await context_.retry_delay();
  }
}

void RecordWatcher::push_submission(const std::string& key, const wire::Json& value, Revision version) {
  try {
    context_.events().push(core::JobSubmitted{core::parse_job_record(value), version});
  } catch (const wire::ParseError& error) {
    spdlog::error("event=malformed_record key={} error=\"{}\"", key, error.what());
  }
}

}  // namespace dockdyke::app
