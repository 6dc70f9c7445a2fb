#include "app/controller.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "app/leader_term.hpp"
#include "constants.hpp"

namespace dockdyke::app {

using net::HttpMessage;
using net::HttpResponse;

Controller::Controller(net::Loop& loop, net::Transport& transport, Settings settings)
    : loop_(loop),
      transport_(transport),
      settings_(std::move(settings)),
      state_(loop, transport, settings_.state_service_address,
             {settings_.state_service_rps, settings_.state_service_write_rps,
              settings_.state_service_announced_write_rps}),
      cloud_(loop, transport, settings_.cloud_address, settings_.cluster.cloud_rps),
      peer_notifier_(transport, settings_.peers),
      rate_shares_(state_, leadership_, peer_notifier_, settings_.peers.size()),
      election_(loop, state_, settings_.host, election_listener()),
      peer_monitor_(loop, transport, state_, election_, leadership_, settings_),
      forwarder_(loop, transport, state_, leadership_, settings_.peers),
      machine_type_refresher_(loop, cloud_, state_, leadership_, machine_types_),
      job_reader_(state_, leadership_, terminal_jobs_),
      job_status_reader_(loop, state_, settings_.cluster, leadership_, terminal_jobs_, job_reader_),
      feasibility_(settings_.cluster, machine_types_),
      submissions_(loop, state_, settings_.cluster, leadership_, feasibility_, job_reader_),
      polls_(loop, terminal_jobs_, forwarder_, job_status_reader_),
      cancellations_(loop, state_, settings_.cluster, leadership_, peer_notifier_, terminal_jobs_,
                     job_reader_),
      user_routes_(machine_types_, peer_monitor_, forwarder_, submissions_, polls_, cancellations_),
      worker_routes_(loop, leadership_, settings_.host),
      peer_routes_(state_, leadership_, worker_routes_, rate_shares_, submissions_, polls_, cancellations_) {
  rate_shares_.apply_shares();
}

// ---- Election ---------------------------------------------------------------------------------------------

store::Election::Listener Controller::election_listener() {
  store::Election::Listener listener;
  listener.on_leader_observed = [this](std::optional<std::string> host) {
    leadership_.set_leader_host(std::move(host));
  };
  listener.on_elected = [this](store::Leadership leadership, net::TimePoint requested_at) {
    begin_term(leadership, requested_at);
  };
  listener.on_renewed = [this](net::TimePoint requested_at) {
    if (leadership_.leading()) leadership_.term()->lease_renewed(requested_at);
  };
  listener.on_leadership_lost = [this](store::LeadershipEndReason reason) { end_term(reason); };
  return listener;
}

void Controller::begin_term(store::Leadership leadership, net::TimePoint requested_at) {
  LeaderTerm::Listener listener;
  listener.on_superseded = [this] { election_.step_down(store::LeadershipEndReason::superseded); };
  listener.on_job_completed = [this](const JobId& id, const wire::JobStatus& status) {
    terminal_jobs_.insert(id, status);
  };
  auto term =
      std::make_shared<LeaderTerm>(TermServices{loop_, state_, cloud_, transport_, max_held_responses()},
                                   settings_.cluster, leadership, requested_at, std::move(listener));
  leadership_.begin_term(term, settings_.host);
  rate_shares_.apply_shares();
  rate_shares_.update_term_write_rate();
  term->start(machine_types_.types());
}

void Controller::end_term(store::LeadershipEndReason reason) {
  if (const auto& term = leadership_.term())
    spdlog::info("event=leadership_lost token={} led_s={:.1f} reason={}", term->token().value, term->age_s(),
                 store::to_string(reason));
  leadership_.end_term();
  rate_shares_.apply_shares();
}

// ---- HTTP servers -----------------------------------------------------------------------------------------

std::size_t Controller::max_public_connections() const {
  const auto limit = settings_.max_file_descriptors;
  return limit > 2 * constants::kReservedSockets ? limit - constants::kReservedSockets : limit / 2;
}

std::size_t Controller::max_held_responses() const {
  return static_cast<std::size_t>(constants::kHeldResponseConnectionFraction *
                                  static_cast<double>(max_public_connections()));
}

void Controller::start_servers() {
  public_server_ = std::make_unique<net::HttpServer>(
      loop_, settings_.public_address, max_public_connections(),
      [this](HttpMessage request) { return handle_public(std::move(request)); });
  internal_server_ = std::make_unique<net::HttpServer>(
      loop_, settings_.internal_address, constants::kReservedSockets / 2,
      [this](HttpMessage request) { return handle_internal(std::move(request)); });
  public_server_->start();
  internal_server_->start();
}

void Controller::start(bool serve) {
  if (serve) start_servers();
  net::spawn(election_.run());
  net::spawn(machine_type_refresher_.run());
  net::spawn(peer_monitor_.run());
  net::spawn(log_user_requests());
}

net::Task<HttpResponse> Controller::handle_public(HttpMessage request) {
  if (request.path() == wire::path::kHeartbeat) {
    HttpResponse response = co_await worker_routes_.handle_heartbeat(request);
    co_return response;
  }
  HttpResponse response = co_await user_routes_.handle(request);
  co_return response;
}

net::Task<HttpResponse> Controller::handle_internal(HttpMessage request) {
  HttpResponse response = co_await peer_routes_.handle(request);
  co_return response;
}

net::Task<void> Controller::log_user_requests() {
  for (;;) {
    co_await loop_.sleep(net::seconds(constants::kUserLogIntervalSeconds));
    const auto& latencies = submissions_.latencies();
    spdlog::info("event=user_requests submissions={} p50_s={:.3f} p95_s={:.3f} connections={}",
                 latencies.count(), latencies.quantile(0.5), latencies.quantile(0.95),
                 public_server_ ? public_server_->connection_count() : 0);
  }
}

}  // namespace dockdyke::app
