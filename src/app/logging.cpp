#include "app/logging.hpp"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <memory>

namespace dockdyke::app {

bool configure_logging(const std::string& level) {
  auto logger =
      std::make_shared<spdlog::logger>("dockdyke", std::make_shared<spdlog::sinks::stderr_sink_st>());
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e level=%l %v");
  spdlog::set_default_logger(logger);
  const bool is_known_level = level == "error" || level == "info" || level == "debug";
  spdlog::set_level(is_known_level ? spdlog::level::from_str(level == "error" ? "err" : level)
                                   : spdlog::level::err);
  return is_known_level;
}

}  // namespace dockdyke::app
