// Messages between controllers, encoded with cereal's portable binary archive.
//
// Their bytes are a protocol of their own: controllers of two versions run side by side during an upgrade, so
// that fields are neither reordered nor added (tests/core/stored_formats_test.cpp pins them).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "net/http_server.hpp"
#include "wire/messages.hpp"

namespace dockdyke::peer {

enum class RequestKind : std::uint8_t { submit, cancel };

// A user's request that a follower forwards to the leader.
struct ForwardedRequest {
  RequestKind kind = RequestKind::submit;
  std::string job;   // of a cancellation
  std::string body;  // of a submission, as the user sent it
};

// The leader's response to it.
struct ForwardedResponse {
  bool handled = false;  // false: the receiver does not lead, and the other fields mean nothing
  std::int32_t status = 0;
  std::int32_t retry_after_s = 0;  // 0: none
  std::string body;
};

// A job's state as the leader knows it.
struct PolledJobStatus {
  std::int32_t status = 0;  // 200, 404, or 503 where the leader can't tell
  wire::JobStatus job;      // with status 200
};

// What a controller says of itself.
struct PeerStatus {
  bool leading = false;
  std::uint64_t token = 0;  // its fencing token; 0 on a follower
  bool state_reachable = false;
  std::uint64_t recent_heartbeats = 0;  // in the last constants::kHeartbeatCountWindowSeconds seconds
};

// A ForwardedRequest; the response is a ForwardedResponse.
inline constexpr const char* kForwardPath = "/peer/forward";
// A list of job ids; the response is a list of PolledJobStatus in their order, or 503 from a follower.
inline constexpr const char* kPollPath = "/peer/poll";
// The response is a PeerStatus.
inline constexpr const char* kStatusPath = "/peer/standing";
// A list of the ids of jobs whose cancellation is stored.
inline constexpr const char* kCancelledPath = "/peer/cancelled";
// The state service has put its announced lower limit of writes in force. Unknown to earlier versions, which
// respond with 404.
inline constexpr const char* kWriteLimitPath = "/peer/write-limit";

// Each decoder returns nothing where the bytes are no such message.
std::optional<ForwardedRequest> decode_forwarded(const std::string& bytes);
std::string encode(const ForwardedRequest& message);
std::optional<ForwardedResponse> decode_answer(const std::string& bytes);
std::string encode(const ForwardedResponse& message);
std::optional<std::vector<std::string>> decode_jobs(const std::string& bytes);
std::string encode(const std::vector<std::string>& jobs);
std::optional<std::vector<PolledJobStatus>> decode_polled(const std::string& bytes);
std::string encode(const std::vector<PolledJobStatus>& polled);
std::optional<PeerStatus> decode_status(const std::string& bytes);
std::string encode(const PeerStatus& message);

// The response to a user as a message of the leader, and back.
ForwardedResponse to_forwarded_response(const net::HttpResponse& response);
net::HttpResponse to_http_response(ForwardedResponse response);

}  // namespace dockdyke::peer
