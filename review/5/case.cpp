// A task that is assigned when the state service goes out, on a machine that is then taken out of use.
#include "../stand-ins-2/lab.hpp"

using namespace lab;

namespace {

constexpr double kOutageSeconds = 15;  // the sites' pages have 15, 20 and 25 s
constexpr double kMaxWaitSeconds = 90;

int play(Deployment& d) {
  const std::string first = "job-000101", second = "job-000102", waiting = "job-000103", later = "job-000104",
                    probe = "job-000105";
  d.cloud.capacity = 1;
  d.start_all();
  if (!d.wait_ready(15)) return 2;
  const int leader = d.leader();

  // Two jobs that were submitted with a mistake: their tasks fail after 5 s.
  if (d.submit(leader, {d.spec(first, 1, 4), 5, true}) != 201) return 2;
  if (d.submit(leader, {d.spec(second, 1, 4), 5, true}) != 201) return 2;
  for (const double ends = now_s() + 15; d.events.count(first + "/0", "start") == 0 ||
                                         d.events.count(second + "/0", "start") == 0;) {
    if (now_s() > ends) return 2;
    sleep_s(0.05);
  }

  // The state service goes out right after it has stored the third job, and is back 15 s later.
  std::atomic<bool> stored{false};
  d.state.on_applied = [&](const Json& apply) {
    for (const auto& change : apply)
      if (change.contains("write") && change["write"].get<std::string>().find(waiting) != std::string::npos)
        if (!stored.exchange(true) && trouble()) d.state.set_out(true);
  };
  if (d.submit(leader, {d.spec(waiting, 1, 4), 3, false}) != 201 || !stored) return 2;
  const double accepted_at = now_s();
  while (now_s() < accepted_at + kOutageSeconds) sleep_s(0.05);
  d.cloud.capacity = 1000;
  if (trouble()) d.state.set_out(false);
  const double over_at = now_s();

  // The users call the two jobs off. A later job runs on another machine, which has room for three more such tasks.
  sleep_s(1);
  const bool called_off = d.withdraw(leader, first, 20) == "cancelled" && d.withdraw(leader, second, 20) == "cancelled";
  if (!called_off) return 2;
  if (d.submit(leader, {d.spec(later, 1, 4), 300, false}) == 0) return 2;

  // From now on: is the third job left waiting for 90 s while the other machine has room for it?
  std::string machine;  // of the later job
  double room_since = 0;
  bool probed = false;
  for (; now_s() < 117; sleep_s(0.1)) {
    if (d.events.count(waiting + "/0", "start") > 0) {
      const auto stage = d.wait_stage(waiting, "done", 20);
      record("check: the task of %s was started, stage %s", waiting.c_str(), stage.c_str());
      return stage == "done" ? 0 : 2;
    }
    for (const auto& event : d.events.all())
      if (machine.empty() && event.piece == later + "/0" && event.what == "start") machine = event.machine;
    const auto worker = d.cloud.worker(machine);
    if (!worker || worker->free_cpus() < 4) {
      room_since = 0;
      continue;
    }
    if (room_since == 0) {
      room_since = now_s();
      record("check: %s is up, runs %s and has room for %s", machine.c_str(), later.c_str(), waiting.c_str());
    }
    // A last job, as large and submitted long after, shows that the room can be used.
    if (!probed && now_s() > room_since + 30) {
      probed = true;
      if (d.submit(leader, {d.spec(probe, 1, 4), 3, false}) == 0 || d.wait_stage(probe, "done", 20) != "done") return 2;
    }
    if (now_s() > room_since + kMaxWaitSeconds) break;
  }
  if (room_since == 0 || now_s() <= room_since + kMaxWaitSeconds || !probed) return 2;
  const auto stage = d.poll(d.leader(), waiting);
  record("check: %s, accepted at %.1f, has had no start for %.1f s since the end of the outage; %s has had room for it for "
         "%.1f s. Its stage is %s, and %s, submitted later, is done",
         waiting.c_str(), accepted_at, now_s() - over_at, machine.c_str(), now_s() - room_since, stage.c_str(),
         probe.c_str());
  return stage == "pending" ? 1 : 2;
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, play); }
