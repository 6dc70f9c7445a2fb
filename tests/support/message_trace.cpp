#include "message_trace.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iomanip>
#include <sstream>
#include <stdexcept>

#include "wire/codec.hpp"

namespace dockdyke::testing {

namespace {

// Replaces the slashes in the names of parameterised tests.
std::string file_name(const ::testing::TestInfo& test) {
  std::string name = std::string(test.test_suite_name()) + "." + test.name() + ".trace";
  for (char& each : name)
    if (each == '/') each = '-';
  return name;
}

// Returns a MessagePack body as JSON, and any other, such as that of messages between controllers, in
// hexadecimal.
std::string body_text(const std::string& body) {
  if (const auto decoded = wire::decode(body)) return decoded->dump();
  std::ostringstream out;
  out << "0x" << std::hex << std::setfill('0');
  for (const char each : body) out << std::setw(2) << static_cast<unsigned>(static_cast<unsigned char>(each));
  return out.str();
}

}  // namespace

MessageTrace::MessageTrace() {
  const char* directory = std::getenv("DOCKDYKE_TRACE_DIR");
  const auto* test = ::testing::UnitTest::GetInstance()->current_test_info();
  if (!directory || !test) return;
  const std::string path = std::string(directory) + "/" + file_name(*test);
  // Appends, as a test may run several deployments.
  out_.open(path, std::ios::app);
  if (!out_) throw std::runtime_error("cannot write the trace " + path);
  out_ << std::fixed << std::setprecision(6) << "deployment\n";
}

void MessageTrace::request(double time_s, const std::string& from, const std::string& to,
                           const std::string& method, const std::string& target, const std::string& body) {
  if (!out_.is_open()) return;
  out_ << time_s << ' ' << from << " > " << to << ' ' << method << ' ' << target << ' ' << body_text(body)
       << '\n';
}

void MessageTrace::response(double time_s, const std::string& from, const std::string& target,
                            const net::HttpResponse& response) {
  if (!out_.is_open()) return;
  out_ << time_s << ' ' << from << " < " << target << ' ' << response.status << ' '
       << response.retry_after_s.value_or(0) << ' ' << body_text(response.body) << '\n';
}

}  // namespace dockdyke::testing
