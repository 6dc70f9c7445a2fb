// The platform's settings file and the operators' own settings.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "core/config.hpp"
#include "net/socket.hpp"

namespace dockdyke::app {

// Names the field that is missing or wrong.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct PeerController {
  std::string host;
  net::Address address;
};

struct Settings {
  std::string host;
  net::Address public_address;
  net::Address internal_address;
  net::Address cloud;
  net::Address state;
  std::vector<PeerController> peers;
  double state_rps = 0;
  double state_write_rps = 0;
  double state_write_rps_later =
      0;  // the limit after an announced change, without notice; the same without one
  std::size_t connections = 0;
  core::ClusterConfig cluster;
};

// Throws SettingsError.
Settings parse_settings(const std::string& text);
Settings load_settings(const std::string& file);

}  // namespace dockdyke::app
