#include "app/controller.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <string_view>
#include <utility>

#include "constants.hpp"

namespace dockdyke::app {

using net::HttpMessage;
using net::HttpResponse;
namespace path = wire::path;

Controller::Controller(net::Loop& loop, net::Transport& transport, Settings settings)
    : loop_(loop),
      transport_(transport),
      settings_(std::move(settings)),
      state_(loop, transport, settings_.state,
             {settings_.state_rps, settings_.state_write_rps, settings_.state_write_rps_later}),
      cloud_(loop, transport, settings_.cloud, settings_.cluster.cloud_rps),
      job_requests_(loop, state_, settings_.cluster,
                    {[this](const core::JobRecord& record, Revision version) {
                       if (term_) term_->push(core::JobSubmitted{record, version});
                     },
                     [this](const JobId& id) { cancelled(id); },
                     [this](const JobId& id) {
                       return term_ ? term_->progress(id) : std::optional<core::JobProgress>();
                     },
                     [this](std::vector<JobId> ids) { return poll_leader(std::move(ids)); }}),
      election_(loop, state_, settings_.host,
                {[this](std::optional<std::string> host) { leader_ = std::move(host); },
                 [this](store::Leadership leadership, net::TimePoint asked_at) {
                   leader_ = settings_.host;
                   term_ = std::make_shared<LeaderTerm>(
                       LeaderTerm::Services{loop_, state_, cloud_, transport_, max_held_responses()},
                       settings_.cluster, leadership, asked_at,
                       LeaderTerm::Listener{[this] { election_.step_down(); },
                                            [this](const JobId& id, const wire::JobStatus& status) {
                                              job_requests_.cache_terminal_status(id, status);
                                            }});
                   apply_rate_shares();
                   notify_term_of_write_limit();
                   term_->start(types_);
                 },
                 [this](net::TimePoint asked_at) {
                   if (term_) term_->renewed(asked_at);
                 },
                 [this] {
                   if (term_) term_->end();
                   term_.reset();
                   leader_.reset();
                   apply_rate_shares();
                   spdlog::info("event=stepped_down");
                 }}) {
  apply_rate_shares();
  state_.on_write_limit_seen([this] {
    spdlog::info("event=write_limit_lowered per_second={}", state_.write_limit());
    notify_term_of_write_limit();
    for (const auto& other : settings_.peers) net::spawn(peer::notify_write_limit(transport_, other.address));
  });
}

void Controller::notify_term_of_write_limit() {
  if (term_ && state_.write_limit_lowered()) term_->push(core::WriteRateLowered{state_.write_limit()});
}

void Controller::apply_rate_shares() {
  const auto others = static_cast<double>(settings_.peers.size());
  if (others == 0) {
    state_.set_shares(1, 1);
  } else if (term_) {
    state_.set_shares(constants::kLeaderRateShare, constants::kLeaderRateShare);
  } else {
    state_.set_shares(constants::kFollowersRequestShare / others, constants::kFollowersWriteShare / others);
  }
}

std::size_t Controller::public_connections() const {
  const auto limit = settings_.connections;
  return limit > 2 * constants::kReservedSockets ? limit - constants::kReservedSockets : limit / 2;
}

std::size_t Controller::max_held_responses() const {
  return static_cast<std::size_t>(constants::kHeldResponsesShare * static_cast<double>(public_connections()));
}

void Controller::start(bool serve) {
  if (serve) {
    public_server_ = std::make_unique<net::HttpServer>(
        loop_, settings_.public_address, public_connections(),
        [this](HttpMessage request) { return handle_public(std::move(request)); });
    internal_server_ = std::make_unique<net::HttpServer>(
        loop_, settings_.internal_address, constants::kReservedSockets / 2,
        [this](HttpMessage request) { return handle_internal(std::move(request)); });
    public_server_->start();
    internal_server_->start();
  }
  net::spawn(election_.run());
  net::spawn(refresh_machine_types());
  net::spawn(monitor_peers());
  net::spawn(log_user_requests());
}

// ---- Machine types ----------------------------------------------------------------------------------------

void Controller::adopt_machine_types(std::vector<wire::MachineType> types) {
  types_ = std::move(types);
  job_requests_.set_types(types_);
  if (term_) term_->push(core::MachineTypesChanged{types_});
}

net::Task<void> Controller::refresh_machine_types() {
  bool recorded = false;
  for (;;) {
    cloud::Result<std::vector<wire::MachineType>> types = co_await cloud_.machine_types();
    if (types && !types.value.empty()) {
      adopt_machine_types(std::move(types.value));
      if (term_ && !recorded) {
        // Kept so that a controller that restarts while the cloud is out can still decide on submissions.
        wire::Transaction txn;
        txn.puts.push_back({core::key::kMachineTypes, wire::to_json(types_), {}});
        store::Result<store::Committed> committed =
            co_await state_.commit(std::move(txn), store::RequestPriority::background,
                                   loop_.now() + net::seconds(constants::kBackgroundCallTimeout));
        // A value that is too large stays too large.
        recorded = committed.outcome == store::Outcome::ok || committed.outcome == store::Outcome::rejected;
      }
    } else if (types_.empty()) {
      store::Result<wire::KeyValue> known = co_await state_.get(
          core::key::kMachineTypes, loop_.now() + net::seconds(constants::kStateCallTimeout));
      if (known) {
        try {
          adopt_machine_types(wire::parse_machine_types(known.value.value));
        } catch (const wire::Malformed& error) {
          spdlog::error("event=bad_record key=types what=\"{}\"", error.what());
        }
      }
    }
    const bool soon = types_.empty() || (term_ && !recorded);
    co_await loop_.sleep(
        net::seconds(soon ? constants::kMachineTypesRetryInterval : constants::kMachineTypesInterval));
  }
}

net::Task<void> Controller::log_user_requests() {
  for (;;) {
    co_await loop_.sleep(net::seconds(constants::kUserLogInterval));
    const auto& times = job_requests_.submission_times();
    spdlog::info("event=users submissions={} p50={:.3f} p95={:.3f} connections={}", times.count(),
                 times.quantile(0.5), times.quantile(0.95),
                 public_server_ ? public_server_->connections() : 0);
  }
}

// ---- The other controllers --------------------------------------------------------------------------------

net::Task<void> Controller::monitor_peers() {
  for (;;) {
    co_await loop_.sleep(net::seconds(constants::kPeerStatusInterval));
    if (!state_.unreachable()) {
      peers_reach_state_ = false;
      isolated_ = false;
      if (term_) term_->set_isolated(false);
      co_await transfer_leadership_if_workers_unreachable();
      continue;
    }
    // The store does not answer us. Whether it answers the others shows if this is an outage or only ours.
    bool reached = false;
    bool any_answer = settings_.peers.empty();
    for (const auto& other : settings_.peers) {
      const std::optional<peer::PeerStatus> status = co_await peer::fetch_status(transport_, other.address);
      if (!status) continue;
      any_answer = true;
      reached = reached || status->state_answers;
      if (!status->leading) continue;
      if (term_ && status->token > term_->token().value) {
        spdlog::info("event=newer_leader host={} token={}", other.host, status->token);
        election_.step_down();
      }
      if (!term_) leader_ = other.host;
    }
    peers_reach_state_ = reached;
    // With neither store nor company it is most likely we that are cut off, and another leads by now. The
    // workers still reach us and would stay here, where nothing new can start.
    isolated_ = !any_answer;
    if (term_) term_->set_isolated(isolated_);
  }
}

net::Task<void> Controller::transfer_leadership_if_workers_unreachable() {
  // The key is renewed and users are served, but no worker gets through: all their leases would run out.
  const auto term = term_;
  if (!term || settings_.peers.empty()) co_return;
  if (!term->heartbeat_silence().anomalous()) co_return;
  std::uint64_t elsewhere = 0;
  bool any_answer = false;
  for (const auto& other : settings_.peers) {
    const std::optional<peer::PeerStatus> status = co_await peer::fetch_status(transport_, other.address);
    if (!status) continue;
    any_answer = true;
    elsewhere += status->workers_heard;
  }
  const auto silence = term->heartbeat_silence();
  if (term != term_ || !silence.anomalous()) co_return;
  const bool turned_away =
      elsewhere > 0 && static_cast<double>(elsewhere) >=
                           constants::kWorkersElsewhereShare * static_cast<double>(silence.machines);
  // Nobody to ask: once, for a fleet that was heard before, and before its leases are lost. A fleet that is
  // silent as a whole does not pass the lead round and round.
  const bool unasked =
      !any_answer && silence.any_heartbeat_received &&
      silence.duration_s >= constants::kIsolatedSilenceLeaseShare * settings_.cluster.worker_lease_s;
  if (!turned_away && !unasked) co_return;
  spdlog::info("event=deaf token={} silence={:.1f} machines={} heard_elsewhere={}", term->token().value,
               silence.duration_s, silence.machines, elsewhere);
  election_.resign();
}

std::optional<net::Address> Controller::leader_address() const {
  if (term_ || !leader_) return std::nullopt;
  auto other = std::find_if(settings_.peers.begin(), settings_.peers.end(),
                            [&](const PeerController& each) { return each.host == *leader_; });
  if (other == settings_.peers.end()) return std::nullopt;
  return other->address;
}

net::Task<std::optional<HttpResponse>> Controller::forward_to_leader(peer::ForwardedRequest request) {
  const auto address = leader_address();
  // One that was slow again and again is left alone for a while: cut off, it would cost every user the wait.
  const bool busy = state_.write_backlog_s() > constants::kForwardBacklogThreshold;
  if (!address || (!busy && loop_.now() < leader_backoff_until_)) co_return std::nullopt;
  std::optional<HttpResponse> response =
      co_await peer::forward(transport_, *address, std::move(request),
                             busy ? constants::kSaturatedForwardTimeout : constants::kForwardTimeout);
  consecutive_slow_replies_ = response ? 0 : consecutive_slow_replies_ + 1;
  if (consecutive_slow_replies_ >= constants::kSlowLeaderThreshold)
    leader_backoff_until_ = loop_.now() + net::seconds(constants::kSlowLeaderBackoff);
  // What the leader can't take, perhaps because the store refuses it alone, this controller may be able to.
  // And what it calls malformed has passed our own check: it may be of an earlier version.
  constexpr int kMalformed = 400;
  constexpr int kUnavailable = 503;
  if (response && (response->status == kUnavailable || response->status == kMalformed))
    co_return std::nullopt;
  co_return response;
}

net::Task<std::optional<std::vector<peer::PolledJobStatus>>> Controller::poll_leader(std::vector<JobId> ids) {
  const auto address = leader_address();
  if (!address) co_return std::nullopt;
  std::optional<std::vector<peer::PolledJobStatus>> polled =
      co_await peer::poll(transport_, *address, std::move(ids));
  co_return polled;
}

void Controller::cancelled(const JobId& id) {
  if (term_) {
    term_->push(core::JobRecordRemoved{id});
    return;
  }
  // Whoever leads learns of it by its watch, unless the store refuses it alone. All are told: it may be
  // another than the one known here.
  for (const auto& other : settings_.peers) net::spawn(peer::notify_cancelled(transport_, other.address, id));
}

net::Task<HttpResponse> Controller::handle_internal(HttpMessage request) {
  if (request.method != "POST") co_return HttpResponse{405, {}, std::nullopt};
  if (request.path() == peer::kStatusPath) {
    co_return HttpResponse{
        200,
        peer::encode(peer::PeerStatus{leading(), term_ ? term_->token().value : 0, !state_.unreachable(),
                                      recent_heartbeats_.lately(loop_.now())}),
        std::nullopt};
  }
  if (request.path() == peer::kPollPath) {
    auto names = peer::decode_jobs(request.body);
    if (!names) co_return HttpResponse{400, {}, std::nullopt};
    if (!term_) co_return service_unavailable();
    std::vector<JobId> ids;
    for (auto& name : *names) ids.emplace_back(std::move(name));
    std::vector<peer::PolledJobStatus> polled = co_await job_requests_.poll_for_peer(std::move(ids));
    co_return HttpResponse{200, peer::encode(polled), std::nullopt};
  }
  if (request.path() == peer::kCancelledPath) {
    auto names = peer::decode_jobs(request.body);
    if (!names) co_return HttpResponse{400, {}, std::nullopt};
    for (auto& name : *names)
      if (term_) term_->push(core::JobRecordRemoved{JobId(std::move(name))});
    co_return HttpResponse{};
  }
  if (request.path() == peer::kWriteLimitPath) {
    state_.lower_write_limit();
    notify_term_of_write_limit();
    co_return HttpResponse{};
  }
  if (request.path() != peer::kForwardPath) co_return HttpResponse{404, {}, std::nullopt};
  auto forwarded = peer::decode_forwarded(request.body);
  if (!forwarded) co_return HttpResponse{400, {}, std::nullopt};
  if (!term_) co_return HttpResponse{200, peer::encode(peer::ForwardedResponse{}), std::nullopt};
  HttpResponse response;
  if (forwarded->kind == peer::RequestKind::submit) {
    response = co_await job_requests_.submit(std::move(forwarded->body));
  } else {
    response = co_await job_requests_.cancel(JobId(std::move(forwarded->job)));
  }
  co_return HttpResponse{200, peer::encode(peer::to_answer(response)), std::nullopt};
}

// ---- Users and workers ------------------------------------------------------------------------------------

bool Controller::healthy() const {
  // In an outage for all, this node is as good as any; when the store refuses this node alone, the others
  // serve.
  return job_requests_.types_known() && !(state_.unreachable() && (peers_reach_state_ || isolated_));
}

net::Task<HttpResponse> Controller::handle_public(HttpMessage request) {
  const auto target = request.path();
  if (target == path::kHealth) {
    if (request.method != "GET") co_return HttpResponse{405, {}, std::nullopt};
    co_return healthy() ? HttpResponse{} : service_unavailable();
  }
  if (target == path::kHeartbeat) {
    if (request.method != "POST") co_return HttpResponse{405, {}, std::nullopt};
    HttpResponse response = co_await handle_report(request);
    co_return response;
  }
  if (target == path::kJobs || target.starts_with(std::string(path::kJobs) + "/")) {
    HttpResponse response = co_await handle_job_request(request);
    co_return response;
  }
  co_return HttpResponse{404, {}, std::nullopt};
}

net::Task<HttpResponse> Controller::handle_job_request(const HttpMessage& request) {
  auto rest = request.path().substr(path::kJobs.size());
  if (rest.empty()) {
    if (request.method != "POST") co_return HttpResponse{405, {}, std::nullopt};
    auto refused = job_requests_.refusal(request.body);
    if (refused) co_return *std::move(refused);
    peer::ForwardedRequest forwarded;
    forwarded.body = request.body;
    std::optional<HttpResponse> led = co_await forward_to_leader(std::move(forwarded));
    if (led) co_return *std::move(led);
    HttpResponse response = co_await job_requests_.submit(request.body);
    co_return response;
  }
  rest.remove_prefix(1);
  const bool cancelling = rest.ends_with(path::kCancel);
  if (cancelling) rest.remove_suffix(path::kCancel.size());
  if (!wire::is_job_id(rest)) co_return HttpResponse{404, {}, std::nullopt};
  if (request.method != (cancelling ? "POST" : "GET")) co_return HttpResponse{405, {}, std::nullopt};
  const JobId id{std::string(rest)};
  if (!cancelling) {
    HttpResponse response = co_await job_requests_.poll(id);
    co_return response;
  }
  peer::ForwardedRequest forwarded;
  forwarded.kind = peer::RequestKind::cancel;
  forwarded.job = id.value;
  std::optional<HttpResponse> led = co_await forward_to_leader(std::move(forwarded));
  if (led) co_return *std::move(led);
  HttpResponse response = co_await job_requests_.cancel(id);
  co_return response;
}

net::Task<HttpResponse> Controller::handle_report(const HttpMessage& request) {
  std::optional<wire::Heartbeat> heartbeat;
  if (auto body = wire::decode(request.body)) {
    try {
      heartbeat = wire::parse_heartbeat(*body);
    } catch (const wire::Malformed& error) {
      spdlog::debug("event=bad_report what=\"{}\"", error.what());
    }
  }
  if (!heartbeat) co_return HttpResponse{400, {}, std::nullopt};
  recent_heartbeats_.note(loop_.now());
  if (!term_) {
    if (leader_ && *leader_ != settings_.host)
      co_return json_response(421, wire::redirect_response(*leader_));
    co_return json_response(421, wire::Json::object());
  }
  const auto term = term_;
  HttpResponse response = co_await term->heartbeat(*std::move(heartbeat));
  co_return response;
}

}  // namespace dockdyke::app
