// A user submits an array of 100,000 tasks with all amounts 0, by mistake. Afterwards no controller answers.
#include "sites.hpp"

using namespace review;

namespace {

// The bound of the rule: a job about which no question is answered for so long counts as forgotten.
constexpr double kForgottenAfterS = 75;
constexpr double kEndAtS = 115;

int run(const std::string& command, const std::string& folder, const std::string& record_path, bool trouble) {
  // The objects live until the process ends, since threads of the stand-ins use them.
  auto& world = *new World(actas_bogota(), record_path);
  auto& record = world.record;
  auto& controllers = *new Controllers(world, command, folder, 3);
  auto& state = *new StateService(world.site.state);
  auto& cloud = *new Cloud(world, controllers.public_ports(), controllers.names());
  cloud.add_machine("pesada", "chapinero", false);
  controllers.start_all(state, cloud);
  auto& users = *new Users(world, controllers.public_ports());

  // An ordinary job: one task of the class `rutina`.
  JobInfo minutes;
  minutes.spec = job_spec("job-000001");
  minutes.spec.update({{"vcpus", 32.0}, {"ram_gb", 58.0}, {"image_gb", 3.0}, {"expect_s", 180.0}, {"due_s", 550.0}});
  minutes.run_s = 180;
  if (users.submit(minutes) != 201) {
    record.line("the first job was not accepted");
    controllers.kill_all();
    return 2;
  }
  sleep_s(1);

  // The array. Without the disruption it takes what the class `urgente` takes.
  JobInfo array;
  array.spec = job_spec("job-000002");
  const double cpus = trouble ? 0.0 : 4.0;
  const double ram_gb = trouble ? 0.0 : 5.6;
  array.spec.update({{"lane", "urgente"}, {"crew", "voces"}, {"urgency", "high"}, {"pieces", 100000}, {"vcpus", cpus},
                     {"ram_gb", ram_gb}, {"hull", "img-02"}, {"expect_s", 0.1}});
  array.run_s = 0.1;
  const int submitted = users.submit(array);
  if (submitted == 400 || submitted == 422) {
    record.line("the array was refused: the rule held");
    controllers.kill_all();
    return 0;
  }

  // Users ask about the ordinary job every 5 s: one through the load balancer, and one at each node.
  auto& answered_at = *new std::atomic<double>(record.now_s());
  for (int node = -1; node < 3; ++node)
    std::thread([&, node] {
      while (!world.over) {
        if (!users.poll("job-000001", false, node).empty()) answered_at = record.now_s();
        sleep_s(5);
      }
    }).detach();
  double next_log_at = 0;
  while (record.now_s() < kEndAtS) {
    sleep_s(0.1);
    if (record.now_s() >= next_log_at) {
      next_log_at = record.now_s() + 10;
      for (std::size_t i = 0; i < controllers.size(); ++i)
        record.line("dyke-" + std::to_string(i) + ": processor time " + std::to_string(controllers.processor_s(i)) + " s");
    }
    const double unanswered_s = record.now_s() - answered_at;
    if (unanswered_s <= kForgottenAfterS) continue;
    record.broken("forgotten", "no question about job-000001 was answered for " + std::to_string(unanswered_s) +
                                   " s, at any node; controllers that ended by themselves: " +
                                   std::to_string(controllers.ends()));
    break;
  }
  const bool broken = record.count_broken("forgotten") > 0;
  record.line(broken ? "the rule was broken" : "the rule held");
  world.over = true;
  controllers.kill_all();
  return broken ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  ::signal(SIGPIPE, SIG_IGN);
  const int status = run(argv[1], argv[2], argv[3], std::string(argv[4]) != "0");
  std::printf("case 1: %s\n", status == 1 ? "broken" : status == 0 ? "held" : "could not run");
  std::fflush(stdout);
  std::_Exit(status);
}
