#include "internal/peers.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

#include "internal/log.h"
#include "internal/membership.h"
#include "internal/requests.h"

namespace basilspread::internal::peers {
namespace {

constexpr std::string_view kPart = "membership";

/// Time between reads of the members stream. New processes are usually found
/// by their heartbeats.
constexpr Duration kMembersReadInterval = std::chrono::seconds(5);
/// Announcements of a process per retention time of the log.
constexpr int kAnnouncementsPerRetention = 4;
/// A peer that is not in the settings is forgotten after this time of silence.
constexpr Duration kForgetDelay = std::chrono::minutes(1);
/// Replaced incarnations remembered for each node.
constexpr std::size_t kMaxOldIncarnations = 16;
/// Limits the memory that heartbeats and records of unknown nodes can take.
constexpr std::size_t kMaxPeers = 256;
constexpr Duration kMaxReopenDelay = std::chrono::seconds(16);

StreamName MembersStream() { return StreamName{"members"}; }

void Announce(Context& context, bool leaving) {
  context.state.membership.announced_at = context.now;
  log::Append(context, MembersStream(),
              MemberRecord{context.state.settings.self,
                           context.state.settings.peer_address, leaving});
}

/// Whether the link is open but the peer has confirmed no heartbeat within the
/// peer timeout, as when a device in between has dropped the connection state.
bool IsLinkSilent(const Context& context, const Peer& peer) {
  const Duration timeout = context.state.settings.peer_timeout;
  const TimePoint since =
      std::max(peer.connected_at, context.state.membership.listening_since);
  const TimePoint last = peer.last_confirmed_send.value_or(since);
  return peer.connected && context.now - std::max(last, since) >= timeout;
}

void ReopenIfSilent(Context& context, Peer& peer) {
  if (!IsLinkSilent(context, peer)) {
    if (peer.live) {
      peer.reopen_delay = Duration::zero();
    }
    return;
  }
  if (peer.reopened_at && context.now - *peer.reopened_at < peer.reopen_delay) {
    return;
  }
  peer.reopened_at = context.now;
  peer.reopen_delay =
      std::clamp(peer.reopen_delay * 2, context.state.settings.peer_timeout,
                 kMaxReopenDelay);
  context.Log(LogLevel::kWarning, kPart,
              "Peer confirmed no heartbeat within the peer timeout; reopening "
              "the link.",
              {{"peer", peer.node.value}});
  context.Emit(ReopenLink{peer.node});
}

bool ShouldForget(const Context& context, const Peer& peer) {
  return !peer.configured && !membership::IsLive(context, peer) &&
         context.now - std::max(peer.learned_at,
                                context.state.membership.listening_since) >=
             kForgetDelay;
}

void ForgetGonePeers(Context& context) {
  auto& peers = context.state.membership.peers;
  for (auto peer = peers.begin(); peer != peers.end();) {
    while (peer->second.old_incarnations.size() > kMaxOldIncarnations) {
      peer->second.old_incarnations.erase(
          peer->second.old_incarnations.begin());
    }
    if (!ShouldForget(context, peer->second)) {
      ++peer;
      continue;
    }
    context.Log(LogLevel::kInfo, kPart,
                "Removed a silent peer that is not in the settings.",
                {{"peer", peer->first.value}});
    context.Emit(DisconnectPeer{peer->first});
    peer = peers.erase(peer);
  }
}

}  // namespace

void Start(Context& context) {
  for (auto& [node, peer] : context.state.membership.peers) {
    peer.learned_at = context.now;
    peer.configured = true;
  }
  log::Follow(context, MembersStream(), kMembersReadInterval);
  Announce(context, false);
}

void OnLinkChanged(Context& context, const PeerLinkChanged& event) {
  const auto found = context.state.membership.peers.find(event.peer);
  if (found == context.state.membership.peers.end()) {
    return;
  }
  Peer& peer = found->second;
  peer.connected = event.connected;
  if (event.connected) {
    // Send the first heartbeat without waiting for the timer.
    peer.connected_at = context.now;
    membership::SendHeartbeats(context);
  }
}

void OnRefused(Context& context, const PeerRefused& event) {
  const auto found = context.state.membership.peers.find(event.peer);
  if (found == context.state.membership.peers.end() || found->second.gone ||
      found->second.connected || !found->second.last_heard) {
    return;
  }
  // A process listens as long as it lives, so this incarnation has ended. The
  // next one counts as live from its first heartbeat.
  found->second.gone = true;
  context.Log(
      LogLevel::kWarning, kPart,
      "Peer process has ended: its host refuses connections.",
      {{"peer", event.peer.value}, {"incarnation", found->second.incarnation}});
}

void OnMismatch(Context& context, const PeerVersionMismatched& event) {
  const auto found = context.state.membership.peers.find(event.node);
  if (found == context.state.membership.peers.end() ||
      found->second.other_version == event.version) {
    return;
  }
  found->second.other_version = event.version;
  context.Log(LogLevel::kError, kPart,
              "Peer speaks another protocol version; its messages are ignored.",
              {{"peer", event.node.value}, {"version", event.version}});
}

void OnMemberRecord(Context& context, const MemberRecord& record) {
  const Settings& settings = context.state.settings;
  if (record.process.node == settings.self.node) {
    return;
  }
  auto& peers = context.state.membership.peers;
  const auto known = peers.find(record.process.node);
  if (known != peers.end() &&
      (membership::IsLive(context, known->second) ||
       known->second.old_incarnations.contains(record.process.incarnation))) {
    return;
  }
  if (!HasRoomFor(context, record.process.node)) {
    return;
  }
  Peer& peer = peers[record.process.node];
  peer.node = record.process.node;
  peer.learned_at = context.now;
  peer.gone = record.leaving;
  if (!record.leaving) {
    UpdateAddress(context, peer, record.address);
  }
}

bool HasRoomFor(const Context& context, const NodeName& node) {
  const auto& peers = context.state.membership.peers;
  return peers.contains(node) || peers.size() < kMaxPeers;
}

void UpdateAddress(Context& context, Peer& peer, const std::string& address) {
  if (address.empty() || address == peer.address) {
    return;
  }
  peer.address = address;
  context.Log(LogLevel::kInfo, kPart, "New address of a peer; connecting.",
              {{"peer", peer.node.value}, {"address", address}});
  context.Emit(ConnectPeer{peer.node, address});
}

void Maintain(Context& context) {
  for (auto& [node, peer] : context.state.membership.peers) {
    ReopenIfSilent(context, peer);
  }
  ForgetGonePeers(context);
  const Duration interval =
      context.state.settings.log_retention / kAnnouncementsPerRetention;
  if (!context.state.stopping &&
      context.now - *context.state.membership.announced_at >= interval) {
    Announce(context, false);
  }
}

void AnnounceLeaving(Context& context) { Announce(context, true); }

}  // namespace basilspread::internal::peers
