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

/// Timers come more often than this; a longer time between two events means
/// that the process was paused.
constexpr Duration kMaxEventGap = std::chrono::seconds(1);
constexpr Duration kMembershipInterval = std::chrono::milliseconds(250);
/// Own heartbeats whose sending times are kept for confirmations.
constexpr std::size_t kMaxSentKept = 64;
/// A peer that was silent for so many takeover timeouts, while the log could
/// be read, would have claimed by now if it could.
constexpr int kGoneFactor = 3;

void LosePeer(Context& context, const NodeName& node) {
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

/// Whether no more than one heartbeat of the peer is missing.
bool IsHeardLately(const Context& context, const Peer& peer) {
  return IsLive(context, peer) &&
         context.now - *peer.last_heard <
             context.state.settings.heartbeat_interval * 2;
}

/// Adds whom this process does not hear, and when it last heard those whom
/// its peers do not hear.
void AddGossip(const Context& context, Heartbeat& heartbeat) {
  const auto& peers = context.state.membership.peers;
  std::set<NodeName> wanted;
  for (const auto& [node, peer] : peers) {
    if (!peer.gone && !IsHeardLately(context, peer)) {
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

/// Adds what concerns the receiver only.
Heartbeat Address(const Context& context, const Peer& peer,
                  Heartbeat heartbeat) {
  const ProcessId receiver{peer.node, peer.incarnation};
  if (peer.last_heard && !ownership::IsDeposing(context, receiver)) {
    heartbeat.confirmed_incarnation = peer.incarnation;
    heartbeat.confirmed_number = peer.last_heartbeat.number;
  }
  if (!peer.confirmed) {
    heartbeat.address = context.state.settings.peer_address;
  }
  return heartbeat;
}

void TakeConfirmation(Context& context, Peer& peer,
                      const Heartbeat& heartbeat) {
  const MembershipState& membership = context.state.membership;
  const auto sent = membership.sent.find(heartbeat.confirmed_number);
  if (heartbeat.confirmed_incarnation !=
          context.state.settings.self.incarnation ||
      sent == membership.sent.end()) {
    return;
  }
  peer.confirmed =
      std::max(peer.confirmed.value_or(sent->second), sent->second);
}

void TakeGossip(Context& context, const Heartbeat& heartbeat) {
  for (const HeardReport& report : heartbeat.heard) {
    const auto found = context.state.membership.peers.find(report.process.node);
    if (found == context.state.membership.peers.end() ||
        found->second.incarnation != report.process.incarnation) {
      continue;
    }
    Peer& peer = found->second;
    const TimePoint heard = context.now - report.age;
    peer.heard_by_others =
        std::max(peer.heard_by_others.value_or(heard), heard);
  }
}

/// Prolongs the right to act while every peer that could claim hears this
/// process. Sending times count: a delayed confirmation proves no more.
void NoteHeard(Context& context) {
  TimePoint heard_at = context.now;
  for (const auto& [node, peer] : context.state.membership.peers) {
    if (peer.gone) {
      continue;
    }
    if (!peer.confirmed) {
      return;
    }
    heard_at = std::min(heard_at, *peer.confirmed);
  }
  ownership::OnHeardByAll(context, heard_at);
}

void NoteNewRun(Context& context, Peer& peer, std::uint64_t incarnation) {
  if (peer.incarnation != 0) {
    peer.replaced.insert(peer.incarnation);
    LosePeer(context, peer.node);
  }
  peer.incarnation = incarnation;
  peer.confirmed.reset();
  peer.heard_by_others.reset();
  context.Log(LogLevel::kInfo, kPart, "Peer has started.",
              {{"peer", peer.node.value}, {"incarnation", incarnation}});
}

/// How long nobody has heard the peer, as far as this process listened.
Duration SilenceOf(const Context& context, const Peer& peer) {
  const TimePoint listening = context.state.membership.listening_since;
  const TimePoint known = std::max(listening, peer.learnt);
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
    LosePeer(context, peer.node);
  }
  const bool is_long_silent =
      SilenceOf(context, peer) >= settings.takeover_timeout * kGoneFactor;
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
    // What the queue holds may be as old as the pause, and the silence of
    // others was this process's own: listening begins anew.
    membership.listening_since = context.now;
    const auto gap = std::chrono::duration_cast<std::chrono::milliseconds>(
        context.now - *membership.last_event);
    context.Log(LogLevel::kWarning, kPart, "The process was paused.",
                {{"gap_ms", gap.count()}});
  }
  membership.last_event = context.now;
}

void OnHeartbeatTimer(Context& context) {
  SendHeartbeats(context);
  NoteHeard(context);
  context.ArmIn(TimerKind::kHeartbeat,
                context.state.settings.heartbeat_interval);
}

void SendHeartbeats(Context& context) {
  MembershipState& membership = context.state.membership;
  Heartbeat heartbeat = MakeHeartbeat(context);
  AddGossip(context, heartbeat);
  heartbeat.number = membership.next_heartbeat++;
  membership.sent.emplace(heartbeat.number, context.now);
  if (membership.sent.size() > kMaxSentKept) {
    membership.sent.erase(membership.sent.begin());
  }
  for (const auto& [node, peer] : membership.peers) {
    if (peer.connected) {
      context.Emit(SendToPeer{node, Address(context, peer, heartbeat)});
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
                "Another process uses the name of this one.");
    return;
  }
  if (!peers::HasRoomFor(context, from.node)) {
    return;
  }
  Peer& peer = context.state.membership.peers[from.node];
  peer.node = from.node;
  if (peer.replaced.contains(from.incarnation)) {
    return;
  }
  if (peer.incarnation != from.incarnation) {
    NoteNewRun(context, peer, from.incarnation);
  } else if (heartbeat.number < peer.last_heartbeat.number) {
    // An older one that came by a connection since replaced.
    return;
  }
  context.state.membership.cut_off_at.reset();
  peer.live = true;
  peer.learnt = context.now;
  peer.last_heard = context.now;
  peer.last_heartbeat = heartbeat;
  peer.gone = heartbeat.stopping;
  peer.other_version.reset();
  peers::LearnAddress(context, peer, heartbeat.address);
  TakeConfirmation(context, peer, heartbeat);
  TakeGossip(context, heartbeat);
  NoteHeard(context);
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
    peer->second.learnt = context.now;
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
                  peer.heard_by_others.value_or(*peer.last_heard));
}

}  // namespace basilspread::internal::membership
