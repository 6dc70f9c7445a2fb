// Sends best-effort notifications to all peers. Correctness does not depend on their delivery.
#pragma once

#include <vector>

#include "app/settings.hpp"
#include "net/http_client.hpp"
#include "wire/ids.hpp"

namespace dockdyke::app {

// Each notification is a detached call. The transport and the list of peers must outlive it.
class PeerNotifier {
 public:
  PeerNotifier(net::Transport& transport, const std::vector<PeerController>& peers);

  // Notifies all peers of a stored cancellation, since the leader known here may be outdated. The leader also
  // receives it through its watch, unless it alone can't reach the state service.
  void notify_job_cancelled(const JobId& id) const;
  // Notifies all peers that the state service enforces the lower write limit that it announced.
  void notify_write_limit_lowered() const;

 private:
  net::Transport& transport_;
  const std::vector<PeerController>& peers_;
};

}  // namespace dockdyke::app
