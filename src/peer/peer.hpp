// What controllers say to each other: requests handed on to the leader, and who leads. Encoded with cereal.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/task.hpp"
#include "wire/messages.hpp"

namespace dockdyke::peer {

enum class RequestKind : std::uint8_t { submit, cancel };

struct ForwardedRequest {
  RequestKind kind = RequestKind::submit;
  std::string job;   // of a cancellation
  std::string body;  // of a submission, as the user sent it
};

struct ForwardedResponse {
  bool handled = false;  // false: not the leader
  std::int32_t status = 0;
  std::int32_t retry_after_s = 0;  // 0: none
  std::string body;
};

// What the leader says of a job: the status of an answer to a poll, and what it would hold.
struct PolledJobStatus {
  std::int32_t status = 0;  // 200, 404, or 503 where it can't tell
  wire::JobStatus job;
};

struct PeerStatus {
  bool leading = false;
  std::uint64_t token = 0;
  bool state_answers = false;
  std::uint64_t workers_heard = 0;  // reports that came to it lately
};

inline constexpr const char* kForwardPath = "/peer/forward";
inline constexpr const char* kPollPath = "/peer/poll";
inline constexpr const char* kStatusPath = "/peer/standing";
inline constexpr const char* kCancelledPath = "/peer/cancelled";
// Unknown to earlier versions, which answer 404.
inline constexpr const char* kWriteLimitPath = "/peer/write-limit";

// Nothing where the bytes are no such message. Jobs by name stand in questions and in news of cancellations.
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

ForwardedResponse to_answer(const net::HttpResponse& response);
net::HttpResponse to_response(ForwardedResponse answer);

// Hands a request to the leader; nothing when it does not answer quickly or does not lead.
net::Task<std::optional<net::HttpResponse>> forward(net::Transport& transport, net::Address leader,
                                                    ForwardedRequest request, double timeout_s);
// The leader's word on these jobs, in their order; nothing when it does not answer quickly or does not lead.
net::Task<std::optional<std::vector<PolledJobStatus>>> poll(net::Transport& transport, net::Address leader,
                                                            std::vector<JobId> jobs);
// Tells of a cancellation that is on record. Nothing rests on its arrival.
net::Task<void> notify_cancelled(net::Transport& transport, net::Address other, JobId job);
// Tells that the state service has put its announced lower limit of writes in force. Nothing rests on its
// arrival.
net::Task<void> notify_write_limit(net::Transport& transport, net::Address other);
net::Task<std::optional<PeerStatus>> fetch_status(net::Transport& transport, net::Address other);

}  // namespace dockdyke::peer
