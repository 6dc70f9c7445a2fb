// Reads the settings file of the deployment.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <vector>

#include "core/config.hpp"
#include "net/socket.hpp"

namespace dockdyke::app {

// Thrown if the settings cannot be read or are invalid. The message names the missing or invalid field.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Another controller of the deployment.
struct PeerController {
  std::string host;
  net::Address address;  // address of its internal port
};

struct Settings {
  std::string host;  // host name of this controller
  net::Address public_address;
  net::Address internal_address;
  net::Address cloud_address;
  net::Address state_service_address;
  std::vector<PeerController> peers;
  double state_service_rps = 0;        // requests per second allowed for all controllers together
  double state_service_write_rps = 0;  // writes per second allowed for all controllers together
  // Write limit after an announced reduction, which the state service may enforce at any time. Equal to
  // `state_service_write_rps` if no reduction is announced.
  double state_service_announced_write_rps = 0;
  std::size_t max_file_descriptors = 0;
  core::ClusterConfig cluster;
};

// Parses the text of a settings file and ignores unknown fields. Sets the limits of the fleet size to their
// defaults. Throws SettingsError.
Settings parse_settings(const std::string& text);
// Reads and parses a settings file of at most constants::kMaxSettingsBytes. Throws SettingsError.
Settings load_settings(const std::string& path);

}  // namespace dockdyke::app
