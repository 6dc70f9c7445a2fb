#include "peer/peer_messages.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <exception>
#include <sstream>
#include <utility>

namespace dockdyke::peer {

// cereal finds these by their name and argument types. The order of the fields is the order of the bytes.

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
    // Too short, or a length that no memory could hold.
    return std::nullopt;
  }
}

}  // namespace

std::optional<ForwardedRequest> decode_forwarded(const std::string& bytes) {
  return decode_binary<ForwardedRequest>(bytes);
}
std::string encode(const ForwardedRequest& message) {
  return encode_binary(message);
}
std::optional<ForwardedResponse> decode_answer(const std::string& bytes) {
  return decode_binary<ForwardedResponse>(bytes);
}
std::string encode(const ForwardedResponse& message) {
  return encode_binary(message);
}
std::optional<std::vector<std::string>> decode_jobs(const std::string& bytes) {
  return decode_binary<std::vector<std::string>>(bytes);
}
std::string encode(const std::vector<std::string>& jobs) {
  return encode_binary(jobs);
}
std::optional<std::vector<PolledJobStatus>> decode_polled(const std::string& bytes) {
  return decode_binary<std::vector<PolledJobStatus>>(bytes);
}
std::string encode(const std::vector<PolledJobStatus>& polled) {
  return encode_binary(polled);
}
std::optional<PeerStatus> decode_status(const std::string& bytes) {
  return decode_binary<PeerStatus>(bytes);
}
std::string encode(const PeerStatus& message) {
  return encode_binary(message);
}

ForwardedResponse to_forwarded_response(const net::HttpResponse& response) {
  return {true, response.status, response.retry_after_s.value_or(0), response.body};
}

net::HttpResponse to_http_response(ForwardedResponse response) {
  net::HttpResponse out{response.status, std::move(response.body), std::nullopt};
  if (response.retry_after_s > 0) out.retry_after_s = response.retry_after_s;
  return out;
}

}  // namespace dockdyke::peer
