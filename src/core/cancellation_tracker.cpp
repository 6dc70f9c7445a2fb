#include "core/cancellation_tracker.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "constants.hpp"

namespace dockdyke::core {

namespace {

// Adds the number of the job's machines, and which of them has not been heard for the longest time. Looks at
// all tasks of the job.
void describe_machines(const Job& job, Time now, CancellationReport& report) {
  std::set<const Machine*> machines;
  const Machine* longest_unheard = nullptr;
  for (const auto& [index, assignment] : job.assignments) {
    machines.insert(assignment.machine);
    if (!longest_unheard || assignment.machine->last_heartbeat_at < longest_unheard->last_heartbeat_at)
      longest_unheard = assignment.machine;
  }
  report.machines = machines.size();
  if (!longest_unheard) return;
  report.machine = longest_unheard->id;
  report.unheard_s = now - longest_unheard->last_heartbeat_at;
  report.token_acknowledged = longest_unheard->token_acknowledged;
  report.deletion_requested = longest_unheard->scale_in_requested;
}

}  // namespace

CancellationTracker::CancellationTracker(const ClusterState& state) : state_(state) {}

void CancellationTracker::begin(const Job& job, Time now) {
  if (job.assignments.empty()) return;
  const bool added = progress_.try_emplace(job.serial).second;
  if (!added) return;
  reports_.push_back(report(CancellationReport::Kind::known, job, now));
  describe_machines(job, now, reports_.back());
}

void CancellationTracker::stop_sent(const Job& job, const Machine& machine, Time now) {
  const auto found = progress_.find(job.serial);
  if (found == progress_.end()) return;
  ++found->second.stops_sent;
  const bool same_response = !reports_.empty() &&
                             reports_.back().kind == CancellationReport::Kind::stop_sent &&
                             reports_.back().job == job.spec.id && reports_.back().machine == machine.id;
  if (same_response) {
    ++reports_.back().stops_sent;
    return;
  }
  // Once a response: a look at all tasks of the job here would be one a machine of a large fleet.
  CancellationReport sent = report(CancellationReport::Kind::stop_sent, job, now);
  sent.stops_sent = 1;
  sent.machine = machine.id;
  sent.token_acknowledged = machine.token_acknowledged;
  reports_.push_back(std::move(sent));
}

void CancellationTracker::machine_deleted(const Machine& machine) {
  for (const auto& task : machine.assignments) {
    const auto found = progress_.find(task.job->serial);
    if (found != progress_.end()) ++found->second.tasks_deleted;
  }
}

void CancellationTracker::end(const Job& job, Time now) {
  if (!progress_.contains(job.serial)) return;
  reports_.push_back(report(CancellationReport::Kind::ended, job, now));
  progress_.erase(job.serial);
}

void CancellationTracker::report_at_risk(Time now) {
  const double at_risk_s = constants::kCancellationWarningFraction * state_.config().cancellation_timeout_s;
  for (auto& [serial, progress] : progress_) {
    const Job* job = state_.find_job(serial);
    if (!job || progress.reported_at_risk || time_left_s(*job, now) >= at_risk_s) continue;
    progress.reported_at_risk = true;
    reports_.push_back(report(CancellationReport::Kind::at_risk, *job, now));
    describe_machines(*job, now, reports_.back());
  }
}

std::vector<CancellationReport> CancellationTracker::take_reports() {
  return std::exchange(reports_, {});
}

CancellationSummary CancellationTracker::summary(Time now) const {
  CancellationSummary out;
  for (const auto& [serial, progress] : progress_) {
    const Job* job = state_.find_job(serial);
    if (!job) continue;
    const double left_s = time_left_s(*job, now);
    out.least_time_left_s = out.jobs == 0 ? left_s : std::min(out.least_time_left_s, left_s);
    ++out.jobs;
    out.tasks += job->assignments.size();
  }
  return out;
}

double CancellationTracker::time_left_s(const Job& job, Time now) const {
  return state_.config().cancellation_timeout_s - (now - job.cancelled_at);
}

CancellationReport CancellationTracker::report(CancellationReport::Kind kind, const Job& job,
                                               Time now) const {
  CancellationReport out;
  out.kind = kind;
  out.job = job.spec.id;
  out.time_left_s = time_left_s(job, now);
  out.tasks = job.assignments.size();
  const Progress& progress = progress_.at(job.serial);
  out.stops_sent = progress.stops_sent;
  out.tasks_deleted = progress.tasks_deleted;
  return out;
}

}  // namespace dockdyke::core
