#include "app/zone_conflict_log.hpp"

#include <spdlog/spdlog.h>

#include <string>
#include <utility>

namespace dockdyke::app {

namespace {

// Returns the number of tasks by zone in the form "a:3,b:1", with "?" for machines whose zone is not known.
std::string format_zones(const std::map<std::string, std::size_t>& assignments_by_zone) {
  std::string out;
  for (const auto& [zone, tasks] : assignments_by_zone) {
    if (!out.empty()) out += ',';
    out += zone.empty() ? "?" : zone;
    out += ':' + std::to_string(tasks);
  }
  return out;
}

}  // namespace

bool ZoneConflictLog::enabled() {
  return spdlog::should_log(spdlog::level::info);
}

void ZoneConflictLog::write(core::ZoneConflictSummary summary) {
  if (summary == last_written_) return;
  last_written_ = std::move(summary);
  spdlog::info("event=zone_conflicts token={} jobs={} job={} zones={} adopted={} waiting={}", token_.value,
               last_written_.jobs, last_written_.job.value, format_zones(last_written_.assignments_by_zone),
               last_written_.adopted, last_written_.waiting);
}

}  // namespace dockdyke::app
