// Tracks the current leader as known to this controller, and its own term while it is the leader.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "app/leader_term.hpp"
#include "core/views.hpp"

namespace dockdyke::app {

// Written by the election and the peer monitor, read by all request handlers. The state may change whenever a
// coroutine suspends, so a term read before a suspension must be compared with `term()` after it.
class LeadershipState {
 public:
  bool leading() const { return term_ != nullptr; }
  // Returns the current term, or null on a follower.
  const std::shared_ptr<LeaderTerm>& term() const { return term_; }
  // Returns the leader's host name, which may be this controller's own, or std::nullopt if it is unknown.
  const std::optional<std::string>& leader_host() const { return leader_host_; }

  void set_leader_host(std::optional<std::string> host) { leader_host_ = std::move(host); }
  // Records that this controller, named `own_host`, has become the leader.
  void begin_term(std::shared_ptr<LeaderTerm> term, std::string own_host) {
    leader_host_ = std::move(own_host);
    term_ = std::move(term);
  }
  // Ends the current term, if any. The leader is unknown until the election provides the next one.
  void end_term() {
    if (term_) term_->end();
    term_.reset();
    leader_host_.reset();
  }

  // Returns the leader's progress of an active job, or std::nullopt on a follower or if the job is unknown.
  std::optional<core::JobProgress> progress(const JobId& id) const {
    return term_ ? term_->progress(id) : std::nullopt;
  }

 private:
  std::shared_ptr<LeaderTerm> term_;
  std::optional<std::string> leader_host_;
};

}  // namespace dockdyke::app
