#include "peer/peer_messages.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <exception>
#include <sstream>
#include <utility>

namespace dockdyke::peer {

// cereal finds these functions by argument-dependent lookup. The field order determines the byte order.

template <class Archive>
void serialize(Archive& archive, ForwardedRequest& message) {
  archive(message.kind, message.job, message.body);
}

template <class Archive>
void serialize(Archive& archive, ForwardedResponse& message) {
  archive(message.handled, message.status, message.retry_after_s, message.body);
}

template <class Archive>
void serialize(Archive& archive, PolledJobStatus& message) {
  archive(message.status, message.job.state, message.job.done_tasks, message.job.running_tasks);
}

template <class Archive>
void serialize(Archive& archive, PeerStatus& message) {
  archive(message.leading, message.token, message.state_reachable, message.recent_heartbeats);
}

namespace {

template <class Message>
std::string encode_binary(const Message& message) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(message);
  }
  return out.str();
}

template <class Message>
std::optional<Message> decode_binary(const std::string& bytes) {
  try {
    std::istringstream in(bytes);
    cereal::PortableBinaryInputArchive archive(in);
    Message message;
    archive(message);
    return message;
  } catch (const std::exception&) {
    // The bytes are truncated, or a length field is too large to allocate.
    return std::nullopt;
  }
}

}  // namespace

std::optional<ForwardedRequest> decode_forwarded_request(const std::string& bytes) {
  return decode_binary<ForwardedRequest>(bytes);
}
std::string encode(const ForwardedRequest& message) {
  return encode_binary(message);
}
std::optional<ForwardedResponse> decode_forwarded_response(const std::string& bytes) {
  return decode_binary<ForwardedResponse>(bytes);
}
std::string encode(const ForwardedResponse& message) {
  return encode_binary(message);
}
std::optional<std::vector<std::string>> decode_job_ids(const std::string& bytes) {
  return decode_binary<std::vector<std::string>>(bytes);
}
std::string encode(const std::vector<std::string>& job_ids) {
  return encode_binary(job_ids);
}
std::optional<std::vector<PolledJobStatus>> decode_job_statuses(const std::string& bytes) {
  return decode_binary<std::vector<PolledJobStatus>>(bytes);
}
std::string encode(const std::vector<PolledJobStatus>& statuses) {
  return encode_binary(statuses);
}
std::optional<PeerStatus> decode_peer_status(const std::string& bytes) {
  return decode_binary<PeerStatus>(bytes);
}
std::string encode(const PeerStatus& message) {
  return encode_binary(message);
}

ForwardedResponse to_forwarded_response(const net::HttpResponse& response) {
  return {true, response.status, response.retry_after_s.value_or(0), response.body};
}

net::HttpResponse to_http_response(ForwardedResponse response) {
  net::HttpResponse http_response{response.status, std::move(response.body), std::nullopt};
  if (response.retry_after_s > 0) http_response.retry_after_s = response.retry_after_s;
  return http_response;
}

}  // namespace dockdyke::peer
