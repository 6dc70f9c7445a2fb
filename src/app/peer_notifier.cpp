#include "app/peer_notifier.hpp"

#include "net/task.hpp"
#include "peer/peer_client.hpp"

namespace dockdyke::app {

PeerNotifier::PeerNotifier(net::Transport& transport, const std::vector<PeerController>& peers)
    : transport_(transport), peers_(peers) {}

void PeerNotifier::notify_job_cancelled(const JobId& id) const {
  for (const auto& controller : peers_)
    net::spawn(peer::notify_job_cancelled(transport_, controller.address, id));
}

void PeerNotifier::notify_write_limit_lowered() const {
  for (const auto& controller : peers_)
    net::spawn(peer::notify_write_limit_lowered(transport_, controller.address));
}

}  // namespace dockdyke::app
