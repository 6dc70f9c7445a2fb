// The pure state machine behind a leader: commands and the time go in, effects come out. It does no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/estimates.hpp"
#include "core/model.hpp"

namespace dockdyke::core {

// ---- Commands ---------------------------------------------------------------------------------------------

struct JobLoaded {
  JobRecord record;
  Revision version;
  std::vector<std::pair<std::uint32_t, std::vector<TaskRecord>>> parts;  // beyond the first
  bool lingering = false;
};
struct RentLoaded {
  wire::Rental rental;
};
struct ReturnLoaded {
  std::string record;
  std::vector<MachineId> machines;
};
struct LoadDone {};
struct JobSubmitted {
  JobRecord record;
  Revision version;
};
// The job's open record is gone: it was cancelled, or our own final transaction was applied.
struct JobOffRecord {
  JobId id;
};
struct SaveDone {
  JobId id;
  std::uint64_t save;
  Revision version;
};
// The save was not applied, or its outcome is unknown; the record was read again at this version.
struct SaveUndone {
  JobId id;
  std::uint64_t save;
  std::optional<Revision> version;
};
struct MachinesListed {
  std::vector<wire::ListedMachine> machines;
  Time asked_at;
};
struct RentAnswered {
  RentId id;
  std::vector<MachineId> machines;
};
struct RentRefused {
  RentId id;
};
struct MachinesDeleted {
  std::string record;
  std::vector<MachineId> machines;
};
struct TypesChanged {
  std::vector<wire::MachineType> types;
};
struct Tick {};

using Command =
    std::variant<JobLoaded, RentLoaded, ReturnLoaded, LoadDone, JobSubmitted, JobOffRecord, SaveDone,
                 SaveUndone, MachinesListed, RentAnswered, RentRefused, MachinesDeleted, TypesChanged, Tick>;

// ---- Effects ----------------------------------------------------------------------------------------------

struct Save {
  JobId id;
  std::uint64_t number = 0;
  bool final = false;
  wire::Transaction transaction;  // without the leader's guard
};
// To be recorded, then asked of the cloud until it answers.
struct Rent {
  wire::Rental rental;
  bool recorded = false;
};
struct GiveBack {
  std::string record;
  std::vector<MachineId> machines;
  bool recorded = false;
};
// Keys nobody needs any more.
struct Discard {
  std::vector<std::string> keys;
};

using Effect = std::variant<Rent, GiveBack, Discard>;

// What became of a report.
enum class ReportFate { taken, stale, overtaken };

// Counts of the last tick, for the log.
struct FleetCount {
  std::size_t machines = 0;
  std::size_t booting = 0;
  std::size_t overwhelmed = 0;
  std::size_t underwhelmed = 0;
  std::size_t free = 0;
  std::size_t waiting_tasks = 0;
};

// How the machines of one type, zone and kind are used.
struct OfferUse {
  std::size_t machines = 0;
  std::size_t booting = 0;
  std::size_t empty = 0;
  double cpus = 0;
  double cpus_used = 0;
};

class Cluster {
 public:
  Cluster(Config config, Token token, Time now, std::int64_t time_of_day_ms);

  void apply(const Command& command, Time now);
  ReportFate take_report(const wire::Report& report, Time now);
  // The orders for the answer to the machine's last report. Marks starts as sent.
  // Without `allow_starts` (the leader's view may be stale) only tasks already there are dealt with.
  std::vector<wire::Order> orders_for(const MachineId& machine, bool allow_starts, Time now);
  // Gives waiting tasks their places; to be called after a batch of commands and reports.
  void place(Time now);

  // The next job whose record must be written, finals first; nothing when all are saved or being saved.
  std::optional<Save> next_save(Time now);
  std::vector<Effect> take_effects();
  // True when an answer to the machine should wait for a save in progress.
  bool answer_waits_for_save(const MachineId& machine) const;
  // The answer to the machine's last report went out.
  void answered(const MachineId& machine, Time now);

  Token token() const { return token_; }
  bool loaded() const { return loaded_; }
  FleetCount count() const { return count_; }
  std::map<Offer, OfferUse> usage_by_offer() const;

  // Views for tests and logs.
  const Job* job(const JobId& id) const;
  const Machine* machine(const MachineId& id) const;
  std::size_t fleet() const { return machines_.size(); }
  std::size_t jobs() const { return jobs_.size(); }
  // Jobs that should have an open record.
  std::vector<JobId> open_jobs() const;
  wire::Resources team_usage(const std::string& team) const;

 private:
  // cluster.cpp: records, reports and proofs
  void on(const JobLoaded& command, Time now);
  void on(const RentLoaded& command, Time now);
  void on(const ReturnLoaded& command, Time now);
  void on(const LoadDone& command, Time now);
  void on(const JobSubmitted& command, Time now);
  void on(const JobOffRecord& command, Time now);
  void on(const SaveDone& command, Time now);
  void on(const SaveUndone& command, Time now);
  void on(const MachinesListed& command, Time now);
  void on(const RentAnswered& command, Time now);
  void on(const RentRefused& command, Time now);
  void on(const MachinesDeleted& command, Time now);
  void on(const TypesChanged& command, Time now);
  void on(const Tick& command, Time now);

  Job& add_job(const JobRecord& record, Revision version, Time now);
  Machine& machine_named(const MachineId& id, Time now);
  void restore_task(Job& job, TaskIndex index, const TaskRecord& task, Time now);
  void put_placement(Job& job, TaskIndex index, Placement placement);
  // The task is proved to be off its machine (or was never sent): its place is free again.
  void release(Job& job, TaskIndex index, Time now);
  void release_all(Machine& machine, Time now);
  void task_exited(Job& job, TaskIndex index, Machine& machine, const wire::ReportedTask& task, Time now);
  void task_failed(Job& job, Machine& machine, Time now);
  void judge_machines(Time now);
  void stop(Placement& placement, double grace_s);
  void withdraw_unsent(Machine& machine, Time now);
  bool silent(const Machine& machine, Time now) const;
  void touch(Job& job, TaskIndex index);
  bool durable(const Job& job, const Placement& placement, TaskIndex index) const;
  void drop_if_gone(const JobId& id);
  void machine_gone(const MachineId& id, Time now);
  void note_image(Machine& machine, const Job& job);
  void expire_leases(Time now);
  void stop_for_notices(Machine& machine, Time now);

  // placement.cpp
  struct Ranked {
    Job* job;
    bool guaranteed = false;  // within its team's guarantee
    // Which of its objectives it is meant to reach; one past the last when none can be reached any more.
    std::size_t goal = 0;
    double due = 0;   // when that objective wants it done
    double work = 0;  // CPU seconds still to be started
  };
  using Ranking = std::vector<Ranked>;
  // Orders jobs of one priority so that as many as possible are in time on `cpus`, of which `busy_s` are
  // spoken for by more important work. Returns the seconds spoken for after them.
  double order_by_goals(Ranking::iterator first, Ranking::iterator last, double cpus, double busy_s,
                        Time now) const;
  void aim(Ranked& ranked, std::size_t goal, Time now) const;
  Ranking ranked_jobs(Time now);
  bool allowed_on(const Job& job, const std::string& type, const std::string& zone, bool spot) const;
  bool accepts(const Machine& machine, Time now) const;
  // How many of the job's tasks may yet start in each zone, given where its others are now.
  std::map<std::string, std::size_t> zone_room(const Job& job) const;
  Machine* best_machine(const Job& job, const std::map<std::string, std::size_t>& zones,
                        const std::set<std::string>& avoided, Time now);
  // Machine types that some waiting job can't do without, and those of them that another job leaves alone.
  std::set<std::string> scarce_types(const Ranking& ranking, Time now) const;
  std::set<std::string> avoided_types(const Ranked& ranked, const std::set<std::string>& scarce,
                                      Time now) const;
  std::vector<const wire::MachineType*> types_for(const Job& job) const;
  // How many more of the job's tasks its team's limit allows now.
  std::size_t limit_room(const Job& job) const;
  bool may_stop(const Ranked& claimant, const Job& victim) const;
  wire::Resources room(const Machine& machine) const;
  double expected_s(const Job& job) const;
  bool nearly_done(const Job& job, const Placement& placement, Time now) const;
  void make_room(Time now);
  void give_place(Job& job, Machine& machine, Time now);
  std::vector<double> goals_s(const Job& job) const;

  // autoscaler.cpp
  void scale(Time now);
  // Rents for tasks that have waited long enough; returns how many machines.
  std::size_t rent_for_waiting(std::size_t most, Time now);
  std::size_t fleet_size() const;
  void replace_ordinary(std::size_t most, Time now);
  double quickest_boot_s(const Job& job) const;
  // Waiting for a spot machine any longer would cost the job its objective.
  bool needs_ordinary(const Ranked& ranked, Time now) const;
  // The task ends before a machine rented now would be up.
  bool frees_soon(const Job& job, const Placement& placement, Time now) const;
  void review_machines(Time now);
  void give_back(std::vector<MachineId> machines, Time now);
  const wire::MachineType* type_named(const std::string& name) const;
  std::map<Offer, std::size_t> needed_machines(std::size_t most, Time now);
  std::optional<Offer> best_offer(const Job& job, std::size_t tasks, bool ordinary,
                                  const std::set<std::string>& avoided, const std::set<std::string>& zones,
                                  const std::map<Offer, std::size_t>& planned, Time now) const;
  bool late(const Machine& machine, Time now) const;
  // The offer was refused lately.
  bool resting(const Offer& offer, Time now) const;
  void rent(const Offer& offer, std::size_t count, Time now);

  Config config_;
  Token token_;
  Time elected_at_;
  std::int64_t elected_ms_;
  bool loaded_ = false;

  std::map<JobId, Job> jobs_;
  std::set<JobId> unsaved_;
  std::map<MachineId, Machine> machines_;
  std::unordered_map<std::string, wire::MachineType> types_;
  std::map<MachineId, Time> tombstones_;
  std::map<RentId, PendingRent> rents_;
  std::map<Offer, Refusal> refusals_;
  std::map<std::string, wire::Resources> usage_;
  std::set<JobId> guaranteed_;  // of the last ranking
  Estimates estimates_;
  std::vector<Effect> effects_;
  std::uint64_t next_save_number_ = 1;
  struct InFlight {
    JobId id;
    std::vector<std::pair<std::uint32_t, std::uint32_t>> parts;  // number, version
    bool final;
  };
  std::map<std::uint64_t, InFlight> saves_;
  std::uint64_t next_rent_ = 1;
  std::uint64_t next_return_ = 1;
  bool place_wanted_ = false;
  Time preempted_at_ = 0;
  Time scaled_at_ = 0;
  std::map<std::string, double> ordinary_load_;  // lasting load, in machines, by type
  FleetCount count_;
};

}  // namespace dockdyke::core
