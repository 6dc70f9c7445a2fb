// Messages between controllers, encoded with cereal's portable binary archive.
//
// Controllers of two versions run side by side during an upgrade, so fields must be neither reordered nor
// added. tests/core/stored_formats_test.cpp checks the encoded bytes.
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
  std::string job;   // id of the job to cancel; empty for a submission
  std::string body;  // the user's request body; empty for a cancellation
};

// The leader's response to a ForwardedRequest.
struct ForwardedResponse {
  bool handled = false;            // false: the receiver is not the leader; ignore the other fields
  std::int32_t status = 0;         // HTTP status
  std::int32_t retry_after_s = 0;  // 0: no Retry-After header
  std::string body;
};

// The response to a status request for one job.
struct PolledJobStatus {
  std::int32_t status = 0;  // HTTP status: 200, 404, or 503 if the leader cannot determine the job's state
  wire::JobStatus job;      // set if `status` is 200
};

// A controller's own status, requested by its peers.
struct PeerStatus {
  bool leading = false;
  std::uint64_t token = 0;  // its fencing token; 0 on a follower
  bool state_reachable = false;
  // Heartbeats received within the last constants::kHeartbeatCountWindowSeconds seconds.
  std::uint64_t recent_heartbeats = 0;
};

// Paths of the messages. The request body of kForwardPath is a ForwardedRequest, the response a
// ForwardedResponse.
inline constexpr const char* kForwardPath = "/peer/forward";
// The request body is a list of job ids. The response is a list of PolledJobStatus in the same order, or 503
// from a follower.
inline constexpr const char* kPollPath = "/peer/poll";
// The request has no data. The response is a PeerStatus.
inline constexpr const char* kStatusPath = "/peer/standing";
// The request body is a list of ids of jobs whose cancellation is durable.
inline constexpr const char* kCancelledPath = "/peer/cancelled";
// Notifies the receiver that the state service enforces its announced lower write limit. The previous
// version of the program responds with 404.
inline constexpr const char* kWriteLimitPath = "/peer/write-limit";

// Each decoder returns std::nullopt for truncated or invalid bytes.
std::optional<ForwardedRequest> decode_forwarded_request(const std::string& bytes);
std::string encode(const ForwardedRequest& message);
std::optional<ForwardedResponse> decode_forwarded_response(const std::string& bytes);
std::string encode(const ForwardedResponse& message);
std::optional<std::vector<std::string>> decode_job_ids(const std::string& bytes);
std::string encode(const std::vector<std::string>& job_ids);
std::optional<std::vector<PolledJobStatus>> decode_job_statuses(const std::string& bytes);
std::string encode(const std::vector<PolledJobStatus>& statuses);
std::optional<PeerStatus> decode_peer_status(const std::string& bytes);
std::string encode(const PeerStatus& message);

// Convert between the HTTP response to a user and the message that carries it from the leader to a follower.
ForwardedResponse to_forwarded_response(const net::HttpResponse& response);
net::HttpResponse to_http_response(ForwardedResponse response);

}  // namespace dockdyke::peer
