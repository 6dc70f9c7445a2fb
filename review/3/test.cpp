// A machine fails every task that it starts, for a few seconds. A job whose only task failed there is never started
// again, although the machine is well, has room and completes other jobs.
#include "sites.hpp"

using namespace review;

namespace {

// The bound of the rule.
constexpr double kLeftWaitingS = 90;
constexpr double kEndAtS = 114;
constexpr double kCpus = 4;
constexpr double kRamGb = 14;

JobInfo make_job(const std::string& id, double run_s) {
  JobInfo job;
  job.spec = job_spec(id);
  job.spec.update({{"lane", "pesate"}, {"crew", "sensori"}, {"vcpus", kCpus}, {"ram_gb", kRamGb}, {"image_gb", 0.1},
                   {"expect_s", run_s}, {"mark_s", 30.0}, {"stow_s", 2.0}});
  job.run_s = run_s;
  return job;
}

int run(const std::string& command, const std::string& folder, const std::string& record_path, bool trouble) {
  // The objects live until the process ends, since threads of the stand-ins use them.
  Site site = arniaviva_trento();
  site.types[0].up_after_s = 2;  // "at times machines are up within a second or two"
  auto& world = *new World(site, record_path);
  auto& record = world.record;
  auto& controllers = *new Controllers(world, command, folder, 3);
  auto& state = *new StateService(world.site.state);
  auto& cloud = *new Cloud(world, controllers.public_ports(), controllers.names());
  const auto end = [&](int status, const std::string& text) {
    record.line(text);
    world.over = true;
    controllers.kill_all();
    return status;
  };
  for (const bool spot : {true, false})
    for (const std::string zone : {"trento", "milano"}) cloud.set_capacity("medio", zone, spot, 7);
  controllers.start_all(state, cloud);
  auto& users = *new Users(world, controllers.public_ports());

  // A long task keeps the first machine in use.
  users.submit(make_job("job-000001", 200));
  if (!wait_until([&] { return started(world, "job-000001"); }, 20)) return end(2, "the first job was not started");
  Worker* machine = cloud.workers().front();

  // The trouble: the machine fails every task that it starts, until the first of them has failed.
  if (trouble) {
    record.line(machine->id + " fails every task that it starts");
    machine->sick = true;
  }
  users.submit(make_job("job-000002", 10));
  if (!wait_until([&] { return started(world, "job-000002"); }, 10)) return end(2, "the second job was not started");
  if (trouble) {
    sleep_s(1);
    machine->sick = false;
    record.line("the trouble is over: " + machine->id + " is well");
  }

  // All troubles are over. The job waits from now on, or is started again.
  double waiting_since = record.now_s();
  double next_poll_at = 0;
  const double third_at = record.now_s() + 20;
  bool third_submitted = false;
  while (record.now_s() < kEndAtS) {
    if (record.now_s() > next_poll_at) {
      users.poll("job-000002");
      next_poll_at = record.now_s() + 5;
    }
    if (!third_submitted && record.now_s() > third_at) {
      third_submitted = true;
      users.submit(make_job("job-000003", 10));
    }
    const bool waits = !completed(world, "job-000002") && !on_a_machine(world, cloud, "job-000002") &&
                       machine_has_room(world, cloud, kCpus, kRamGb);
    if (!waits) waiting_since = record.now_s();
    const double waited_s = record.now_s() - waiting_since;
    if (waited_s > kLeftWaitingS) {
      record.broken("left_waiting",
                    "job-000002 has waited for " + std::to_string(waited_s) + " s although " + machine->id +
                        " has room for it; job-000003, as large, was " +
                        (completed(world, "job-000003") ? "completed meanwhile" : "not completed either"));
      return end(1, "the rule was broken");
    }
    sleep_s(0.1);
  }
  return end(0, "the rule held");
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  ::signal(SIGPIPE, SIG_IGN);
  const int status = run(argv[1], argv[2], argv[3], std::string(argv[4]) != "0");
  std::printf("case 3: %s\n", status == 1 ? "broken" : status == 0 ? "held" : "could not run");
  std::fflush(stdout);
  std::_Exit(status);
}
