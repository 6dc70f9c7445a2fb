#include "core/cancellation_tracker.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "constants.hpp"

namespace dockdyke::core {

namespace {

// Adds the number of machines that hold the job's tasks and the details of the one whose last heartbeat is
// the oldest. Iterates over all assignments of the job.
void add_machine_details(const Job& job, Time now, CancellationReport& report) {
  std::set<const Machine*> machines;
  const Machine* longest_unresponsive = nullptr;
  for (const auto& [index, assignment] : job.assignments) {
    machines.insert(assignment.machine);
    if (!longest_unresponsive ||
        assignment.machine->last_heartbeat_at < longest_unresponsive->last_heartbeat_at)
      longest_unresponsive = assignment.machine;
  }
  report.machines = machines.size();
  if (!longest_unresponsive) return;
  report.machine = longest_unresponsive->id;
  report.time_since_heartbeat_s = now - longest_unresponsive->last_heartbeat_at;
  report.token_acknowledged = longest_unresponsive->token_acknowledged;
  report.deletion_requested = longest_unresponsive->scale_in_requested;
}

}  // namespace

CancellationTracker::CancellationTracker(const ClusterState& state) : state_(state) {}

void CancellationTracker::start_tracking(const Job& job, Time now) {
  if (job.assignments.empty()) return;
  const bool added = progress_.try_emplace(job.serial).second;
  if (!added) return;
  reports_.push_back(make_report(CancellationReport::Kind::known, job, now));
  add_machine_details(job, now, reports_.back());
}

void CancellationTracker::record_stop_sent(const Job& job, const Machine& machine, Time now) {
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
  // No `add_machine_details` here: it iterates over all tasks of the job, and this runs once per machine.
  CancellationReport sent = make_report(CancellationReport::Kind::stop_sent, job, now);
  sent.stops_sent = 1;
  sent.machine = machine.id;
  sent.token_acknowledged = machine.token_acknowledged;
  reports_.push_back(std::move(sent));
}

void CancellationTracker::record_machine_deleted(const Machine& machine) {
  for (const auto& task : machine.assignments) {
    const auto found = progress_.find(task.job->serial);
    if (found != progress_.end()) ++found->second.tasks_deleted;
  }
}

void CancellationTracker::finish_tracking(const Job& job, Time now) {
  if (!progress_.contains(job.serial)) return;
  reports_.push_back(make_report(CancellationReport::Kind::ended, job, now));
  progress_.erase(job.serial);
}

void CancellationTracker::report_at_risk(Time now) {
  const double at_risk_threshold_s =
      constants::kCancellationWarningFraction * state_.config().cancellation_timeout_s;
  for (auto& [serial, progress] : progress_) {
    const Job* job = state_.find_job(serial);
    if (!job || progress.reported_at_risk ||
        state_.cancellation_time_left_s(*job, now) >= at_risk_threshold_s)
      continue;
    progress.reported_at_risk = true;
    reports_.push_back(make_report(CancellationReport::Kind::at_risk, *job, now));
    add_machine_details(*job, now, reports_.back());
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
    const double left_s = state_.cancellation_time_left_s(*job, now);
    out.least_time_left_s = out.jobs == 0 ? left_s : std::min(out.least_time_left_s, left_s);
    ++out.jobs;
    out.tasks += job->assignments.size();
  }
  return out;
}

CancellationReport CancellationTracker::make_report(CancellationReport::Kind kind, const Job& job,
                                                    Time now) const {
  CancellationReport out;
  out.kind = kind;
  out.job = job.spec.id;
  out.time_left_s = state_.cancellation_time_left_s(job, now);
  out.tasks = job.assignments.size();
  const Progress& progress = progress_.at(job.serial);
  out.stops_sent = progress.stops_sent;
  out.tasks_deleted = progress.tasks_deleted;
  return out;
}

}  // namespace dockdyke::core
