#include "peer/peer.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <exception>
#include <sstream>
#include <utility>

#include "constants.hpp"

namespace dockdyke::peer {

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
  archive(message.status, message.job.state, message.job.done, message.job.running);
}

template <class Archive>
void serialize(Archive& archive, PeerStatus& message) {
  archive(message.leading, message.token, message.state_answers, message.workers_heard);
}

namespace {

template <class T>
std::string packed(const T& message) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(message);
  }
  return out.str();
}

template <class T>
std::optional<T> unpacked(const std::string& bytes) {
  try {
    std::istringstream in(bytes);
    cereal::PortableBinaryInputArchive archive(in);
    T message;
    archive(message);
    return message;
  } catch (const std::exception&) {
    // Too short, or a length that no memory could hold.
    return std::nullopt;
  }
}

net::Task<std::optional<std::string>> ask(net::Transport& transport, net::Address to, const char* path,
                                          std::string body, double timeout_s) {
  net::CallResult result =
      co_await transport.call(to, "POST", path, std::move(body), net::seconds(timeout_s));
  if (!result.response || result.response->status != 200) co_return std::nullopt;
  co_return std::move(result.response->body);
}

}  // namespace

std::optional<ForwardedRequest> decode_forwarded(const std::string& bytes) {
  return unpacked<ForwardedRequest>(bytes);
}
std::string encode(const ForwardedRequest& message) {
  return packed(message);
}
std::optional<ForwardedResponse> decode_answer(const std::string& bytes) {
  return unpacked<ForwardedResponse>(bytes);
}
std::string encode(const ForwardedResponse& message) {
  return packed(message);
}
std::optional<std::vector<std::string>> decode_jobs(const std::string& bytes) {
  return unpacked<std::vector<std::string>>(bytes);
}
std::string encode(const std::vector<std::string>& jobs) {
  return packed(jobs);
}
std::optional<std::vector<PolledJobStatus>> decode_polled(const std::string& bytes) {
  return unpacked<std::vector<PolledJobStatus>>(bytes);
}
std::string encode(const std::vector<PolledJobStatus>& polled) {
  return packed(polled);
}
std::optional<PeerStatus> decode_status(const std::string& bytes) {
  return unpacked<PeerStatus>(bytes);
}
std::string encode(const PeerStatus& message) {
  return packed(message);
}

ForwardedResponse to_answer(const net::HttpResponse& response) {
  return {true, response.status, response.retry_after_s.value_or(0), response.body};
}

net::HttpResponse to_response(ForwardedResponse answer) {
  net::HttpResponse response{answer.status, std::move(answer.body), std::nullopt};
  if (answer.retry_after_s > 0) response.retry_after_s = answer.retry_after_s;
  return response;
}

net::Task<std::optional<net::HttpResponse>> forward(net::Transport& transport, net::Address leader,
                                                    ForwardedRequest request, double timeout_s) {
  std::optional<std::string> body = co_await ask(transport, leader, kForwardPath, encode(request), timeout_s);
  if (!body) co_return std::nullopt;
  auto answer = decode_answer(*body);
  if (!answer || !answer->handled) co_return std::nullopt;
  co_return to_response(*std::move(answer));
}

net::Task<std::optional<std::vector<PolledJobStatus>>> poll(net::Transport& transport, net::Address leader,
                                                            std::vector<JobId> jobs) {
  std::vector<std::string> names;
  names.reserve(jobs.size());
  for (const auto& id : jobs) names.push_back(id.value);
  std::optional<std::string> body =
      co_await ask(transport, leader, kPollPath, encode(names), constants::kLeaderPollTimeout);
  if (!body) co_return std::nullopt;
  auto polled = decode_polled(*body);
  if (!polled || polled->size() != jobs.size()) co_return std::nullopt;
  co_return polled;
}

net::Task<void> notify_cancelled(net::Transport& transport, net::Address other, JobId job) {
  const std::vector<std::string> jobs{job.value};
  co_await ask(transport, other, kCancelledPath, encode(jobs), constants::kPeerCallTimeout);
}

net::Task<void> notify_write_limit(net::Transport& transport, net::Address other) {
  co_await ask(transport, other, kWriteLimitPath, "?", constants::kPeerCallTimeout);
}

net::Task<std::optional<PeerStatus>> fetch_status(net::Transport& transport, net::Address other) {
  std::optional<std::string> body =
      co_await ask(transport, other, kStatusPath, "?", constants::kPeerCallTimeout);
  if (!body) co_return std::nullopt;
  co_return decode_status(*body);
}

}  // namespace dockdyke::peer
