// One-way messages to all peers. Correctness never depends on their arrival.
#pragma once

#include <vector>

#include "app/settings.hpp"
#include "net/http_client.hpp"
#include "wire/ids.hpp"

namespace dockdyke::app {

// Each message is a detached call; the transport and the list of peers outlive it.
class PeerNotifier {
 public:
  PeerNotifier(net::Transport& transport, const std::vector<PeerController>& peers);

  // The cancellation is stored. The leader learns of it by its watch, unless the state service refuses the
  // leader alone. All peers are told, since the leader may be another than the one known here.
  void job_cancelled(const JobId& id) const;
  // The state service has put its announced lower limit of writes in force.
  void write_limit_lowered() const;

 private:
  net::Transport& transport_;
  const std::vector<PeerController>& peers_;
};

}  // namespace dockdyke::app
