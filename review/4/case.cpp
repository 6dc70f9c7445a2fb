// A job bound to one zone moves from a machine that is taken back to another zone; a write lags, and the leader ends.
#include "../stand-ins-2/lab.hpp"

using namespace lab;

namespace {

constexpr double kLateSeconds = 12;   // a transaction without an answer is carried out 2 to 12 s later
constexpr double kNoticeSeconds = 7.5;  // nominally 15 s; a notice may be half as long

const std::string bound = "job-000201", filler = "job-000202";

bool wait_until(const std::function<bool()>& condition, double limit_s) {
  for (const double ends = now_s() + limit_s; now_s() < ends; sleep_s(0.05))
    if (condition()) return true;
  return false;
}

// Returns the machines, with their zones, that have a started task of the bound job.
std::map<std::string, std::string> zones_in_use(Deployment& d, const std::map<std::string, std::string>& zone_of) {
  std::map<std::string, std::string> active;  // piece and machine, zone
  for (const auto& event : d.events.all()) {
    if (job_of(event.piece) != bound) continue;
    const auto zone = zone_of.find(event.machine);
    if (event.what == "start") active[event.piece + " on " + event.machine] = zone == zone_of.end() ? "?" : zone->second;
    if (event.what != "start" && event.what != "run") active.erase(event.piece + " on " + event.machine);
  }
  return active;
}

int play(Deployment& d) {
  std::atomic<bool> late{false}, seen{false};
  // While `late` is set, the transactions that record the end of the bound job's tasks on the first machine get no answer
  // and are carried out 12 s later, as late_writes does to a share of the transactions.
  d.state.on_request = [&](const Message& request) -> std::optional<Answer> {
    if (!late || request.target != "/txn") return std::nullopt;
    const Json body = unpack(request.body);
    for (const auto& change : body["apply"]) {
      if (!change.contains("value") || change["write"].get<std::string>().rfind("page/", 0) != 0) continue;
      const Json entry = change["value"].value(bound, Json::object());
      if (!entry.contains("f")) continue;
      record("state service: no answer to the write of %s %s, carried out %.0f s later",
             change["write"].get<std::string>().c_str(), entry.dump().c_str(), kLateSeconds);
      seen = true;
      sleep_s(kLateSeconds);
      const Answer answer = d.state.carry_out(request);
      record("state service: late write of %s carried out: %d", change["write"].get<std::string>().c_str(), answer.status);
      return Answer{0, Json(), true};
    }
    return std::nullopt;
  };

  // The first machine, in trento, gets four of the bound job's eight tasks.
  d.cloud.set_zone_capacity("trento", 1);
  d.cloud.set_zone_capacity("milano", 0);
  d.start_all();
  if (!d.wait_ready(15)) return 2;
  auto spec = d.spec(bound, 8, 4);
  spec["same_place"] = true;
  spec["expect_s"] = 300.0;
  if (d.submit(d.leader(), {spec, 300, false}) != 201) return 2;
  if (!wait_until([&] { return d.events.count(bound + "/3", "start") > 0; }, 40)) return 2;
  const auto first = d.cloud.workers().front();
  if (first->zone() != "trento" || !first->spot()) return 2;

  // The second one, in milano, is full with another job.
  d.cloud.set_zone_capacity("milano", 1);
  auto other = d.spec(filler, 4, 4);
  other["polder"] = "milano";
  other["expect_s"] = 300.0;
  if (d.submit(d.leader(), {other, 300, false}) != 201) return 2;
  if (!wait_until([&] { return d.events.count(filler + "/3", "start") > 0; }, 40)) return 2;
  sleep_s(2);

  // The cloud takes the first machine back. The leader stops its tasks, which can now start in another zone.
  late = trouble();
  first->give_notice(kNoticeSeconds);
  const double notice_at = now_s();
  if (!wait_until([&] { return d.events.count(bound + "/3", "killed") > 0; }, 5)) return 2;
  if (trouble() && !wait_until([&] { return seen.load(); }, 5)) return 2;
  if (!trouble()) sleep_s(1.5);
  // A task of the other job ends, and one of the bound job takes its place in milano.
  d.jobs.finish(filler + "/0");
  const auto started_in_milano = [&] {
    for (const auto& event : d.events.all())
      if (job_of(event.piece) == bound && event.what == "start" && event.machine != first->id()) return true;
    return false;
  };
  if (!wait_until(started_in_milano, 5.5)) return 2;

  // The leader ends, and comes back 6 s later. From now on the cloud has machines in trento again.
  const int leader = d.leader();
  while (now_s() < notice_at + 6.8) sleep_s(0.05);
  if (trouble()) d.kill(leader, SIGKILL);
  const double ended_at = now_s();
  d.cloud.set_zone_capacity("trento", 5);
  std::map<std::string, std::string> zone_of{{first->id(), "trento"}};
  bool back = !trouble();
  while (now_s() < ended_at + 40) {
    for (const auto& worker : d.cloud.workers()) zone_of[worker->id()] = worker->zone();
    std::set<std::string> zones;
    std::string where;
    for (const auto& [task, zone] : zones_in_use(d, zone_of)) {
      zones.insert(zone);
      where += " " + task + " (" + zone + ")";
    }
    if (zones.size() > 1) {
      record("check: tasks of %s, all of which must be in the same zone, are on machines in two zones:%s", bound.c_str(),
             where.c_str());
      return 1;
    }
    if (!back && now_s() > ended_at + 6) {
      d.start(leader);
      back = true;
    }
    sleep_s(0.1);
  }
  record("check: all started tasks of %s are in one zone", bound.c_str());
  return d.poll(0, bound) == "running" || d.poll(1, bound) == "running" ? 0 : 2;
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, play); }
