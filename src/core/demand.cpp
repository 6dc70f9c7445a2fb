// How many machines of which offer the waiting jobs need beside what is free or coming.
#include <algorithm>
#include <cmath>

#include "constants.hpp"
#include "core/cluster.hpp"
#include "core/task_fit.hpp"

namespace dockdyke::core {

std::optional<InstanceOffering> Cluster::best_offer(const Job& job, std::size_t tasks, bool ordinary,
                                                    const std::set<std::size_t>& avoided, const Zones& zones,
                                                    const std::map<std::string, std::size_t>& in_zone,
                                                    Time now) const {
  std::optional<InstanceOffering> best;
  std::pair<double, std::size_t> best_rank;
  for (std::size_t number = 0; number < types_.size(); ++number) {
    const auto& type = types_[number];
    if (!job.compatible_with(number) || avoided.contains(number)) continue;
    const auto fit = tasks_fitting(job.spec.task_resources, type.size);
    const double machines = std::ceil(static_cast<double>(tasks) / static_cast<double>(fit));
    for (const auto& zone : type.zones) {
      if (zones && (!zones->contains(zone) || zones->at(zone) == 0)) continue;
      for (bool spot : {true, false}) {
        if (!allowed_on(job, number, zone, spot) || (!spot && !ordinary)) continue;
        if (resting({type.name, zone, spot}, now)) continue;
        const double price = (spot ? type.spot_price : type.price) * machines;
        auto there = in_zone.find(zone);
        const std::pair rank(price, there == in_zone.end() ? 0 : there->second);
        if (!best || rank < best_rank) {
          best = InstanceOffering{type.name, zone, spot};
          best_rank = rank;
        }
      }
    }
  }
  return best;
}

bool Cluster::needs_ordinary(const Ranked& ranked, Time now) const {
  const Job& job = *ranked.job;
  if (!job.spec.spot_allowed) return true;
  // However far away its objective is, nobody's work waits for ever for a cheaper machine.
  if (now - job.queued_since >= constants::kSpotWaitTimeout) return true;
  return ranked.reachable &&
         ranked.due - now - job.expected_run_s - quickest_boot_s(job) < constants::kOnDemandSlack;
}

// Machines that are alike in type, zone, kind and free room (rounded down), counted together: a fleet of many
// hundred is worked through in a few dozen steps.
struct Cluster::Rooms {
  std::size_t type = 0;
  std::string zone;
  bool spot = false;
  wire::Resources room;
  std::size_t count = 0;
};

std::vector<bool> Cluster::pressed_types(Time now) {
  std::vector<bool> pressed(types_.size());
  for (const auto& ranked : ranking(now)) {
    const Job& job = *ranked.job;
    if (job.waiting_tasks() == 0 || now < job.backoff_until) continue;
    const auto start_s = quickest_start_s(job.spec.job_class);
    const bool waits =
        start_s && now - job.queued_since >
                       std::max(constants::kScaleOutDelay, constants::kStartPressureShare * *start_s);
    for (std::size_t i = 0; waits && i < pressed.size(); ++i)
      pressed[i] = pressed[i] || job.compatible_with(i);
  }
  return pressed;
}

wire::Resources Cluster::freeing_room(const Machine& machine, bool pressed, Time now) const {
  wire::Resources freeing;
  for (const auto& task : machine.assignments) {
    const bool soon = pressed ? nearly_done(*task.job, task.assignment(), now)
                              : frees_soon(*task.job, task.assignment(), now);
    if (soon) freeing += task.job->spec.task_resources;
  }
  return freeing;
}

std::vector<Cluster::Rooms> Cluster::free_rooms(bool freeing, Time now) {
  const auto pressed = pressed_types(now);
  using Key = std::tuple<std::size_t, std::string, bool, long, long, long>;
  std::map<Key, std::size_t> counts;
  auto steps = [](double amount) {
    return static_cast<long>(std::floor(amount / constants::kCapacityStep + 1e-6));
  };
  auto add = [&](std::size_t type, const std::string& zone, bool spot, const wire::Resources& room,
                 std::size_t count) {
    const Key key(type, zone, spot, steps(room.cpus), steps(room.gpus), steps(room.memory_gb));
    if (std::get<3>(key) > 0) counts[key] += count;
  };
  for (const auto& [id, machine] : machines_) {
    if (!type_of(machine) || machine.scale_in_requested || machine.draining || machine.terminates_at)
      continue;
    wire::Resources free = room(machine);
    if (machine.state == MachineState::up) {
      if (!accepts(machine, now)) continue;
      if (freeing) free += freeing_room(machine, pressed[machine.type_number], now);
    } else if (machine.state != MachineState::booting || late(machine, now)) {
      continue;
    }
    add(machine.type_number, machine.zone, machine.spot, free, 1);
  }
  for (const auto& [id, pending] : rents_)
    if (const auto type = type_number(pending.request.type); type != kNoType)
      add(type, pending.request.zone, pending.request.spot, types_[type].size, pending.request.count);
  std::vector<Rooms> rooms;
  for (const auto& [key, count] : counts) {
    const auto& [type, zone, spot, cpus, gpus, memory] = key;
    rooms.push_back(
        {type, zone, spot,
         wire::Resources{static_cast<double>(cpus), static_cast<double>(gpus), static_cast<double>(memory)} *
             constants::kCapacityStep,
         count});
  }
  return rooms;
}

namespace {

using Zones = std::optional<std::map<std::string, std::size_t>>;

// The only zone whose room the job may use from now on.
void close_other_zones(Zones& zones, const std::string& zone) {
  for (auto& [name, open] : *zones)
    if (name != zone) open = 0;
}

}  // namespace

// What is free or coming, and what has to be rented beside it, while the waiting jobs are gone through in
// order.
struct Cluster::Demand {
  std::vector<Rooms> rooms;
  std::map<std::string, std::size_t> in_zone;  // machines
  std::map<InstanceOffering, std::size_t> needed;
  std::size_t most = 0;  // machines that may yet be rented
};

// What one waiting job asks of the fleet.
struct Cluster::Claim {
  const Job& job;
  std::size_t left = 0;  // tasks without room
  Zones zones;
  std::set<std::size_t> avoided;  // types
};

bool Cluster::may_use(const Claim& claim, const Rooms& rooms) const {
  if (claim.avoided.contains(rooms.type) || !allowed_on(claim.job, rooms.type, rooms.zone, rooms.spot))
    return false;
  if (!claim.zones) return true;
  const auto zone = claim.zones->find(rooms.zone);
  return zone != claim.zones->end() && zone->second > 0;
}

void Cluster::take_rooms(Demand& demand, Claim& claim, std::size_t group) const {
  const Rooms each = demand.rooms[group];
  if (!may_use(claim, each)) return;
  const std::size_t per_machine = tasks_fitting(claim.job.spec.task_resources, each.room);
  std::size_t fits = std::min(claim.left, per_machine * each.count);
  if (claim.zones) fits = std::min(fits, claim.zones->at(each.zone));
  if (fits == 0) return;
  // What is left of machines that are filled is a group of its own.
  const auto split = [&](std::size_t machines, std::size_t tasks) {
    if (machines == 0) return;
    Rooms rest = each;
    rest.room -= claim.job.spec.task_resources * static_cast<double>(tasks);
    rest.count = machines;
    demand.rooms[group].count -= machines;
    demand.rooms.push_back(std::move(rest));
  };
  split(fits / per_machine, per_machine);
  if (fits % per_machine != 0) split(1, fits % per_machine);
  claim.left -= fits;
  if (claim.zones && claim.job.spec.spread) claim.zones->at(each.zone) -= fits;
  if (claim.zones && claim.job.spec.same_zone) close_other_zones(claim.zones, each.zone);
}

std::optional<std::string> Cluster::gang_zone(const Demand& demand, const Claim& claim, bool ordinary,
                                              Time now) const {
  std::map<std::string, std::size_t> fits;
  for (const auto& rooms : demand.rooms)
    if (may_use(claim, rooms))
      fits[rooms.zone] += tasks_fitting(claim.job.spec.task_resources, rooms.room) * rooms.count;
  for (const auto& [zone, tasks] : fits)
    if (tasks >= claim.left) return zone;
  // None holds the whole gang: where the rest is rented.
  const auto offer =
      best_offer(claim.job, claim.left, ordinary, claim.avoided, claim.zones, demand.in_zone, now);
  return offer ? std::optional(offer->zone) : std::nullopt;
}

void Cluster::rent_rest(Demand& demand, Claim& claim, bool ordinary, Time now) const {
  while (claim.left > 0 && demand.most > 0) {
    const auto offer =
        best_offer(claim.job, claim.left, ordinary, claim.avoided, claim.zones, demand.in_zone, now);
    if (!offer) return;
    const auto& [type, zone, spot] = *offer;
    const auto rented = type_number(type);
    const auto& size = types_[rented].size;
    const std::size_t per_machine =
        std::max<std::size_t>(1, tasks_fitting(claim.job.spec.task_resources, size));
    // As many as it needs, but turn by turn where its zones or the next offer matter.
    const std::size_t count = claim.zones
                                  ? 1
                                  : std::min({demand.most, (claim.left + per_machine - 1) / per_machine,
                                              constants::kMaxMachinesPerScaleOut});
    demand.rooms.push_back({rented, zone, spot, size, count});
    demand.needed[*offer] += count;
    demand.in_zone[zone] += count;
    demand.most -= count;
    const auto before = claim.left;
    take_rooms(demand, claim, demand.rooms.size() - 1);
    if (claim.left == before) return;
  }
}

void Cluster::meet_claim(Demand& demand, const Ranked& ranked, Claim& claim, Time now) const {
  const Job& job = claim.job;
  const bool ordinary = needs_ordinary(ranked, now);
  if (job.is_gang() && job.spec.same_zone) {
    // In one zone as a whole: parts of it in several would never start.
    const auto zone = gang_zone(demand, claim, ordinary, now);
    if (!zone) return;
    close_other_zones(claim.zones, *zone);
  }
  const std::size_t groups = demand.rooms.size();
  bool any_holds = false;
  for (std::size_t i = 0; i < groups; ++i) {
    const Rooms& rooms = demand.rooms[i];
    if (rooms.count == 0) continue;
    any_holds = any_holds || allowed_on(job, rooms.type, rooms.zone, rooms.spot);
    if (claim.left > 0) take_rooms(demand, claim, i);
  }
  std::erase_if(demand.rooms, [](const Rooms& each) { return each.count == 0; });
  // A short wait for machines that are about to free; a task no present machine could hold rents at once.
  if (claim.left == 0 || (any_holds && now - job.queued_since < constants::kScaleOutDelay)) return;
  rent_rest(demand, claim, ordinary, now);
}

Cluster::Demand Cluster::demand_for(std::vector<Rooms> rooms, std::size_t most) const {
  Demand demand;
  demand.rooms = std::move(rooms);
  demand.most = most;
  for (const auto& [id, machine] : machines_) ++demand.in_zone[machine.zone];
  for (const auto& [id, pending] : rents_) demand.in_zone[pending.request.zone] += pending.request.count;
  return demand;
}

std::map<InstanceOffering, std::size_t> Cluster::needed_reserve(std::size_t most, Time now) {
  if (reserve_wanted_.empty()) return {};
  // Room that is about to free is no reserve: at any time, as much is about to be asked for.
  Demand demand = demand_for(free_rooms(false, now), 0);
  for (const auto& ranked : ranking(now)) {
    const Job& job = *ranked.job;
    if (!job.is_gang() || job.waiting_tasks() == 0) continue;
    Claim claim{job, job.waiting_tasks(), zone_room(job), {}};
    meet_claim(demand, ranked, claim, now);
  }
  demand.most = most;
  for (const auto& wanted : reserve_wanted_) {
    Job gang = model_gang(wanted.largest);
    Ranked ranked;
    ranked.job = &gang;
    for (std::size_t i = 0; i < wanted.gangs; ++i) {
      Claim claim{gang, gang.spec.task_count, zone_room(gang), {}};
      meet_claim(demand, ranked, claim, now);
    }
  }
  return std::move(demand.needed);
}

std::map<InstanceOffering, std::size_t> Cluster::needed_machines(std::size_t most, Time now) {
  Demand demand = demand_for(free_rooms(true, now), most);
  count_.waiting_tasks = 0;
  std::size_t looked_at = 0;
  for (const auto& ranked : ranking(now)) {
    const Job& job = *ranked.job;
    if (job.waiting_tasks() == 0 || now < job.backoff_until || looked_at >= constants::kMaxDemandTasks)
      continue;
    const std::size_t allowed = quota_headroom(job);
    if (job.is_gang() && allowed < job.waiting_tasks()) continue;
    Claim claim{job,
                std::min<std::size_t>({job.waiting_tasks(), allowed, constants::kMaxDemandTasks - looked_at}),
                zone_room(job), avoided_types(ranked, now)};
    looked_at += claim.left;
    count_.waiting_tasks += claim.left;
    meet_claim(demand, ranked, claim, now);
  }
  return std::move(demand.needed);
}

std::size_t Cluster::rent_for_waiting(std::size_t most, Time now) {
  // Not only at the tick: every offer that is refused or partly filled would cost a whole tick before the
  // next is tried (31 s for the first fleet of a day, seen in simulation).
  auto calls = static_cast<std::size_t>(
      std::max(1.0, config_.cloud_rps * constants::kHousekeepingInterval * constants::kScaleOutCallShare));
  std::size_t renting = 0;
  const auto rent_all = [&](const std::map<InstanceOffering, std::size_t>& needed) {
    for (auto [offer, machines] : needed) {
      // A large need takes several calls, each of them full.
      for (; machines > 0 && calls > 0; --calls) {
        const auto count = std::min<std::size_t>(machines, constants::kMaxMachinesPerScaleOut);
        rent(offer, count, now);
        machines -= count;
        renting += count;
      }
    }
  };
  rent_all(needed_machines(most, now));
  rent_all(needed_reserve(most - std::min(most, renting), now));
  return renting;
}

}  // namespace dockdyke::core
