#include "basilspread/core/state.h"

#include <utility>

namespace basilspread {

State::State(Settings process_settings, Hooks policy_hooks)
    : settings(std::move(process_settings)),
      hooks(std::move(policy_hooks)),
      random(this->settings.seed) {
  for (const NodeName& node : this->settings.peers) {
    Peer peer;
    peer.node = node;
    this->membership.peers.emplace(node, peer);
  }
}

}  // namespace basilspread
