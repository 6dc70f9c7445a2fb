#include "store/service_call.hpp"

namespace dockdyke::store {

net::Task<ServiceResponse> call_service(net::Transport& transport, net::Address service,
                                        ServiceRequest request, net::Duration timeout) {
  ServiceResponse response;
  response.call.method = request.method;
  response.call.target = request.target;
  net::CallResult result = co_await transport.call(
      service, std::move(request.method), std::move(request.target), std::move(request.body), timeout);
  response.never_sent = result.never_sent;
  if (!result.response) co_return response;
  response.call.status = result.response->status;
  if (result.response->body.empty()) {
    response.body.emplace();
  } else {
    response.body = wire::decode(result.response->body);
  }
  co_return response;
}

}  // namespace dockdyke::store
