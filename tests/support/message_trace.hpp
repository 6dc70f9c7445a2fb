// Trace of all messages of a simulated deployment, for comparing the behaviour of two builds.
#pragma once

#include <fstream>
#include <string>

#include "net/http_parser.hpp"
#include "net/http_server.hpp"

namespace dockdyke::testing {

// Appends one line per message to `$DOCKDYKE_TRACE_DIR/<test>.trace`, in the order in which they are sent in
// simulated time: requests of controllers to any host, and responses of controllers. Two builds with the same
// behaviour write identical files. Writes nothing if the variable is not set.
//
// `tools/compare-traces` runs two commits and compares their traces.
class MessageTrace {
 public:
  MessageTrace();

  // Records a request of a controller. `time_s` is the simulated time since the start of the deployment.
  void request(double time_s, const std::string& from, const std::string& to, const std::string& method,
               const std::string& target, const std::string& body);
  // Records a response of a controller to a user, a worker or another controller.
  void response(double time_s, const std::string& from, const std::string& target,
                const net::HttpResponse& response);

 private:
  std::ofstream out_;  // not open if tracing is disabled
};

}  // namespace dockdyke::testing
