#include "store/service_call.hpp"

namespace dockdyke::store {

net::Task<ServiceReply> call_service(net::Transport& transport, net::Address service, ServiceRequest request,
                                     net::Duration timeout) {
  ServiceReply reply;
  reply.call.method = request.method;
  reply.call.target = request.target;
  net::CallResult result = co_await transport.call(
      service, std::move(request.method), std::move(request.target), std::move(request.body), timeout);
  reply.never_sent = result.never_sent;
  if (!result.response) co_return reply;
  reply.call.status = result.response->status;
  if (result.response->body.empty()) {
    reply.body.emplace();
  } else {
    reply.body = wire::decode(result.response->body);
  }
  co_return reply;
}

}  // namespace dockdyke::store
