#include "internal/membership.h"

#include <fmt/format.h>

#include "internal/jobs.h"
#include "internal/requests.h"

namespace basilspread::internal::membership {
namespace {

constexpr std::string_view kPart = "membership";

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
    const auto minions = context.state.requests.shards.find(shard);
    if (minions != context.state.requests.shards.end()) {
      DescribeLoad(minions->second, report);
    }
    heartbeat.shards.push_back(report);
  }
  heartbeat.usage = jobs::Usage(context);
  return heartbeat;
}

}  // namespace

void Start(Context& context) {
  OnHeartbeatTimer(context);
  context.ArmIn(TimerKind::kMembership, context.state.settings.peer_timeout);
}

void OnHeartbeatTimer(Context& context) {
  const Heartbeat heartbeat = MakeHeartbeat(context);
  for (const auto& [node, peer] : context.state.membership.peers) {
    if (peer.connected) {
      context.Emit(SendToPeer{node, heartbeat});
    }
  }
  context.ArmIn(TimerKind::kHeartbeat,
                context.state.settings.heartbeat_interval);
}

void OnMembershipTimer(Context& context) {
  for (auto& [node, peer] : context.state.membership.peers) {
    if (peer.last_heard && !IsLive(context, peer)) {
      peer.last_heard.reset();
      context.Log(LogLevel::kWarning, kPart,
                  fmt::format("Peer went silent. peer={}", node.value));
      requests::OnPeerLost(context, node);
      jobs::OnPeerLost(context, node);
    }
  }
  context.ArmIn(TimerKind::kMembership,
                context.state.settings.heartbeat_interval);
}

void OnHeartbeat(Context& context, const ProcessId& from,
                 const Heartbeat& heartbeat) {
  Peer& peer = context.state.membership.peers[from.node];
  peer.node = from.node;
  const bool is_new_run = peer.incarnation != from.incarnation;
  if (is_new_run && peer.incarnation != 0) {
    requests::OnPeerLost(context, from.node);
    jobs::OnPeerLost(context, from.node);
  }
  if (is_new_run || !peer.last_heard) {
    context.Log(LogLevel::kInfo, kPart,
                fmt::format("Peer is live. peer={} incarnation={}",
                            from.node.value, from.incarnation));
  }
  peer.incarnation = from.incarnation;
  peer.last_heard = context.now;
  peer.last_heartbeat = heartbeat;
}

void OnLinkChanged(Context& context, const PeerLinkChanged& event) {
  Peer& peer = context.state.membership.peers[event.peer];
  peer.node = event.peer;
  peer.connected = event.connected;
}

bool IsLive(const Context& context, const Peer& peer) {
  return peer.last_heard &&
         context.now - *peer.last_heard < context.state.settings.peer_timeout;
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

}  // namespace basilspread::internal::membership
