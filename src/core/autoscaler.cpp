// How many machines: the fleet's changes by cloud answers and lists, and the design's tick.
#include <algorithm>
#include <cmath>

#include "constants.hpp"
#include "core/cluster.hpp"

namespace dockdyke::core {

using wire::InstanceState;

// ---- What the cloud says ----------------------------------------------------------------------------------

void Cluster::on(const MachineTypesChanged& event, Time) {
  // A type that is offered no more keeps its number, since machines of it may be up, but no zone to rent it
  // in.
  for (auto& type : types_) type.zones.clear();
  for (const auto& type : event.types) {
    const auto known = type_number(type.name);
    if (known == kNoType) {
      types_.push_back(type);
    } else {
      types_[known] = type;
    }
  }
  for (auto& [id, job] : jobs_) update_compatible_types(job);
  for (auto& [id, machine] : machines_)
    if (!machine.type.empty()) describe(machine, machine.type, machine.zone, machine.spot);
  place_wanted_ = true;
}

void Cluster::on(const ScaleOutLoaded& event, Time now) {
  // Recorded by an earlier leader and perhaps never answered: asked again under the same name.
  rents_.try_emplace(event.request.id, PendingScaleOut{event.request, now});
  effects_.push(RequestScaleOut{event.request, true});
}

void Cluster::on(const ScaleInLoaded& event, Time now) {
  for (const auto& id : event.machines) machine_named(id, now).scale_in_requested = true;
  effects_.push(RequestScaleIn{event.key, event.machines, true});
}

void Cluster::on(const ScaleOutGranted& event, Time now) {
  auto found = rents_.find(event.id);
  if (found == rents_.end()) return;
  const PendingScaleOut pending = found->second;
  rents_.erase(found);
  for (const auto& id : event.machines) {
    if (tombstones_.contains(id)) continue;
    Machine& machine = machine_named(id, now);
    describe(machine, pending.request.type, pending.request.zone, pending.request.spot);
    machine.rented_at = std::min(machine.rented_at, pending.since);
  }
  const InstanceOffering offer = offering_of(pending.request);
  if (event.machines.size() < pending.request.count) {
    // Partly filled: this offer is empty for now.
    refusals_[offer] = {now + constants::kOfferingBackoffInitial, constants::kOfferingBackoffInitial};
  } else {
    refusals_.erase(offer);
  }
}

void Cluster::on(const ScaleOutRefused& event, Time now) {
  auto found = rents_.find(event.id);
  if (found == rents_.end()) return;
  const auto& request = found->second.request;
  OfferingBackoff& refusal = refusals_[offering_of(request)];
  refusal.delay_s = refusal.delay_s == 0 ? constants::kOfferingBackoffInitial
                                         : std::min(constants::kOfferingBackoffMax, 2 * refusal.delay_s);
  refusal.until = now + refusal.delay_s;
  rents_.erase(found);
}

void Cluster::on(const MachinesDeleted& event, Time now) {
  for (const auto& id : event.machines) machine_gone(id, now);
}

void Cluster::on(const MachinesListed& event, Time now) {
  std::set<MachineId> listed;
  std::vector<MachineId> failed;
  for (const auto& each : event.machines) {
    listed.insert(each.id);
    if (tombstones_.contains(each.id)) continue;
    Machine& machine = machine_named(each.id, now);
    if (!machine.listed) {
      machine.listed = true;
      machine.rented_at = std::min(machine.rented_at, now - each.age_s);
      if (machine.type.empty()) describe(machine, each.type, each.zone, each.spot);
    }
    machine.missed_listings = 0;
    if (each.state == InstanceState::failed) {
      release_all(machine, now);
      machine.state = MachineState::gone;
      if (!machine.scale_in_requested) failed.push_back(each.id);
    } else if (each.state == InstanceState::running && machine.state == MachineState::booting) {
      machine.state = MachineState::up;  // its first report is due; its silence counts from here
      machine.last_heartbeat_at = now;
    }
  }
  for (auto& [id, machine] : machines_)
    if (machine.listed && !listed.contains(id)) ++machine.missed_listings;
  give_back(std::move(failed), now);
}

// ---- The tick ---------------------------------------------------------------------------------------------

bool Cluster::resting(const InstanceOffering& offer, Time now) const {
  auto refusal = refusals_.find(offer);
  return refusal != refusals_.end() && now < refusal->second.until;
}

bool Cluster::late(const Machine& machine, Time now) const {
  const auto* type = type_of(machine);
  return type && now - machine.rented_at > constants::kLateBootFactor * type->boot_s;
}

void Cluster::give_back(std::vector<MachineId> ids, Time) {
  // As many names as one deletion and one value take.
  constexpr std::size_t kAroundNames = 32;
  constexpr std::size_t kAroundName = 3;
  for (std::size_t next = 0; next < ids.size();) {
    RequestScaleIn effect{
        key::kScaleInPrefix + std::to_string(token_.value) + "-" + std::to_string(next_return_++), {}, false};
    std::size_t bytes = kAroundNames;
    while (next < ids.size() && effect.machines.size() < constants::kMaxMachinesPerDeletion) {
      bytes += ids[next].value.size() + kAroundName;
      if (bytes > config_.max_value_bytes && !effect.machines.empty()) break;
      machines_.at(ids[next]).scale_in_requested = true;
      effect.machines.push_back(ids[next++]);
    }
    effects_.push(std::move(effect));
  }
}

void Cluster::review_machines(Time now) {
  std::vector<MachineId> lost;
  for (auto& [id, machine] : machines_) {
    if (machine.scale_in_requested) continue;
    const auto* type = type_of(machine);
    const double unheard = now - machine.last_heartbeat_at;
    // Our answers have not reached it for longer than its lease lasts without them.
    const bool deaf =
        machine.undelivered_responses >= constants::kUndeliveredResponsesThreshold &&
        now - machine.undelivered_since > config_.worker_lease_s + constants::kLeaseExpiryMargin;
    bool give_up = false;
    if (machine.state == MachineState::gone) {
      give_up = true;
    } else if (machine.state == MachineState::booting) {
      // One known only from a record and shown by no list is most likely gone; deleting it is the proof.
      give_up = type ? now - machine.rented_at > constants::kLostBootFactor * type->boot_s
                     : !machine.listed && now - machine.rented_at > 2 * config_.machine_list_lag_s +
                                                                        constants::kUnknownMachineGrace;
    } else if (silent(machine, now)) {
      give_up = machine.missed_listings >= constants::kMissedListingsThreshold ||
                (machine.terminates_at && now > *machine.terminates_at) ||
                unheard > config_.worker_lease_s + constants::kSilentMachineGrace;
    } else if (deaf) {
      give_up = machine.assignments.empty() || !machine.token_acknowledged;
    } else if (machine.draining) {
      give_up = machine.assignments.empty();
    }
    if (give_up) lost.push_back(id);
  }
  give_back(std::move(lost), now);
}

void Cluster::rent(const InstanceOffering& offer, std::size_t count, Time now) {
  wire::ScaleOutRequest rental;
  // The token is this leadership's alone, so the name was never used before and never will be.
  rental.id = ScaleOutId("r-" + std::to_string(token_.value) + "-" + std::to_string(next_rent_++));
  rental.type = offer.type;
  rental.zone = offer.zone;
  rental.spot = offer.spot;
  rental.count = std::min<std::uint64_t>(count, constants::kMaxMachinesPerScaleOut);
  rents_[rental.id] = {rental, now};
  effects_.push(RequestScaleOut{rental, false});
}

std::map<InstanceOffering, OfferingUsage> Cluster::usage_by_offering() const {
  std::map<InstanceOffering, OfferingUsage> out;
  for (const auto& [id, machine] : machines_) {
    if (machine.state == MachineState::gone) continue;
    OfferingUsage& use = out[{machine.type, machine.zone, machine.spot}];
    ++use.machines;
    use.booting += machine.state == MachineState::booting;
    use.empty += machine.state == MachineState::up && machine.assignments.empty();
    if (const auto* type = type_of(machine)) use.cpus += type->size.cpus;
    use.cpus_used += machine.used.cpus;
  }
  return out;
}

AssignmentCounts Cluster::assignment_counts() const {
  AssignmentCounts out;
  for (const auto& [id, job] : jobs_)
    for (const auto& [index, assignment] : job.assignments) {
      out.never_dispatched += assignment.never_dispatched();
      out.fetching += assignment.observed && assignment.state == wire::TaskState::fetching;
      out.running += assignment.observed && assignment.state == wire::TaskState::running;
    }
  return out;
}

std::size_t Cluster::fleet_size() const {
  std::size_t size = 0;
  for (const auto& [id, machine] : machines_)
    size += !machine.scale_in_requested && machine.state != MachineState::gone;
  for (const auto& [id, pending] : rents_) size += pending.request.count;
  return size;
}

void Cluster::replace_ordinary(std::size_t most, Time now) {
  // Work on ordinary machines that may use spot ones: these cost a fraction, and once they are up the
  // ordinary ones run empty and go back. Only a load that has lasted counts, as a boot outlasts most single
  // tasks.
  std::map<std::string, double> load;
  std::map<std::string, double> coming;
  for (const auto& [id, machine] : machines_) {
    if (machine.scale_in_requested || !type_of(machine)) continue;
    if (machine.spot) {
      const bool ready = accepts(machine, now) && machine.assignments.empty();
      if (ready || (machine.state == MachineState::booting && !late(machine, now))) coming[machine.type] += 1;
    } else if (machine.state == MachineState::up && !machine.assignments.empty()) {
      load[machine.type] += std::all_of(machine.assignments.begin(), machine.assignments.end(),
                                        [](const auto& task) { return task.job->spec.spot_allowed; });
    }
  }
  for (const auto& [id, pending] : rents_)
    if (pending.request.spot) coming[pending.request.type] += static_cast<double>(pending.request.count);
  // The memory outlasts the load: alone it went on renting for two minutes after the last job of a day.
  const bool any_work = std::any_of(jobs_.begin(), jobs_.end(), [](const auto& each) {
    return !each.second.cancelled && !each.second.complete();
  });
  for (const auto& type : types_) {
    const auto& name = type.name;
    double& lasting = ordinary_load_[name];
    lasting += constants::kOnDemandLoadSmoothing * (load[name] - lasting);
    if (!any_work || lasting - coming[name] < constants::kSpotReplacementThreshold || most == 0 ||
        type.spot_price >= type.price)
      continue;
    std::optional<InstanceOffering> offer;
    for (const auto& zone : type.zones)
      if (!offer && !resting({name, zone, true}, now)) offer = InstanceOffering{name, zone, true};
    if (!offer) continue;
    // One at a time where one makes up for it; a large load in one full call.
    const auto count = std::min<std::size_t>(
        {most, constants::kMaxMachinesPerScaleOut,
         std::max<std::size_t>(
             1, static_cast<std::size_t>((lasting - coming[name]) * constants::kSpotReplacementShare))});
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
    if (machine.scale_in_requested || machine.state == MachineState::gone) continue;
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
    if (machine.assignments.empty()) {
      idle.push_back(&machine);
    } else if (load >= constants::kNearlyDoneProgress) {
      ++count_.overwhelmed;
    }
  }
  for (const auto& [id, pending] : rents_) count_.booting += pending.request.count;
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
    std::optional<InstanceOffering> cheapest;
    double price = 0;
    for (const auto& type : types_)
      for (const auto& zone : type.zones) {
        const InstanceOffering offer{type.name, zone, true};
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
    const double boots = machine->spot ? constants::kSpotIdleBootShare : constants::kOnDemandIdleBootShare;
    if (machine->reserved_for_gang != 0 || machine->in_gang_reserve) continue;
    if (now - machine->idle_since < boots * type_of(*machine)->boot_s) continue;
    ++count_.underwhelmed;
    if (idle_left <= wanted_free || fleet - back.size() <= config_.min_machines) break;
    back.push_back(machine->id);
    --idle_left;
  }
  give_back(std::move(back), now);
}

}  // namespace dockdyke::core
