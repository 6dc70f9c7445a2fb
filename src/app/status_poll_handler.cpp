#include "app/status_poll_handler.hpp"

#include <utility>

#include "app/responses.hpp"
#include "constants.hpp"
#include "net/http_status.hpp"

namespace dockdyke::app {

using net::HttpResponse;
namespace http_status = net::http_status;

StatusPollHandler::StatusPollHandler(net::Loop& loop, TerminalJobCache& terminal_jobs,
                                     LeaderForwarder& forwarder, JobStatusReader& job_status_reader)
    : terminal_jobs_(terminal_jobs),
      batcher_(loop, {[&forwarder](std::vector<JobId> ids) { return forwarder.poll(std::move(ids)); },
                      [&job_status_reader](std::vector<JobId> ids) {
                        return job_status_reader.read(std::move(ids));
                      }}) {}

net::Task<HttpResponse> StatusPollHandler::poll(JobId id) {
  if (const auto* cached = terminal_jobs_.find(id))
    co_return msgpack_response(http_status::kOk, wire::job_status_response(id, *cached));
  const peer::PolledJobStatus polled =
      co_await batcher_.poll(id, net::seconds(constants::kPollTimeoutSeconds));
  if (polled.status == http_status::kServiceUnavailable) co_return service_unavailable();
  if (polled.status != http_status::kOk) co_return empty_response(polled.status);
  if (is_terminal(polled.job.state)) terminal_jobs_.insert(id, polled.job);
  co_return msgpack_response(http_status::kOk, wire::job_status_response(id, polled.job));
}

net::Task<std::vector<peer::PolledJobStatus>> StatusPollHandler::poll_for_peer(std::vector<JobId> ids) {
  std::vector<peer::PolledJobStatus> statuses =
      co_await batcher_.poll_all(std::move(ids), net::seconds(constants::kLeaderPollTimeoutSeconds));
  co_return statuses;
}

}  // namespace dockdyke::app
