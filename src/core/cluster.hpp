// The pure state machine behind a leader: commands and the time go in, effects come out. It does no I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/effects.hpp"
#include "core/events.hpp"
#include "core/gang_capacity_reserve.hpp"
#include "core/model.hpp"
#include "core/run_time_estimator.hpp"
#include "core/views.hpp"

namespace dockdyke::core {

class Cluster {
 public:
  Cluster(ClusterConfig config, FencingToken token, Time now, std::int64_t time_of_day_ms);

  void apply(const Event& event, Time now);
  HeartbeatOutcome apply_heartbeat(const wire::Heartbeat& heartbeat, Time now);
  // The orders for the answer to the machine's last report. Marks starts as sent.
  // Without `allow_starts` (the leader's view may be stale) only tasks already there are dealt with.
  std::vector<wire::Command> commands_for(const MachineId& machine, bool allow_starts, Time now);
  // Gives waiting tasks their places; to be called after a batch of commands and reports.
  void assign_tasks(Time now);

  // The next transaction to write, finals first; nothing when all is on record, on its way or not yet due.
  std::optional<StateWrite> next_write(Time now);
  // Seconds until next_save may have more; nothing when all is written.
  std::optional<double> next_write_due_in(Time now) const;
  std::vector<Effect> take_effects();
  ResponseHold response_hold(const MachineId& machine, Time now) const;
  // True while the report is the machine's last one and has not been answered.
  bool awaits_response(const wire::Heartbeat& heartbeat) const;
  // The answer to the machine's last report went out.
  void response_sent(const MachineId& machine, Time now);
  // The open job, unless it is unknown here or its end is being recorded.
  std::optional<JobProgress> progress(const JobId& id) const;

  FencingToken token() const { return token_; }
  bool loaded() const { return loaded_; }
  FleetSummary count() const { return count_; }
  AssignmentCounts assignment_counts() const;
  std::map<InstanceOffering, OfferingUsage> usage_by_offering() const;

  // Views for tests and logs.
  const Job* job(const JobId& id) const;
  const Machine* machine(const MachineId& id) const;
  std::size_t fleet() const { return machines_.size(); }
  // Machines whose workers should be reporting.
  std::size_t machines_up() const;
  std::size_t jobs() const { return jobs_.size(); }
  // Jobs that should have an open record.
  std::vector<JobId> open_jobs() const;
  wire::Resources team_usage(const std::string& team) const;
  std::size_t segments() const { return pages_.size(); }
  // Machines and jobs looked at so far when places were given: the work that must not grow with the fleet.
  std::uint64_t scanned() const { return scanned_; }

 private:
  // cluster.cpp: records, reports and proofs
  void on(const JobLoaded& event, Time now);
  void on(const SegmentLoaded& event, Time now);
  void on(const GangPartLoaded& event, Time now);
  void on(const ScaleOutLoaded& event, Time now);
  void on(const ScaleInLoaded& event, Time now);
  void on(const LoadCompleted& event, Time now);
  void on(const JobSubmitted& event, Time now);
  void on(const JobRecordRemoved& event, Time now);
  void on(const WriteApplied& event, Time now);
  void on(const WriteConflicted& event, Time now);
  void on(const WriteRejected& event, Time now);
  void on(const WriteRateLowered& event, Time now);
  void on(const MachinesListed& event, Time now);
  void on(const ScaleOutGranted& event, Time now);
  void on(const ScaleOutRefused& event, Time now);
  void on(const MachinesDeleted& event, Time now);
  void on(const MachineTypesChanged& event, Time now);
  void on(const Tick& event, Time now);

  Job& add_job(const JobRecord& record, Revision version, Time now);
  Machine& machine_named(const MachineId& id, Time now);
  void describe(Machine& machine, const std::string& type, const std::string& zone, bool spot);
  void begin_assignment(Job& job, TaskIndex index, TaskAssignment assignment);
  // The task is proved to be off its machine (or was never sent): its place is free again.
  void release(Job& job, TaskIndex index, Time now);
  void release_all(Machine& machine, Time now);
  void take_tasks(Machine& machine, const wire::Heartbeat& heartbeat, Time now);
  void task_exited(Job& job, TaskIndex index, Machine& machine, const wire::ReportedTask& task, Time now);
  void task_failed(Job& job, Machine& machine, Time now);
  void judge_machines(Time now);
  // The task has run far longer than those of its job that are done: more likely its machine is slow.
  static bool overlong(const Job& job, double ran_s, double times);
  // Takes work off machines on which it goes several times slower than elsewhere.
  void leave_slow_machine(Machine& machine, Time now);
  void stop_all(Job& job, Time now);
  void withdraw_unsent(Machine& machine, Time now);
  bool silent(const Machine& machine, Time now) const;
  void drop_if_gone(Job& job, Time now);
  void machine_gone(const MachineId& id, Time now);
  void expire_leases(Time now);
  // Gives back silent machines that hold tasks of cancelled jobs, in time for these.
  void delete_cancelled_work(Time now);
  // The worker's lease has run out on answers of ours alone.
  bool lease_over(const Machine& machine, Time now) const;
  void stop_for_notices(Machine& machine, Time now);
  bool result_durable(const wire::ReportedTask& task) const;

  // pages.cpp: what happened to tasks, on record
  void touch(Job& job, TaskIndex index);
  std::optional<StateWrite> next_finals();
  std::optional<StateWrite> next_page(Time now);
  // Adds a job's tasks to a page as far as there is room; returns how many.
  std::size_t add_to_page(SegmentRecord& record, TaskLogSegment& page, std::size_t& bytes, const Job& job,
                          const std::vector<TaskIndex>& tasks) const;
  // Carries the live entries of the oldest page over to the new one, so that it can go.
  void carry_over_oldest(SegmentRecord& record, TaskLogSegment& page, std::size_t& bytes) const;
  std::size_t pages_kept() const;
  void page_confirmed(SegmentNumber number);
  void page_rejected(SegmentNumber number);
  // The transaction needs no repeating; returns the jobs whose end it was to record.
  std::vector<JobId> save_ended(std::uint64_t number, const std::vector<std::string>& failed);
  void end_on_record(const JobId& id, Time now);
  void entry_dead(SegmentNumber number);
  void forget_entries(const Job& job);
  void discard(std::vector<std::string> keys);

  // gangs.cpp
  struct StoredGang {
    std::uint32_t job = 0;  // serial
    Attempt attempt = 0;
  };
  // The newest attempt that a new leader has found so far.
  struct LoadedGang {
    Attempt attempt = 0;
    std::uint32_t parts = 0;
    std::uint32_t seen = 0;
    std::vector<TaskRecord> tasks;
  };
  void take_over_gang(Job& job, Time now);
  std::optional<StateWrite> next_gang_part();
  void gang_part_confirmed(const StoredGang& stored);
  void gang_part_rejected(const StoredGang& stored);
  void gang_done(Job& job, Time now);
  // The attempt can't succeed any more; `settle_gangs` stops what is left of it.
  void break_gang(Job& job);
  void gang_task_released(Job& job, Time now);
  // Whether all its tasks run where they can be told to save now, and more would be lost otherwise.
  bool can_save_gang(const Job& job, Time now) const;
  // Tells all tasks to save and to end.
  void save_gang(Job& job);
  // One of its machines ends in `left_s`.
  void stop_gang_for_notice(Job& job, double left_s, Time now);
  void settle_gangs(Time now);
  // Breaks attempts that are not complete in time.
  void watch_gangs(Time now);
  // Places for all tasks of the gang on these machines; none where not all fit.
  std::vector<GangPlace> gang_places(const Job& job, const std::vector<Machine*>& machines, Time now);
  bool place_gang(Job& job, const std::vector<Machine*>& machines, Time now);
  // Also on machines that do not wait for an answer at the moment.
  void place_gangs_anywhere(Time now);
  std::vector<Machine*> accepting_machines(Time now);
  // Marks the machines whose room is held for gangs to come.
  void hold_reserve(Time now);
  bool wants_quick_starts(const wire::JobSpec& spec) const;
  Job model_gang(const wire::JobSpec& spec) const;
  // Keeps room as it frees for the first gang in line, which smaller work would otherwise take for ever.
  void keep_room_for_gang(Time now);
  bool keep_room(const Job& job, Time now);

  // placement.cpp
  struct Ranked {
    Job* job;
    bool starving = false;    // no task of it has begun for far too long
    bool hasty = false;       // it can't wait a report period for a better machine
    bool guaranteed = false;  // within its team's guarantee
    bool reachable = false;   // some objective of it can still be met
    double due = 0;           // when the nearest of those wants it done
    double first_due = 0;     // when its first objective wanted it done
  };
  using Ranking = std::vector<Ranked>;
  // Free room of machines that are alike, for the count of machines to rent.
  struct Rooms;
  void rank_jobs(Time now);
  // The waiting jobs in the order in which they are to be served.
  const Ranking& ranking(Time now);
  // Seconds within which the class wants its tasks started, by its most ambitious objective.
  std::optional<double> quickest_start_s(const std::string& job_class) const;
  // No task of it has begun for so long that it goes before all others.
  bool starving(const Job& job, Time now) const;
  bool allowed_on(const Job& job, std::size_t type, const std::string& zone, bool spot) const;
  bool accepts(const Machine& machine, Time now) const;
  // It has room for some job's task, and none of its own tasks is likely to end within the next seconds.
  bool has_lasting_room(const Machine& machine, Time now) const;
  // Tasks that may yet start in each zone. Nothing: any number in any zone.
  using Zones = std::optional<std::map<std::string, std::size_t>>;
  // How many of the job's, given where its others are now.
  Zones zone_room(const Job& job) const;
  // Seconds of a task's time that its place on this machine would cost; nothing where it can't go.
  std::optional<double> cost_of(const Job& job, const Machine& machine, double largest_cpus) const;
  // Seconds that the machine takes for the job's image.
  double fetch_s(const Job& job, const Machine& machine) const;
  // Gives places to as many of the job's tasks as possible on machines that wait for an answer.
  std::size_t place_job(const Ranked& ranked, const std::vector<Machine*>& open, bool any_image,
                        std::size_t most, Time now);
  // Seconds in which every machine has reported.
  double heartbeat_round_s() const;
  // Machines in the order in which work should fill them: those in use before empty ones, cheap ones before
  // ordinary ones.
  static std::size_t tier(const Machine& machine);
  void find_open_tier(Time now);
  // Machine types that some waiting job can't do without, and those of them that another job leaves alone.
  void find_scarce_types(Time now);
  std::set<std::size_t> avoided_types(const Ranked& ranked, Time now) const;
  void update_compatible_types(Job& job) const;
  // How many more of the job's tasks its team's limit allows now.
  std::size_t quota_headroom(const Job& job) const;
  bool may_stop(const Ranked& claimant, const Job& victim) const;
  wire::Resources room(const Machine& machine) const;
  bool nearly_done(const Job& job, const TaskAssignment& assignment, Time now) const;
  // Room that is or will be there for jobs ahead in line.
  using ClaimedRoom = std::map<const Machine*, wire::Resources, ById>;
  struct Chance;
  // Tasks on the machine that may be stopped for the claimant, by what that costs.
  std::vector<std::pair<double, AssignedTask>> victims_on(const Ranked& claimant, const Machine& machine,
                                                          Time now) const;
  std::optional<Chance> find_chance(const Ranked& claimant, Machine& machine, wire::Resources free,
                                    std::size_t wanted, Time now) const;
  wire::Resources room_after_stops(const Machine& machine) const;
  // Stops lesser work for one waiting job.
  void make_room_for(const Ranked& claimant, const std::vector<Machine*>& open, ClaimedRoom& claimed,
                     Time now);
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
  bool frees_soon(const Job& job, const TaskAssignment& assignment, Time now) const;
  void review_machines(Time now);
  void give_back(std::vector<MachineId> machines, Time now);
  std::size_t type_number(const std::string& name) const;
  const wire::MachineType* type_of(const Machine& machine) const;
  // What tasks that end soon will leave.
  wire::Resources freeing_room(const Machine& machine, bool pressed, Time now) const;
  // Free and coming room; with `freeing`, also what tasks that end soon will leave.
  std::vector<Rooms> free_rooms(bool freeing, Time now);
  // Types for which work waits so long that its start objective is in danger.
  std::vector<bool> pressed_types(Time now);
  // demand.cpp
  struct Demand;
  struct Claim;
  bool may_use(const Claim& claim, const Rooms& rooms) const;
  // Fills machines of one group with tasks of the job.
  void take_rooms(Demand& demand, Claim& claim, std::size_t group) const;
  // Where a gang that must share a zone finds room or is to get it.
  std::optional<std::string> gang_zone(const Demand& demand, const Claim& claim, bool ordinary,
                                       Time now) const;
  void rent_rest(Demand& demand, Claim& claim, bool ordinary, Time now) const;
  void meet_claim(Demand& demand, const Ranked& ranked, Claim& claim, Time now) const;
  Demand demand_for(std::vector<Rooms> rooms, std::size_t most) const;
  std::map<InstanceOffering, std::size_t> needed_machines(std::size_t most, Time now);
  // What has to be rented for gangs to come.
  std::map<InstanceOffering, std::size_t> needed_reserve(std::size_t most, Time now);
  std::optional<InstanceOffering> best_offer(const Job& job, std::size_t tasks, bool ordinary,
                                             const std::set<std::size_t>& avoided, const Zones& zones,
                                             const std::map<std::string, std::size_t>& in_zone,
                                             Time now) const;
  bool late(const Machine& machine, Time now) const;
  // The offer was refused lately.
  bool resting(const InstanceOffering& offer, Time now) const;
  void rent(const InstanceOffering& offer, std::size_t count, Time now);

  ClusterConfig config_;
  FencingToken token_;
  Time elected_at_;
  std::int64_t elected_ms_;
  bool loaded_ = false;

  std::map<JobId, Job> jobs_;
  std::unordered_map<std::uint32_t, Job*> by_serial_;
  std::uint32_t next_serial_ = 1;
  std::map<JobId, Time> over_;  // dropped not long ago: late news of their submission start nothing
  std::map<MachineId, Machine> machines_;
  std::set<Machine*, ById> open_answers_;  // machines whose last report has not been answered
  std::vector<wire::MachineType> types_;   // numbered as first seen
  std::map<MachineId, Time> tombstones_;
  std::map<ScaleOutId, PendingScaleOut> rents_;
  std::map<InstanceOffering, OfferingBackoff> refusals_;
  std::map<std::string, wire::Resources> usage_;
  std::set<JobId> guaranteed_;  // of the last ranking
  Ranking ranking_;
  Time ranked_at_ = 0;
  bool ranking_stale_ = true;
  std::set<std::size_t> scarce_;
  wire::Resources smallest_task_;  // of all jobs, at the last ranking
  std::size_t open_tier_ = 0;      // the tiers up to this one have room enough for all that waits
  RunTimeEstimator estimates_;
  GangCapacityReserve reserve_;
  std::vector<GangCapacityReserve::Wanted> reserve_wanted_;  // of the last tick
  EffectQueue effects_;

  // Pages and transactions on their way.
  std::map<SegmentNumber, TaskLogSegment> pages_;
  std::map<std::pair<std::uint32_t, TaskIndex>, MachineId> loaded_assignments_;
  SegmentNumber next_page_number_ = 1;
  std::uint64_t next_page_key_ = 1;
  std::deque<std::uint32_t> unwritten_jobs_;  // serials
  bool page_wanted_ = false;                  // an order waits for the next page
  bool page_was_full_ = false;                // the last one had no room for more
  std::vector<std::string> dead_keys_;        // keys of which nothing is needed any more
  Time paged_at_ = 0;
  std::size_t pages_in_flight_ = 0;
  std::deque<JobId> unfinished_finals_;
  std::uint64_t next_save_number_ = 1;
  struct InFlight {
    SegmentNumber page = 0;  // 0: finals
    std::vector<JobId> finals;
    std::optional<StoredGang> gang;
  };
  std::map<std::uint64_t, InFlight> saves_;
  std::size_t page_bytes_;  // what a page may take of a value, less where the store refused one
  std::size_t part_bytes_;  // the same for parts of a gang's record
  std::size_t ends_per_save_;
  std::deque<GangPart> unwritten_parts_;
  std::map<std::uint32_t, LoadedGang> loaded_gangs_;  // by serial
  std::vector<std::uint32_t> broken_gangs_;           // serials
  Time next_keeping_ = 0;                             // when room may be kept for a gang again
  std::uint64_t next_rent_ = 1;
  std::uint64_t next_return_ = 1;
  bool place_wanted_ = false;
  std::uint64_t scanned_ = 0;
  Time preempted_at_ = 0;
  Time scaled_at_ = 0;
  std::map<std::string, double> ordinary_load_;  // lasting load, in machines, by type
  FleetSummary count_;
};

}  // namespace dockdyke::core
