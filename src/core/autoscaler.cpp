// How many machines: the fleet's changes by cloud answers and lists, and the design's tick.
#include <algorithm>
#include <cmath>

#include "constants.hpp"
#include "core/cluster.hpp"

namespace dockdyke::core {

using wire::MachineStage;

namespace {

// How many tasks of this size fit into this room.
std::size_t fitting(const wire::Resources& each, const wire::Resources& room) {
  constexpr double kRounding = 1e-6;
  double count = limits::kDemandTasks;
  auto bound = [&](double need, double have) {
    if (need > 0) count = std::min(count, std::floor(std::max(0.0, have + kRounding) / need));
  };
  bound(each.cpus, room.cpus);
  bound(each.gpus, room.gpus);
  bound(each.memory_gb, room.memory_gb);
  return static_cast<std::size_t>(count);
}

}  // namespace

// ---- What the cloud says ----------------------------------------------------------------------------------

void Cluster::on(const TypesChanged& command, Time) {
  // A type that is offered no more keeps its number, since machines of it may be up, but no zone to rent it
  // in.
  for (auto& type : types_) type.zones.clear();
  for (const auto& type : command.types) {
    const auto known = type_number(type.name);
    if (known == kNoType) {
      types_.push_back(type);
    } else {
      types_[known] = type;
    }
  }
  for (auto& [id, job] : jobs_) set_suits(job);
  for (auto& [id, machine] : machines_)
    if (!machine.type.empty()) describe(machine, machine.type, machine.zone, machine.spot);
  place_wanted_ = true;
}

void Cluster::on(const RentLoaded& command, Time now) {
  // Recorded by an earlier leader and perhaps never answered: asked again under the same name.
  rents_.try_emplace(command.rental.id, PendingRent{command.rental, now});
  effects_.emplace_back(Rent{command.rental, true});
}

void Cluster::on(const ReturnLoaded& command, Time now) {
  for (const auto& id : command.machines) machine_named(id, now).returning = true;
  effects_.emplace_back(GiveBack{command.record, command.machines, true});
}

void Cluster::on(const RentAnswered& command, Time now) {
  auto found = rents_.find(command.id);
  if (found == rents_.end()) return;
  const PendingRent pending = found->second;
  rents_.erase(found);
  for (const auto& id : command.machines) {
    if (tombstones_.contains(id)) continue;
    Machine& machine = machine_named(id, now);
    describe(machine, pending.rental.type, pending.rental.zone, pending.rental.spot);
    machine.rented_at = std::min(machine.rented_at, pending.since);
  }
  const Offer offer{pending.rental.type, pending.rental.zone, pending.rental.spot};
  if (command.machines.size() < pending.rental.count) {
    // Partly filled: this offer is empty for now.
    refusals_[offer] = {now + limits::kRefusedFirst, limits::kRefusedFirst};
  } else {
    refusals_.erase(offer);
  }
}

void Cluster::on(const RentRefused& command, Time now) {
  auto found = rents_.find(command.id);
  if (found == rents_.end()) return;
  const auto& rental = found->second.rental;
  Refusal& refusal = refusals_[{rental.type, rental.zone, rental.spot}];
  refusal.pause =
      refusal.pause == 0 ? limits::kRefusedFirst : std::min(limits::kRefusedMost, 2 * refusal.pause);
  refusal.until = now + refusal.pause;
  rents_.erase(found);
}

void Cluster::on(const MachinesDeleted& command, Time now) {
  for (const auto& id : command.machines) machine_gone(id, now);
}

void Cluster::on(const MachinesListed& command, Time now) {
  std::set<MachineId> listed;
  std::vector<MachineId> failed;
  for (const auto& each : command.machines) {
    listed.insert(each.id);
    if (tombstones_.contains(each.id)) continue;
    Machine& machine = machine_named(each.id, now);
    if (!machine.listed) {
      machine.listed = true;
      machine.rented_at = std::min(machine.rented_at, now - each.age_s);
      if (machine.type.empty()) describe(machine, each.type, each.zone, each.spot);
    }
    machine.unlisted = 0;
    if (each.stage == MachineStage::failed) {
      release_all(machine, now);
      machine.state = MachineState::gone;
      if (!machine.returning) failed.push_back(each.id);
    } else if (each.stage == MachineStage::running && machine.state == MachineState::booting) {
      machine.state = MachineState::up;  // its first report is due; its silence counts from here
      machine.last_report = now;
    }
  }
  for (auto& [id, machine] : machines_)
    if (machine.listed && !listed.contains(id)) ++machine.unlisted;
  give_back(std::move(failed), now);
}

// ---- The tick ---------------------------------------------------------------------------------------------

bool Cluster::resting(const Offer& offer, Time now) const {
  auto refusal = refusals_.find(offer);
  return refusal != refusals_.end() && now < refusal->second.until;
}

bool Cluster::late(const Machine& machine, Time now) const {
  const auto* type = type_of(machine);
  return type && now - machine.rented_at > limits::kLateBoots * type->boot_s;
}

void Cluster::give_back(std::vector<MachineId> ids, Time) {
  for (std::size_t first = 0; first < ids.size(); first += limits::kMaxDelete) {
    const auto end = std::min(ids.size(), first + limits::kMaxDelete);
    GiveBack effect{
        key::kReturnPrefix + std::to_string(token_.value) + "-" + std::to_string(next_return_++), {}, false};
    for (auto i = first; i < end; ++i) {
      machines_.at(ids[i]).returning = true;
      effect.machines.push_back(ids[i]);
    }
    effects_.emplace_back(std::move(effect));
  }
}

void Cluster::review_machines(Time now) {
  std::vector<MachineId> lost;
  for (auto& [id, machine] : machines_) {
    if (machine.returning) continue;
    const auto* type = type_of(machine);
    const double unheard = now - machine.last_report;
    // Our answers have not reached it for longer than its lease lasts without them.
    const bool deaf = machine.unheeded >= limits::kUnheeded &&
                      now - machine.unheeded_since > config_.lease_s + limits::kLeaseMargin;
    bool give_up = false;
    if (machine.state == MachineState::gone) {
      give_up = true;
    } else if (machine.state == MachineState::booting) {
      // One known only from a record and shown by no list is most likely gone; deleting it is the proof.
      give_up = type ? now - machine.rented_at > limits::kLostBoots * type->boot_s
                     : !machine.listed &&
                           now - machine.rented_at > 2 * config_.list_lag_s + limits::kUnknownMachine;
    } else if (silent(machine, now)) {
      give_up = machine.unlisted >= limits::kUnlisted || (machine.ends_at && now > *machine.ends_at) ||
                unheard > config_.lease_s + limits::kSilentPatience;
    } else if (deaf) {
      give_up = machine.placements.empty() || !machine.trusted;
    } else if (machine.draining) {
      give_up = machine.placements.empty();
    }
    if (give_up) lost.push_back(id);
  }
  give_back(std::move(lost), now);
}

std::optional<Offer> Cluster::best_offer(const Job& job, std::size_t tasks, bool ordinary,
                                         const std::set<std::size_t>& avoided, const Zones& zones,
                                         const std::map<std::string, std::size_t>& in_zone, Time now) const {
  std::optional<Offer> best;
  std::pair<double, std::size_t> best_rank;
  for (std::size_t number = 0; number < types_.size(); ++number) {
    const auto& type = types_[number];
    if (!job.suits_type(number) || avoided.contains(number)) continue;
    const auto fit = fitting(job.spec.each, type.size);
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
          best = Offer{type.name, zone, spot};
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
  if (now - job.waiting_since >= limits::kOrdinaryPatience) return true;
  return ranked.reachable &&
         ranked.due - now - job.expected_s - quickest_boot_s(job) < limits::kOrdinarySlack;
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
    if (job.waiting() == 0 || now < job.not_before) continue;
    const bool waits =
        std::any_of(config_.objectives.begin(), config_.objectives.end(), [&](const Objective& objective) {
          return objective.kind == Objective::Kind::wait && objective.job_class == job.spec.job_class &&
                 now - job.waiting_since >
                     std::max(limits::kShortWait, limits::kPressedShare * objective.within_s);
        });
    for (std::size_t i = 0; waits && i < pressed.size(); ++i) pressed[i] = pressed[i] || job.suits_type(i);
  }
  return pressed;
}

std::vector<Cluster::Rooms> Cluster::free_rooms(Time now) {
  const auto pressed = pressed_types(now);
  using Key = std::tuple<std::size_t, std::string, bool, long, long, long>;
  std::map<Key, std::size_t> counts;
  auto steps = [](double amount) { return static_cast<long>(std::floor(amount / limits::kRoomStep + 1e-6)); };
  auto add = [&](std::size_t type, const std::string& zone, bool spot, const wire::Resources& room,
                 std::size_t count) {
    const Key key(type, zone, spot, steps(room.cpus), steps(room.gpus), steps(room.memory_gb));
    if (std::get<3>(key) > 0) counts[key] += count;
  };
  for (const auto& [id, machine] : machines_) {
    if (!type_of(machine) || machine.returning || machine.draining || machine.ends_at) continue;
    wire::Resources free = room(machine);
    if (machine.state == MachineState::up) {
      if (!accepts(machine, now)) continue;
      for (const auto& task : machine.placements)
        if (pressed[machine.type_number] ? nearly_done(*task.job, task.placement(), now)
                                         : frees_soon(*task.job, task.placement(), now))
          free += task.job->spec.each;
    } else if (machine.state != MachineState::booting || late(machine, now)) {
      continue;
    }
    add(machine.type_number, machine.zone, machine.spot, free, 1);
  }
  for (const auto& [id, pending] : rents_)
    if (const auto type = type_number(pending.rental.type); type != kNoType)
      add(type, pending.rental.zone, pending.rental.spot, types_[type].size, pending.rental.count);
  std::vector<Rooms> rooms;
  for (const auto& [key, count] : counts) {
    const auto& [type, zone, spot, cpus, gpus, memory] = key;
    rooms.push_back(
        {type, zone, spot,
         wire::Resources{static_cast<double>(cpus), static_cast<double>(gpus), static_cast<double>(memory)} *
             limits::kRoomStep,
         count});
  }
  return rooms;
}

std::map<Offer, std::size_t> Cluster::needed_machines(std::size_t most, Time now) {
  auto rooms = free_rooms(now);
  std::map<std::string, std::size_t> in_zone;
  for (const auto& [id, machine] : machines_) ++in_zone[machine.zone];
  for (const auto& [id, pending] : rents_) in_zone[pending.rental.zone] += pending.rental.count;

  std::map<Offer, std::size_t> needed;
  count_.waiting_tasks = 0;
  std::size_t looked_at = 0;
  for (const auto& ranked : ranking(now)) {
    const Job& job = *ranked.job;
    if (job.waiting() == 0 || now < job.not_before || looked_at >= limits::kDemandTasks) continue;
    std::size_t left =
        std::min<std::size_t>({job.waiting(), limit_room(job), limits::kDemandTasks - looked_at});
    looked_at += left;
    count_.waiting_tasks += left;
    auto zones = zone_room(job);
    const auto avoided = avoided_types(ranked, now);
    // Fills machines of one group; what is left of each is a group of its own.
    auto take = [&](std::size_t group) {
      const Rooms each = rooms[group];
      if (avoided.contains(each.type) || !allowed_on(job, each.type, each.zone, each.spot)) return;
      std::size_t fits = std::min(left, fitting(job.spec.each, each.room) * each.count);
      if (zones) {
        auto zone = zones->find(each.zone);
        fits = zone == zones->end() ? 0 : std::min(fits, zone->second);
      }
      if (fits == 0) return;
      const std::size_t per_machine = fitting(job.spec.each, each.room);
      const std::size_t whole = fits / per_machine;
      auto split = [&](std::size_t machines, std::size_t tasks) {
        if (machines == 0) return;
        Rooms rest = each;
        rest.room -= job.spec.each * static_cast<double>(tasks);
        rest.count = machines;
        rooms[group].count -= machines;
        rooms.push_back(std::move(rest));
      };
      split(whole, per_machine);
      if (fits % per_machine != 0) split(1, fits % per_machine);
      left -= fits;
      if (zones && job.spec.spread) zones->at(each.zone) -= fits;
      if (zones && job.spec.one_zone)
        for (auto& [name, open] : *zones)
          if (name != each.zone) open = 0;
    };
    const std::size_t groups = rooms.size();
    bool any_holds = false;
    for (std::size_t i = 0; i < groups; ++i) {
      if (rooms[i].count == 0) continue;
      any_holds = any_holds || allowed_on(job, rooms[i].type, rooms[i].zone, rooms[i].spot);
      if (left > 0) take(i);
    }
    std::erase_if(rooms, [](const Rooms& each) { return each.count == 0; });
    // A short wait for machines that are about to free; a task no present machine could hold rents at once.
    if (left == 0 || (any_holds && now - job.waiting_since < limits::kShortWait)) continue;
    const bool ordinary = needs_ordinary(ranked, now);
    while (left > 0 && most > 0) {
      const auto offer = best_offer(job, left, ordinary, avoided, zones, in_zone, now);
      if (!offer) break;
      const auto& [type, zone, spot] = *offer;
      const auto rented = type_number(type);
      const auto& size = types_[rented].size;
      const std::size_t per_machine = std::max<std::size_t>(1, fitting(job.spec.each, size));
      // As many as it needs, but turn by turn where its zones or the next offer matter.
      const std::size_t count =
          zones ? 1 : std::min({most, (left + per_machine - 1) / per_machine, limits::kMaxRent});
      rooms.push_back({rented, zone, spot, size, count});
      needed[*offer] += count;
      in_zone[zone] += count;
      most -= count;
      const auto before = left;
      take(rooms.size() - 1);
      if (left == before) break;
    }
  }
  return needed;
}

void Cluster::rent(const Offer& offer, std::size_t count, Time now) {
  wire::Rental rental;
  // The token is this leadership's alone, so the name was never used before and never will be.
  rental.id = RentId("r-" + std::to_string(token_.value) + "-" + std::to_string(next_rent_++));
  std::tie(rental.type, rental.zone, rental.spot) = offer;
  rental.count = std::min<std::uint64_t>(count, limits::kMaxRent);
  rents_[rental.id] = {rental, now};
  effects_.emplace_back(Rent{rental, false});
}

std::map<Offer, OfferUse> Cluster::usage_by_offer() const {
  std::map<Offer, OfferUse> out;
  for (const auto& [id, machine] : machines_) {
    if (machine.state == MachineState::gone) continue;
    OfferUse& use = out[{machine.type, machine.zone, machine.spot}];
    ++use.machines;
    use.booting += machine.state == MachineState::booting;
    use.empty += machine.state == MachineState::up && machine.placements.empty();
    if (const auto* type = type_of(machine)) use.cpus += type->size.cpus;
    use.cpus_used += machine.used.cpus;
  }
  return out;
}

PlacedTasks Cluster::placed_tasks() const {
  PlacedTasks out;
  for (const auto& [id, job] : jobs_)
    for (const auto& [index, placement] : job.placements) {
      out.unsent += !placement.sent && !placement.shown && !placement.inherited;
      out.fetching += placement.shown && placement.state == wire::TaskState::fetching;
      out.running += placement.shown && placement.state == wire::TaskState::running;
    }
  return out;
}

std::size_t Cluster::fleet_size() const {
  std::size_t size = 0;
  for (const auto& [id, machine] : machines_)
    size += !machine.returning && machine.state != MachineState::gone;
  for (const auto& [id, pending] : rents_) size += pending.rental.count;
  return size;
}

std::size_t Cluster::rent_for_waiting(std::size_t most, Time now) {
  // Not only at the tick: every offer that is refused or partly filled would cost a whole tick before the
  // next is tried (31 s for the first fleet of a day, seen in simulation).
  auto calls =
      static_cast<std::size_t>(std::max(1.0, config_.cloud_rps * limits::kHousekeeping * limits::kRentShare));
  std::size_t renting = 0;
  for (auto [offer, machines] : needed_machines(most, now)) {
    // A large need takes several calls, each of them full.
    for (; machines > 0 && calls > 0; --calls) {
      const auto count = std::min<std::size_t>(machines, limits::kMaxRent);
      rent(offer, count, now);
      machines -= count;
      renting += count;
    }
  }
  return renting;
}

void Cluster::replace_ordinary(std::size_t most, Time now) {
  // Work on ordinary machines that may use spot ones: these cost a fraction, and once they are up the
  // ordinary ones run empty and go back. Only a load that has lasted counts, as a boot outlasts most single
  // tasks.
  std::map<std::string, double> load;
  std::map<std::string, double> coming;
  for (const auto& [id, machine] : machines_) {
    if (machine.returning || !type_of(machine)) continue;
    if (machine.spot) {
      const bool ready = accepts(machine, now) && machine.placements.empty();
      if (ready || (machine.state == MachineState::booting && !late(machine, now))) coming[machine.type] += 1;
    } else if (machine.state == MachineState::up && !machine.placements.empty()) {
      load[machine.type] += std::all_of(machine.placements.begin(), machine.placements.end(),
                                        [](const auto& task) { return task.job->spec.spot_allowed; });
    }
  }
  for (const auto& [id, pending] : rents_)
    if (pending.rental.spot) coming[pending.rental.type] += static_cast<double>(pending.rental.count);
  // The memory outlasts the load: alone it went on renting for two minutes after the last job of a day.
  const bool any_work = std::any_of(jobs_.begin(), jobs_.end(), [](const auto& each) {
    return !each.second.cancelled && !each.second.complete();
  });
  for (const auto& type : types_) {
    const auto& name = type.name;
    double& lasting = ordinary_load_[name];
    lasting += limits::kLoadSmoothing * (load[name] - lasting);
    if (!any_work || lasting - coming[name] < limits::kReplaceAt || most == 0 ||
        type.spot_price >= type.price)
      continue;
    std::optional<Offer> offer;
    for (const auto& zone : type.zones)
      if (!offer && !resting({name, zone, true}, now)) offer = Offer{name, zone, true};
    if (!offer) continue;
    // One at a time where one makes up for it; a large load in one full call.
    const auto count =
        std::min<std::size_t>({most, limits::kMaxRent,
                               std::max<std::size_t>(1, static_cast<std::size_t>((lasting - coming[name]) *
                                                                                 limits::kReplaceShare))});
    rent(*offer, count, now);
    most -= count;
  }
}

void Cluster::scale(Time now) {
  const std::size_t waiting = count_.waiting_tasks;
  count_ = {};
  count_.waiting_tasks = waiting;
  std::vector<const Machine*> idle;
  const std::size_t fleet = fleet_size();
  for (const auto& [id, machine] : machines_) {
    if (machine.returning || machine.state == MachineState::gone) continue;
    if (machine.state == MachineState::booting) {
      if (!late(machine, now)) ++count_.booting;
      continue;
    }
    if (!accepts(machine, now)) continue;
    const auto* type = type_of(machine);
    if (!type) continue;
    const auto free = room(machine);
    const double load = std::max(1 - free.cpus / std::max(1e-9, type->size.cpus),
                                 1 - free.memory_gb / std::max(1e-9, type->size.memory_gb));
    if (machine.placements.empty()) {
      idle.push_back(&machine);
    } else if (load >= limits::kNearlyDone) {
      ++count_.overwhelmed;
    }
  }
  for (const auto& [id, pending] : rents_) count_.booting += pending.rental.count;
  count_.machines = fleet;
  count_.free = idle.size() + count_.booting;

  const std::size_t most = config_.max_machines > fleet ? config_.max_machines - fleet : 0;
  const std::size_t renting = rent_for_waiting(most, now);
  replace_ordinary(most - std::min(most, renting), now);

  // The buffer: at the minimum fleet, and above it as far as the operators want machines kept free.
  const std::size_t wanted_free = config_.free_machines;
  const std::size_t short_of_free =
      wanted_free > count_.free + renting ? wanted_free - count_.free - renting : 0;
  const std::size_t short_of_min =
      config_.min_machines > fleet + renting ? config_.min_machines - fleet - renting : 0;
  if (std::size_t more = std::min(most, std::max(short_of_free, short_of_min)); more > 0 && renting == 0) {
    std::optional<Offer> cheapest;
    double price = 0;
    for (const auto& type : types_)
      for (const auto& zone : type.zones) {
        const Offer offer{type.name, zone, true};
        if (resting(offer, now)) continue;
        if (!cheapest || type.spot_price < price) {
          cheapest = offer;
          price = type.spot_price;
        }
      }
    if (cheapest) rent(*cheapest, more, now);
  }

  // Underwhelmed: empty for about as long as keeping it costs what booting another would. Dearest first.
  auto price_of = [this](const Machine* machine) {
    const auto* type = type_of(*machine);
    return machine->spot ? type->spot_price : type->price;
  };
  std::sort(idle.begin(), idle.end(),
            [&](const Machine* a, const Machine* b) { return price_of(a) > price_of(b); });
  std::vector<MachineId> back;
  std::size_t idle_left = idle.size();
  for (const Machine* machine : idle) {
    const double boots = machine->spot ? limits::kHoldBoots : limits::kHoldBootsOrdinary;
    if (now - machine->idle_since < boots * type_of(*machine)->boot_s) continue;
    ++count_.underwhelmed;
    if (idle_left <= wanted_free || fleet - back.size() <= config_.min_machines) break;
    back.push_back(machine->id);
    --idle_left;
  }
  give_back(std::move(back), now);
}

}  // namespace dockdyke::core
