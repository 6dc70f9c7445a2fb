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
  types_.clear();
  for (const auto& type : command.types) types_[type.name] = type;
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
    machine.type = pending.rental.type;
    machine.zone = pending.rental.zone;
    machine.spot = pending.rental.spot;
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
      if (machine.type.empty()) {
        machine.type = each.type;
        machine.zone = each.zone;
        machine.spot = each.spot;
      }
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
  const auto* type = type_named(machine.type);
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
    const auto* type = type_named(machine.type);
    const double unheard = now - machine.last_report;
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
    } else if (machine.draining) {
      give_up = machine.placements.empty();
    }
    if (give_up) lost.push_back(id);
  }
  give_back(std::move(lost), now);
}

std::optional<Offer> Cluster::best_offer(const Job& job, std::size_t tasks, bool ordinary,
                                         const std::set<std::string>& avoided,
                                         const std::set<std::string>& zones,
                                         const std::map<Offer, std::size_t>& planned, Time now) const {
  std::map<std::string, std::size_t> in_zone;
  for (const auto& [offer, count] : planned) in_zone[std::get<1>(offer)] += count;
  for (const auto& [id, machine] : machines_) ++in_zone[machine.zone];
  for (const auto& [id, pending] : rents_) in_zone[pending.rental.zone] += pending.rental.count;
  std::optional<Offer> best;
  std::pair<double, std::size_t> best_rank;
  for (const auto& [name, type] : types_) {
    const auto fit = fitting(job.spec.each, type.size);
    if (fit == 0 || avoided.contains(name)) continue;
    const double machines = std::ceil(static_cast<double>(tasks) / static_cast<double>(fit));
    for (const auto& zone : type.zones) {
      if (!zones.contains(zone)) continue;
      for (bool spot : {true, false}) {
        if (!allowed_on(job, name, zone, spot) || (!spot && !ordinary)) continue;
        if (resting({name, zone, spot}, now)) continue;
        const double price = (spot ? type.spot_price : type.price) * machines;
        const std::pair rank(price, in_zone[zone]);
        if (!best || rank < best_rank) {
          best = Offer{name, zone, spot};
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
  const bool has_goal = ranked.goal < goals_s(job).size();
  return has_goal && ranked.due - now - expected_s(job) - quickest_boot_s(job) < limits::kOrdinarySlack;
}

std::map<Offer, std::size_t> Cluster::needed_machines(std::size_t most, Time now) {
  struct Bin {
    std::string type;
    std::string zone;
    bool spot;
    wire::Resources room;
  };
  std::vector<Bin> bins;
  for (const auto& [id, machine] : machines_) {
    const auto* type = type_named(machine.type);
    if (!type || machine.returning || machine.draining || machine.ends_at) continue;
    wire::Resources free = room(machine);
    if (machine.state == MachineState::up) {
      if (!accepts(machine, now)) continue;
      for (const auto& task : machine.placements) {
        const Job& job = jobs_.at(task.job);
        if (frees_soon(job, job.placements.at(task.index), now)) free += job.spec.each;
      }
    } else if (machine.state != MachineState::booting || late(machine, now)) {
      continue;
    }
    bins.push_back({machine.type, machine.zone, machine.spot, free});
  }
  for (const auto& [id, pending] : rents_) {
    const auto* type = type_named(pending.rental.type);
    if (!type) continue;
    for (std::uint64_t i = 0; i < pending.rental.count; ++i)
      bins.push_back({type->name, pending.rental.zone, pending.rental.spot, type->size});
  }

  std::map<Offer, std::size_t> needed;
  count_.waiting_tasks = 0;
  std::size_t looked_at = 0;
  std::map<std::string, std::size_t> limit_taken;
  const auto ranking = ranked_jobs(now);
  const auto scarce = scarce_types(ranking, now);
  for (const auto& ranked : ranking) {
    const Job& job = *ranked.job;
    if (now < job.not_before || looked_at >= limits::kDemandTasks) continue;
    const std::size_t allowed = limit_room(job);
    std::size_t left = std::min<std::size_t>({job.waiting(), allowed, limits::kDemandTasks - looked_at});
    looked_at += left;
    count_.waiting_tasks += left;
    auto zones = zone_room(job);
    const auto avoided = avoided_types(ranked, scarce, now);
    auto take = [&](Bin& bin) {
      auto zone = zones.find(bin.zone);
      if (zone == zones.end() || avoided.contains(bin.type) || !allowed_on(job, bin.type, bin.zone, bin.spot))
        return;
      const std::size_t n = std::min({left, fitting(job.spec.each, bin.room), zone->second});
      if (n == 0) return;
      bin.room -= job.spec.each * static_cast<double>(n);
      left -= n;
      if (job.spec.spread) zone->second -= n;
      if (job.spec.one_zone)
        for (auto& [name, open] : zones)
          if (name != bin.zone) open = 0;
    };
    for (auto& bin : bins) {
      if (left == 0) break;
      take(bin);
    }
    // A short wait for machines that are about to free; a task no present machine could hold rents at once.
    const bool any_holds = std::any_of(bins.begin(), bins.end(), [&](const Bin& bin) {
      const auto* type = type_named(bin.type);
      return type && allowed_on(job, bin.type, bin.zone, bin.spot) && job.spec.each.fits_into(type->size);
    });
    if (any_holds && now - job.waiting_since < limits::kShortWait) continue;
    const bool ordinary = needs_ordinary(ranked, now);
    while (left > 0 && most > 0) {
      std::set<std::string> open;
      for (const auto& [zone, n] : zones)
        if (n > 0) open.insert(zone);
      const auto offer = best_offer(job, left, ordinary, avoided, open, needed, now);
      if (!offer) break;
      const auto& [type, zone, spot] = *offer;
      bins.push_back({type, zone, spot, type_named(type)->size});
      ++needed[*offer];
      --most;
      const auto before = left;
      take(bins.back());
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
    if (const auto* type = type_named(machine.type)) use.cpus += type->size.cpus;
    use.cpus_used += machine.used.cpus;
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
  for (const auto& [offer, machines] : needed_machines(most, now)) {
    if (calls-- == 0) break;
    rent(offer, machines, now);
    renting += machines;
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
    if (machine.returning || !type_named(machine.type)) continue;
    if (machine.spot) {
      const bool ready = accepts(machine, now) && machine.placements.empty();
      if (ready || (machine.state == MachineState::booting && !late(machine, now))) coming[machine.type] += 1;
    } else if (machine.state == MachineState::up && !machine.placements.empty()) {
      load[machine.type] +=
          std::all_of(machine.placements.begin(), machine.placements.end(),
                      [&](const auto& task) { return jobs_.at(task.job).spec.spot_allowed; });
    }
  }
  for (const auto& [id, pending] : rents_)
    if (pending.rental.spot) coming[pending.rental.type] += static_cast<double>(pending.rental.count);
  // The memory outlasts the load: alone it went on renting for two minutes after the last job of a day.
  const bool any_work = std::any_of(jobs_.begin(), jobs_.end(), [](const auto& each) {
    return !each.second.cancelled && !each.second.complete();
  });
  for (const auto& [name, type] : types_) {
    double& lasting = ordinary_load_[name];
    lasting += limits::kLoadSmoothing * (load[name] - lasting);
    if (!any_work || lasting - coming[name] < limits::kReplaceAt || most == 0 ||
        type.spot_price >= type.price)
      continue;
    std::optional<Offer> offer;
    for (const auto& zone : type.zones)
      if (!offer && !resting({name, zone, true}, now)) offer = Offer{name, zone, true};
    if (!offer) continue;
    rent(*offer, 1, now);
    --most;
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
    const auto* type = type_named(machine.type);
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
    for (const auto& [name, type] : types_)
      for (const auto& zone : type.zones) {
        const Offer offer{name, zone, true};
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
    const auto* type = type_named(machine->type);
    return machine->spot ? type->spot_price : type->price;
  };
  std::sort(idle.begin(), idle.end(),
            [&](const Machine* a, const Machine* b) { return price_of(a) > price_of(b); });
  std::vector<MachineId> back;
  std::size_t idle_left = idle.size();
  for (const Machine* machine : idle) {
    const double boots = machine->spot ? limits::kHoldBoots : limits::kHoldBootsOrdinary;
    if (now - machine->idle_since < boots * type_named(machine->type)->boot_s) continue;
    ++count_.underwhelmed;
    if (idle_left <= wanted_free || fleet - back.size() <= config_.min_machines) break;
    back.push_back(machine->id);
    --idle_left;
  }
  give_back(std::move(back), now);
}

}  // namespace dockdyke::core
