// Entry point of the controller: parses flags and settings, configures logging and runs the event loop.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

#include "app/controller.hpp"
#include "app/logging.hpp"
#include "app/settings.hpp"
#include "constants.hpp"
#include "net/http_client.hpp"
#include "net/loop.hpp"

namespace {

// Exit status for an invalid settings file; other errors exit with EXIT_FAILURE.
constexpr int kExitInvalidSettings = 2;

}  // namespace

int main(int argc, char** argv) {
  using namespace dockdyke;
  CLI::App program(
      "dockdyke schedules the jobs of a deployment onto cloud machines.\n"
      "LOG_LEVEL sets the log level on standard error: error (default), info or debug.");
  program.set_version_flag("--version", "dockdyke " DOCKDYKE_VERSION);
  std::string settings_path;
  std::uint32_t min_machines = constants::kDefaultMinMachines;
  std::uint32_t free_machines = constants::kDefaultFreeMachines;
  std::uint32_t max_machines = constants::kDefaultMaxMachines;
  program.add_option("--config", settings_path, "Settings file of the deployment (JSON)")->required();
  program.add_option("--min-machines", min_machines, "Minimum number of machines")
      ->envname("DOCKDYKE_MIN_MACHINES")
      ->capture_default_str();
  program.add_option("--free-machines", free_machines, "Number of free machines kept ready for bursts")
      ->envname("DOCKDYKE_FREE_MACHINES")
      ->capture_default_str();
  program.add_option("--max-machines", max_machines, "Maximum number of machines")
      ->envname("DOCKDYKE_MAX_MACHINES")
      ->capture_default_str();
  CLI11_PARSE(program, argc, argv);

  const char* level = std::getenv("LOG_LEVEL");
  if (!app::configure_logging(level ? level : "error"))
    std::cerr << "LOG_LEVEL: unknown level, using error\n";
  std::signal(SIGPIPE, SIG_IGN);
  try {
    auto settings = app::load_settings(settings_path);
    settings.cluster.min_machines = min_machines;
    settings.cluster.free_machines = free_machines;
    settings.cluster.max_machines = max_machines;
    net::Loop loop;
    net::HttpClient client(loop);
    app::Controller controller(loop, client, std::move(settings));
    controller.start();
    loop.run();
  } catch (const app::SettingsError& error) {
    std::cerr << "dockdyke: " << error.what() << '\n';
    return kExitInvalidSettings;
  } catch (const std::exception& error) {
    std::cerr << "dockdyke: " << error.what() << '\n';
    return EXIT_FAILURE;
  }
}
