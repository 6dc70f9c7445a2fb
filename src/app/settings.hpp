// The platform's settings file.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <vector>

#include "core/config.hpp"
#include "net/socket.hpp"

namespace dockdyke::app {

// The settings can't be used. Names the field that is missing or wrong.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Another controller of the deployment.
struct PeerController {
  std::string host;
  net::Address address;  // of its internal port
};

struct Settings {
  std::string host;  // this controller's name
  net::Address public_address;
  net::Address internal_address;
  net::Address cloud;
  net::Address state;
  std::vector<PeerController> peers;
  double state_rps = 0;              // calls per second that the state service takes from all controllers
  double state_write_rps = 0;        // writes among them
  double state_write_rps_later = 0;  // after an announced change without notice; the same without one
  std::size_t connections = 0;       // open descriptors
  core::ClusterConfig cluster;
};

// Parses the text of a settings file; unknown fields are ignored. Sizes of machines kept get their defaults.
// Throws SettingsError.
Settings parse_settings(const std::string& text);
// The same for a file, of at most constants::kMaxSettingsBytes. Throws SettingsError.
Settings load_settings(const std::string& file);

}  // namespace dockdyke::app
