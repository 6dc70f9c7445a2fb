// A record of every message of a simulated deployment, for comparing the behaviour of two builds.
#pragma once

#include <fstream>
#include <string>

#include "net/http_parser.hpp"
#include "net/http_server.hpp"

namespace dockdyke::testing {

// Writes one line a message to `$DOCKDYKE_TRACE_DIR/<test>.trace`, in the order in which they are sent in
// simulated time: calls of controllers to any host, and responses of controllers to users and workers. Two
// builds that behave alike write the same bytes. Without the variable nothing is written.
//
// `tools/compare-traces` plays two commits and compares; CONTRIBUTING.md says when to use it.
class MessageTrace {
 public:
  MessageTrace();

  // A controller sends a request. `time_s`: simulated seconds since the deployment was started.
  void request(double time_s, const std::string& from, const std::string& to, const std::string& method,
               const std::string& target, const std::string& body);
  // A controller responds to a user, a worker or another controller.
  void response(double time_s, const std::string& from, const std::string& target,
                const net::HttpResponse& response);

 private:
  std::ofstream out_;  // closed where nothing is to be written
};

}  // namespace dockdyke::testing
