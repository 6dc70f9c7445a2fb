#include "core/gang_records.hpp"

#include <algorithm>
#include <utility>

#include "constants.hpp"
#include "core/state_keys.hpp"

namespace dockdyke::core {

GangRecords::GangRecords(ClusterState& state, EffectQueue& effects)
    : state_(state), effects_(effects), max_bytes_(state.config().max_record_bytes()) {}

Job* GangRecords::find_job_of_attempt(const GangAttemptRef& ref) const {
  Job* job = state_.find_job(ref.job_serial);
  return job && job->gang.attempt == ref.attempt ? job : nullptr;
}

void GangRecords::add(Job& job, const std::vector<TaskRecord>& tasks) {
  GangAttempt& gang = job.gang;
  auto parts = split_gang(job.spec.id, gang.attempt, tasks, max_bytes_);
  gang.part_count = static_cast<std::uint32_t>(parts.size());
  for (auto& part : parts) {
    gang.keys.push_back(key::gang_part(part.job, part.attempt, part.part_index));
    pending_parts_.push_back(std::move(part));
  }
}

std::optional<PendingGangPart> GangRecords::next_part() {
  while (!pending_parts_.empty()) {
    const GangPart part = std::move(pending_parts_.front());
    pending_parts_.pop_front();
    const Job* job = state_.find_job(part.job);
    if (!job || job->cancelled || job->gang.aborted || job->gang.attempt != part.attempt) continue;
    PendingGangPart out;
    out.attempt = {job->serial, part.attempt};
    const std::string key = key::gang_part(part.job, part.attempt, part.part_index);
    out.transaction.preconditions.push_back({key, Revision(0)});
    // With this precondition, a delayed duplicate of the write has no effect once the job has ended.
    out.transaction.preconditions.push_back({key::active_job(part.job), job->version});
    out.transaction.puts.push_back({key, to_json(part), {}});
    return out;
  }
  return std::nullopt;
}

void GangRecords::confirm(const GangAttemptRef& ref) {
  Job* job = find_job_of_attempt(ref);
  if (!job || ++job->gang.confirmed_parts < job->gang.part_count) return;
  // All tasks of previous attempts had ended before this attempt began, so their records are obsolete.
  const std::string current_prefix =
      key::kGangPrefix + job->spec.id.value + "/" + std::to_string(ref.attempt) + "/";
  // The keys stay in the job's list: a delayed duplicate of a write may create them again, so they are
  // deleted once more when the job ends.
  std::vector<std::string> previous_keys;
  for (const auto& key : job->gang.keys)
    if (!key.starts_with(current_prefix)) previous_keys.push_back(key);
  if (!previous_keys.empty()) effects_.push(DeleteKeys{std::move(previous_keys)});
}

Job* GangRecords::reject(const GangAttemptRef& ref) {
  max_bytes_ = std::max(constants::kMinSegmentBytes, max_bytes_ / 2);
  return find_job_of_attempt(ref);
}

}  // namespace dockdyke::core
