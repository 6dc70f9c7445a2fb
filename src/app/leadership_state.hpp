// Who leads, as far as this controller knows, and its own term while it leads itself.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "app/leader_term.hpp"
#include "core/views.hpp"

namespace dockdyke::app {

// Written by the election and the peer monitor, read by all request handlers. Any call that suspends may
// return to another state: a term read before a suspension is compared with `term()` after it.
class LeadershipState {
 public:
  bool leading() const { return term_ != nullptr; }
  // The present term; null on a follower.
  const std::shared_ptr<LeaderTerm>& term() const { return term_; }
  // The host name of the leader, this controller's own included; nothing when it is unknown.
  const std::optional<std::string>& leader_host() const { return leader_host_; }

  void set_leader_host(std::optional<std::string> host) { leader_host_ = std::move(host); }
  // This controller, whose name is `own_host`, leads from now on.
  void begin_term(std::shared_ptr<LeaderTerm> term, std::string own_host) {
    leader_host_ = std::move(own_host);
    term_ = std::move(term);
  }
  // Ends the term, if there is one. The leader is unknown until the election tells of the next one.
  void end_term() {
    if (term_) term_->end();
    term_.reset();
    leader_host_.reset();
  }

  // What the leader's own state says of an active job; nothing on a follower.
  std::optional<core::JobProgress> progress(const JobId& id) const {
    return term_ ? term_->progress(id) : std::nullopt;
  }

 private:
  std::shared_ptr<LeaderTerm> term_;
  std::optional<std::string> leader_host_;
};

}  // namespace dockdyke::app
