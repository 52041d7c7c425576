#include "internal/membership.h"

#include <fmt/format.h>

#include <algorithm>

#include "internal/jobs.h"
#include "internal/log.h"
#include "internal/ownership.h"
#include "internal/peers.h"
#include "internal/requests.h"
#include "internal/takeover.h"

namespace basilspread::internal::membership {
namespace {

constexpr std::string_view kPart = "membership";

/// Timers fire more often than this, so a longer gap between two events means
/// that the process was paused.
constexpr Duration kMaxEventGap = std::chrono::seconds(1);
constexpr Duration kMembershipInterval = std::chrono::milliseconds(250);
/// Heartbeats whose sending times are kept to match confirmations.
constexpr std::size_t kMaxSendTimes = 64;
/// Silence, in takeover timeouts, after which a peer counts as gone. With the
/// log available, a live peer would have claimed shards by then.
constexpr int kGoneTakeoverTimeouts = 3;

void NotifyPeerLost(Context& context, const NodeName& node) {
  requests::OnPeerLost(context, node);
  jobs::OnPeerLost(context, node);
}

Heartbeat MakeHeartbeat(const Context& context) {
  Heartbeat heartbeat;
  heartbeat.tables = context.state.configuration.tables.version;
  heartbeat.stopping = context.state.stopping;
  for (const auto& [shard, ownership] : context.state.ownership.shards) {
    if (!ownership.owned_by_self) {
      continue;
    }
    ShardReport report;
    report.shard = shard;
    report.epoch = ownership.epoch;
    if (context.state.stopping) {
      report.successor = takeover::SuccessorFor(context, shard);
    }
    const auto minions = context.state.requests.shards.find(shard);
    if (minions != context.state.requests.shards.end()) {
      FillShardLoad(minions->second, report);
    }
    heartbeat.shards.push_back(report);
  }
  heartbeat.usage = jobs::Usage(context);
  return heartbeat;
}

/// Whether at most one heartbeat of the peer is missing.
bool IsHeardOnTime(const Context& context, const Peer& peer) {
  return IsLive(context, peer) &&
         context.now - *peer.last_heard <
             context.state.settings.heartbeat_interval * 2;
}

/// Adds the peers that this process does not hear, and when it last heard those
/// that its peers do not hear.
void AddGossip(const Context& context, Heartbeat& heartbeat) {
  const auto& peers = context.state.membership.peers;
  std::set<NodeName> wanted;
  for (const auto& [node, peer] : peers) {
    if (!peer.gone && !IsHeardOnTime(context, peer)) {
      heartbeat.unheard.push_back(node);
    }
    if (!IsLive(context, peer)) {
      continue;
    }
    wanted.insert(peer.last_heartbeat.unheard.begin(),
                  peer.last_heartbeat.unheard.end());
  }
  for (const NodeName& node : wanted) {
    const auto peer = peers.find(node);
    if (peer != peers.end() && IsLive(context, peer->second)) {
      heartbeat.heard.push_back(
          HeardReport{ProcessId{node, peer->second.incarnation},
                      context.now - *peer->second.last_heard});
    }
  }
}

/// Adds the fields that depend on the receiver.
Heartbeat AddReceiverFields(const Context& context, const Peer& peer,
                            Heartbeat heartbeat) {
  const ProcessId receiver{peer.node, peer.incarnation};
  if (peer.last_heard && !ownership::IsDeposing(context, receiver)) {
    heartbeat.confirmed_incarnation = peer.incarnation;
    heartbeat.confirmed_number = peer.last_heartbeat.number;
  }
  if (!peer.last_confirmed_send) {
    heartbeat.address = context.state.settings.peer_address;
  }
  return heartbeat;
}

void ApplyConfirmation(Context& context, Peer& peer,
                       const Heartbeat& heartbeat) {
  const MembershipState& membership = context.state.membership;
  const auto send_times =
      membership.send_times.find(heartbeat.confirmed_number);
  if (heartbeat.confirmed_incarnation !=
          context.state.settings.self.incarnation ||
      send_times == membership.send_times.end()) {
    return;
  }
  peer.last_confirmed_send =
      std::max(peer.last_confirmed_send.value_or(send_times->second),
               send_times->second);
}

void ApplyGossip(Context& context, const Heartbeat& heartbeat) {
  for (const HeardReport& report : heartbeat.heard) {
    const auto found = context.state.membership.peers.find(report.process.node);
    if (found == context.state.membership.peers.end() ||
        found->second.incarnation != report.process.incarnation) {
      continue;
    }
    Peer& peer = found->second;
    const TimePoint heard = context.now - report.age;
    peer.last_heard_by_others =
        std::max(peer.last_heard_by_others.value_or(heard), heard);
  }
}

/// Extends the right to act if every peer that can claim has confirmed a
/// heartbeat, from the sending time of the oldest one among the latest
/// confirmed. A delayed confirmation proves nothing about later points.
void ExtendOwnership(Context& context) {
  TimePoint heard_at = context.now;
  for (const auto& [node, peer] : context.state.membership.peers) {
    if (peer.gone) {
      continue;
    }
    if (!peer.last_confirmed_send) {
      return;
    }
    heard_at = std::min(heard_at, *peer.last_confirmed_send);
  }
  ownership::OnHeardByAll(context, heard_at);
}

void OnNewIncarnation(Context& context, Peer& peer, std::uint64_t incarnation) {
  if (peer.incarnation != 0) {
    peer.old_incarnations.insert(peer.incarnation);
    NotifyPeerLost(context, peer.node);
  }
  peer.incarnation = incarnation;
  peer.last_confirmed_send.reset();
  peer.last_heard_by_others.reset();
  context.Log(LogLevel::kInfo, kPart, "Peer started a new incarnation.",
              {{"peer", peer.node.value}, {"incarnation", incarnation}});
}

/// How long neither this nor another process has heard the peer. Time before
/// the latest pause of this process does not count.
Duration SilenceOf(const Context& context, const Peer& peer) {
  const TimePoint listening = context.state.membership.listening_since;
  const TimePoint known = std::max(listening, peer.learned_at);
  return context.now - std::max(LastHeard(peer).value_or(known), known);
}

void CheckSilence(Context& context, Peer& peer) {
  const Settings& settings = context.state.settings;
  const TimePoint listening = context.state.membership.listening_since;
  if (peer.live && context.now - std::max(*peer.last_heard, listening) >=
                       settings.peer_timeout) {
    peer.live = false;
    context.Log(LogLevel::kWarning, kPart, "Peer went silent.",
                {{"peer", peer.node.value}});
    NotifyPeerLost(context, peer.node);
  }
  const bool is_long_silent = SilenceOf(context, peer) >=
                              settings.takeover_timeout * kGoneTakeoverTimeouts;
  if (!peer.gone && is_long_silent && log::IsAvailable(context)) {
    peer.gone = true;
  }
}

}  // namespace

void Start(Context& context) {
  context.state.membership.listening_since = context.now;
  OnHeartbeatTimer(context);
  context.ArmIn(TimerKind::kMembership, kMembershipInterval);
}

void OnEvent(Context& context) {
  MembershipState& membership = context.state.membership;
  if (membership.last_event &&
      context.now - *membership.last_event > kMaxEventGap) {
    // Queued events may be as old as the pause, and peers seem silent only
    // because this process did not run: measure silence from now on.
    membership.listening_since = context.now;
    const auto gap = std::chrono::duration_cast<std::chrono::milliseconds>(
        context.now - *membership.last_event);
    context.Log(LogLevel::kWarning, kPart,
                "The process was paused; peer timeouts start anew.",
                {{"gap_ms", gap.count()}});
  }
  membership.last_event = context.now;
}

void OnHeartbeatTimer(Context& context) {
  SendHeartbeats(context);
  ExtendOwnership(context);
  context.ArmIn(TimerKind::kHeartbeat,
                context.state.settings.heartbeat_interval);
}

void SendHeartbeats(Context& context) {
  MembershipState& membership = context.state.membership;
  Heartbeat heartbeat = MakeHeartbeat(context);
  AddGossip(context, heartbeat);
  heartbeat.number = membership.next_heartbeat++;
  membership.send_times.emplace(heartbeat.number, context.now);
  if (membership.send_times.size() > kMaxSendTimes) {
    membership.send_times.erase(membership.send_times.begin());
  }
  for (const auto& [node, peer] : membership.peers) {
    if (peer.connected) {
      context.Emit(
          SendToPeer{node, AddReceiverFields(context, peer, heartbeat)});
    }
  }
}

void OnMembershipTimer(Context& context) {
  for (auto& [node, peer] : context.state.membership.peers) {
    CheckSilence(context, peer);
  }
  peers::Maintain(context);
  context.ArmIn(TimerKind::kMembership, kMembershipInterval);
}

void OnHeartbeat(Context& context, const ProcessId& from,
                 const Heartbeat& heartbeat) {
  if (from.node == context.state.settings.self.node) {
    context.Log(LogLevel::kError, kPart,
                "Ignored a heartbeat of another process with the node name of "
                "this one.");
    return;
  }
  if (!peers::HasRoomFor(context, from.node)) {
    return;
  }
  Peer& peer = context.state.membership.peers[from.node];
  peer.node = from.node;
  if (peer.old_incarnations.contains(from.incarnation)) {
    return;
  }
  if (peer.incarnation != from.incarnation) {
    OnNewIncarnation(context, peer, from.incarnation);
  } else if (heartbeat.number < peer.last_heartbeat.number) {
    // An older heartbeat that arrived over a connection replaced since.
    return;
  }
  context.state.membership.cut_off_at.reset();
  peer.live = true;
  peer.learned_at = context.now;
  peer.last_heard = context.now;
  peer.last_heartbeat = heartbeat;
  peer.gone = heartbeat.stopping;
  peer.other_version.reset();
  peers::UpdateAddress(context, peer, heartbeat.address);
  ApplyConfirmation(context, peer, heartbeat);
  ApplyGossip(context, heartbeat);
  ExtendOwnership(context);
  takeover::OnReports(context, from.node);
}

void OnSeenInLog(Context& context, const ProcessId& process) {
  if (IsLive(context, process)) {
    return;
  }
  MembershipState& membership = context.state.membership;
  membership.cut_off_at = context.now;
  const auto peer = membership.peers.find(process.node);
  if (peer != membership.peers.end()) {
    peer->second.gone = false;
    peer->second.learned_at = context.now;
  }
}

bool IsLive(const Context& context, const Peer& peer) {
  return peer.live &&
         context.now - std::max(*peer.last_heard,
                                context.state.membership.listening_since) <
             context.state.settings.peer_timeout;
}

bool IsLive(const Context& context, const ProcessId& process) {
  if (process == context.state.settings.self) {
    return true;
  }
  const auto peer = context.state.membership.peers.find(process.node);
  return peer != context.state.membership.peers.end() &&
         peer->second.incarnation == process.incarnation &&
         IsLive(context, peer->second);
}

std::optional<TimePoint> LastHeard(const Peer& peer) {
  if (!peer.last_heard) {
    return std::nullopt;
  }
  return std::max(*peer.last_heard,
                  peer.last_heard_by_others.value_or(*peer.last_heard));
}

}  // namespace basilspread::internal::membership
