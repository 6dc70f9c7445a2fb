#include "core/gang_records.hpp"

#include <algorithm>
#include <utility>

#include "constants.hpp"
#include "core/state_keys.hpp"

namespace dockdyke::core {

GangRecords::GangRecords(ClusterState& state, EffectQueue& effects)
    : state_(state), effects_(effects), max_bytes_(state.config().max_record_bytes()) {}

Job* GangRecords::job_of(const GangAttemptRef& ref) const {
  Job* job = state_.find_job(ref.job);
  return job && job->gang.attempt == ref.attempt ? job : nullptr;
}

void GangRecords::add(Job& job, const std::vector<TaskRecord>& tasks) {
  GangAttempt& gang = job.gang;
  auto parts = split_gang(job.spec.id, gang.attempt, tasks, max_bytes_);
  gang.parts = static_cast<std::uint32_t>(parts.size());
  for (auto& part : parts) {
    gang.keys.push_back(key::gang_part(part.job, part.attempt, part.part));
    unstored_.push_back(std::move(part));
  }
}

std::optional<UnstoredGangPart> GangRecords::next_part() {
  while (!unstored_.empty()) {
    const GangPart part = std::move(unstored_.front());
    unstored_.pop_front();
    const Job* job = state_.find_job(part.job);
    if (!job || job->cancelled || job->gang.aborted || job->gang.attempt != part.attempt) continue;
    UnstoredGangPart out;
    out.attempt = {job->serial, part.attempt};
    const std::string key = key::gang_part(part.job, part.attempt, part.part);
    out.transaction.preconditions.push_back({key, Revision(0)});
    // A copy that the state service carries out late finds the job over, and leaves nothing behind.
    out.transaction.preconditions.push_back({key::active_job(part.job), job->version});
    out.transaction.puts.push_back({key, to_json(part), {}});
    return out;
  }
  return std::nullopt;
}

void GangRecords::confirm(const GangAttemptRef& ref) {
  Job* job = job_of(ref);
  if (!job || ++job->gang.confirmed < job->gang.parts) return;
  // All tasks of earlier attempts were gone before this one was made.
  const std::string present = key::kGangPrefix + job->spec.id.value + "/" + std::to_string(ref.attempt) + "/";
  // The keys stay in the job's list, since a late copy may bring them back; with the job's end all are
  // deleted.
  std::vector<std::string> earlier;
  for (const auto& key : job->gang.keys)
    if (!key.starts_with(present)) earlier.push_back(key);
  if (!earlier.empty()) effects_.push(DeleteKeys{std::move(earlier)});
}

Job* GangRecords::reject(const GangAttemptRef& ref) {
  max_bytes_ = std::max(constants::kMinSegmentBytes, max_bytes_ / 2);
  return job_of(ref);
}

}  // namespace dockdyke::core
