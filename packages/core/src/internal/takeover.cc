#include "internal/takeover.h"

#include <fmt/format.h>

#include <algorithm>

#include "basilspread/core/random.h"
#include "internal/log.h"
#include "internal/membership.h"
#include "internal/ownership.h"

namespace basilspread::internal::takeover {
namespace {

constexpr Duration kCheckInterval = std::chrono::milliseconds(100);
/// Time between reads of the stream of a shard that may have to be claimed.
constexpr Duration kCandidateReadInterval = std::chrono::milliseconds(100);
/// Maximum age of the read on which a claim is based.
constexpr Duration kMaxReadAge = std::chrono::seconds(1);
/// Time for which the stream of a shard with a live owner is still followed.
constexpr Duration kFollowTime = std::chrono::seconds(5);
/// Factor of the takeover timeout while no peer is heard: this process may be
/// the isolated one.
constexpr int kIsolatedFactor = 2;
/// Wait of a process that hears no peer after the log has shown that others
/// are alive.
constexpr Duration kCutOffDelay = std::chrono::minutes(1);

std::uint64_t RendezvousWeight(const NodeName& node, const ShardId& shard) {
  return StableHash(node.value + "|" + shard.value);
}

bool IsCandidate(const Context& context, const Peer& peer) {
  return membership::IsLive(context, peer) && !peer.last_heartbeat.stopping;
}

/// Rank of this process among the live candidates for the shard, from 0.
std::int64_t OwnRank(const Context& context, const ShardId& shard) {
  const std::uint64_t own =
      RendezvousWeight(context.state.settings.self.node, shard);
  std::int64_t rank = 0;
  for (const auto& [node, peer] : context.state.membership.peers) {
    if (IsCandidate(context, peer) && RendezvousWeight(node, shard) > own) {
      ++rank;
    }
  }
  return rank;
}

/// How long the shard has not been known to have a live owner. Time before the
/// latest pause of this process does not count.
Duration SilenceOf(const Context& context, const ShardOwnership& ownership) {
  const TimePoint listening = context.state.membership.listening_since;
  const TimePoint last = ownership.last_served_at.value_or(listening);
  return context.now - std::max(last, listening);
}

bool IsNamedSuccessor(const Context& context, const ShardOwnership& ownership) {
  const NodeName& self = context.state.settings.self.node;
  if (ownership.successor == self) {
    return true;
  }
  for (const auto& [node, peer] : context.state.membership.peers) {
    if (!membership::IsLive(context, peer)) {
      continue;
    }
    for (const ShardReport& report : peer.last_heartbeat.shards) {
      if (report.shard == ownership.shard && report.successor == self) {
        return true;
      }
    }
  }
  return false;
}

/// Whether the owner's node is known to run a later incarnation.
bool IsReplaced(const Context& context, const ProcessId& owner) {
  if (owner.node == context.state.settings.self.node) {
    return owner != context.state.settings.self;
  }
  const auto peer = context.state.membership.peers.find(owner.node);
  return peer != context.state.membership.peers.end() &&
         peer->second.old_incarnations.contains(owner.incarnation);
}

bool HearsNoPeer(const Context& context) {
  const auto& peers = context.state.membership.peers;
  return !peers.empty() &&
         std::none_of(peers.begin(), peers.end(),
                      [&context](const auto& entry) {
                        return membership::IsLive(context, entry.second);
                      });
}

/// How long a shard without an owner stays unclaimed. Short where every peer is
/// heard, since an owner would have reported the shard in its heartbeat.
Duration ListenTime(const Context& context) {
  const Settings& settings = context.state.settings;
  const auto& peers = context.state.membership.peers;
  const bool hears_all =
      std::all_of(peers.begin(), peers.end(), [&context](const auto& entry) {
        return membership::IsLive(context, entry.second);
      });
  return hears_all ? settings.heartbeat_interval / 2
                   : settings.heartbeat_interval * 2;
}

/// How long the shard must have been without a live owner before this process
/// claims it.
Duration ClaimDelay(const Context& context, const ShardOwnership& ownership) {
  const Settings& settings = context.state.settings;
  const Duration rank_delay =
      settings.claim_delay * OwnRank(context, ownership.shard);
  if (!ownership.owner) {
    if (ownership.successor == settings.self.node) {
      return Duration::zero();
    }
    return ListenTime(context) + rank_delay;
  }
  if (IsReplaced(context, *ownership.owner)) {
    return settings.heartbeat_interval * 2 + rank_delay;
  }
  if (!HearsNoPeer(context)) {
    return settings.takeover_timeout + rank_delay;
  }
  const auto& cut_off = context.state.membership.cut_off_at;
  const bool is_cut_off = cut_off && context.now - *cut_off < kCutOffDelay;
  return is_cut_off ? kCutOffDelay
                    : settings.takeover_timeout * kIsolatedFactor;
}

/// An epoch above all that were ever claimed in the stream. Each claim took one
/// record, so no expired claim has an epoch above the first kept offset.
Epoch NextEpoch(const ShardOwnership& ownership, const LogStream& stream) {
  const std::uint64_t expired =
      ownership.has_baseline ? 0 : stream.first_kept.value;
  return Epoch{std::max(ownership.epoch.value, expired) + 1};
}

void Claim(Context& context, ShardOwnership& ownership,
           const LogStream& stream) {
  ownership.claiming = true;
  ownership.deposed = ownership.owner;
  ClaimRecord claim;
  claim.shard = ownership.shard;
  claim.epoch = NextEpoch(ownership, stream);
  claim.claimant = context.state.settings.self;
  log::Append(context, ownership::StreamOf(ownership.shard), claim);
}

void ClaimIfDue(Context& context, ShardOwnership& ownership,
                const LogStream& stream) {
  const bool is_fresh = stream.at_end && stream.caught_up_at &&
                        context.now - *stream.caught_up_at <= kMaxReadAge;
  if (ownership.claiming || context.state.stopping || !is_fresh ||
      !log::IsAvailable(context)) {
    return;
  }
  if (SilenceOf(context, ownership) >= ClaimDelay(context, ownership)) {
    Claim(context, ownership, stream);
  }
}

void FollowClosely(Context& context, ShardOwnership& ownership) {
  ownership.followed_since = context.now;
  log::Follow(context, ownership::StreamOf(ownership.shard),
              kCandidateReadInterval);
}

/// Follows the stream while the shard may have to be claimed, and claims the
/// shard when that is due.
void ConsiderTakeover(Context& context, ShardOwnership& ownership) {
  const Settings& settings = context.state.settings;
  const StreamName name = ownership::StreamOf(ownership.shard);
  const Duration silence = SilenceOf(context, ownership);
  const bool is_named = IsNamedSuccessor(context, ownership);
  const auto stream = context.state.log.streams.find(name);
  if (stream == context.state.log.streams.end()) {
    const Duration rank_delay =
        settings.claim_delay * OwnRank(context, ownership.shard);
    if (is_named || silence >= ListenTime(context) + rank_delay) {
      FollowClosely(context, ownership);
    }
    return;
  }
  const bool is_served = silence < settings.heartbeat_interval * 2;
  const bool is_old = !ownership.followed_since ||
                      context.now - *ownership.followed_since >= kFollowTime;
  if (is_served && is_old && !is_named && !ownership.claiming) {
    log::Unfollow(context, name);
    return;
  }
  log::Follow(context, name,
              is_served && !is_named ? settings.log_read_interval
                                     : kCandidateReadInterval);
  ClaimIfDue(context, ownership, stream->second);
}

void RecordReportedOwner(Context& context, const Peer& peer,
                         const ShardReport& report) {
  const auto found = context.state.ownership.shards.find(report.shard);
  if (found == context.state.ownership.shards.end()) {
    return;
  }
  ShardOwnership& ownership = found->second;
  if (report.epoch < ownership.epoch ||
      report.epoch < ownership.reported_epoch) {
    return;
  }
  const std::optional<TimePoint> heard = membership::LastHeard(peer);
  if (!heard) {
    return;
  }
  ownership.reported_owner = ProcessId{peer.node, peer.incarnation};
  ownership.reported_epoch = report.epoch;
  ownership.last_served_at =
      std::max(ownership.last_served_at.value_or(*heard), *heard);
}

}  // namespace

void Start(Context& context) {
  context.ArmIn(TimerKind::kOwnership, kCheckInterval);
}

void OnTimer(Context& context) {
  for (const auto& [node, peer] : context.state.membership.peers) {
    for (const ShardReport& report : peer.last_heartbeat.shards) {
      RecordReportedOwner(context, peer, report);
    }
  }
  ownership::Maintain(context);
  for (auto& [shard, ownership] : context.state.ownership.shards) {
    if (!ownership.owned_by_self) {
      ConsiderTakeover(context, ownership);
    }
  }
  context.ArmIn(TimerKind::kOwnership, kCheckInterval);
}

void OnReports(Context& context, const NodeName& peer) {
  for (const ShardReport& report :
       context.state.membership.peers.at(peer).last_heartbeat.shards) {
    const auto found = context.state.ownership.shards.find(report.shard);
    if (found == context.state.ownership.shards.end()) {
      continue;
    }
    ShardOwnership& ownership = found->second;
    if (ownership.owned_by_self && report.epoch > ownership.epoch) {
      log::ReadNow(context, ownership::StreamOf(report.shard));
    } else if (!ownership.owned_by_self &&
               report.successor == context.state.settings.self.node) {
      FollowClosely(context, ownership);
    }
  }
}

void OnStreamCaughtUp(Context& context, ShardOwnership& ownership) {
  const auto stream =
      context.state.log.streams.find(ownership::StreamOf(ownership.shard));
  ClaimIfDue(context, ownership, stream->second);
}

NodeName SuccessorFor(const Context& context, const ShardId& shard) {
  NodeName best;
  for (const auto& [node, peer] : context.state.membership.peers) {
    const bool is_candidate = IsCandidate(context, peer) && peer.connected;
    if (is_candidate &&
        (best.value.empty() ||
         RendezvousWeight(node, shard) > RendezvousWeight(best, shard))) {
      best = node;
    }
  }
  return best;
}

}  // namespace basilspread::internal::takeover
