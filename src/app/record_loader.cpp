#include "app/record_loader.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "core/stored_records.hpp"
#include "store/state_client.hpp"

namespace dockdyke::app {

namespace {

core::Event parse_active_job(const wire::KeyValue& item) {
  return core::JobLoaded{core::parse_job_record(item.value), item.version, false};
}

core::Event parse_terminating_job(const wire::KeyValue& item) {
  return core::JobLoaded{core::parse_job_record(item.value), item.version, true};
}

core::Event parse_segment(const wire::KeyValue& item) {
  return core::SegmentLoaded{item.key, core::parse_segment(item.value)};
}

core::Event parse_gang_part(const wire::KeyValue& item) {
  return core::GangPartLoaded{item.key, core::parse_gang_part(item.key, item.value)};
}

core::Event parse_scale_out(const wire::KeyValue& item) {
  return core::ScaleOutLoaded{wire::parse_scale_out_request(item.value)};
}

core::Event parse_scale_in(const wire::KeyValue& item) {
  return core::ScaleInLoaded{item.key, wire::parse_machine_ids(item.value)};
}

}  // namespace

RecordLoader::RecordLoader(TermContext& context) : context_(context) {}

net::Task<std::optional<LoadedRecords>> RecordLoader::load() {
  for (std::size_t attempt = 1; context_.alive(); ++attempt) {
    std::optional<LoadedRecords> records = co_await try_load();
    if (records) {
      records->attempts = attempt;
      co_return records;
    }
    if (attempt == 1 && context_.alive())
      spdlog::info("event=state_load_failed token={}", context_.token().value);
    co_await context_.retry_delay();
  }
  co_return std::nullopt;
}

net::Task<std::optional<wire::KeyPage>> RecordLoader::list(std::string prefix) {
  store::Result<wire::KeyPage> page = co_await context_.state().list(std::move(prefix));
  if (!page || !context_.alive()) co_return std::nullopt;
  co_return std::move(page.value);
}

void RecordLoader::append_events(const wire::KeyPage& page, const Parser& parse,
                                 std::vector<core::Event>& events) {
  // Skips malformed records; otherwise they would make every new leader fail.
  for (const auto& item : page.items) {
    try {
      events.push_back(parse(item));
    } catch (const wire::ParseError& error) {
      spdlog::error("event=malformed_record key={} error=\"{}\"", item.key, error.what());
    }
  }
}

net::Task<std::optional<LoadedRecords>> RecordLoader::try_load() {
  struct Source {
    const std::string& prefix;
    Parser parse;
  };
  // Active jobs are listed before terminating ones. A job that is cancelled in between is then loaded as
  // active and the watch delivers its cancellation. In the reverse order it would appear in neither list.
  const std::vector<Source> sources{
      {core::key::kActivePrefix, parse_active_job},  {core::key::kTerminatingPrefix, parse_terminating_job},
      {core::key::kSegmentPrefix, parse_segment},    {core::key::kGangPrefix, parse_gang_part},
      {core::key::kScaleOutPrefix, parse_scale_out}, {core::key::kScaleInPrefix, parse_scale_in}};
  LoadedRecords records;
  bool first = true;
  for (const auto& source : sources) {
    std::optional<wire::KeyPage> page = co_await list(source.prefix);
    if (!page) co_return std::nullopt;
    // The watch starts at the revision of the active jobs, the first list, so that no change is missed.
    if (first) records.revision = page->revision;
    first = false;
    append_events(*page, source.parse, records.events);
  }
  co_return records;
}

}  // namespace dockdyke::app
