#include "internal/ownership.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

#include "basilspread/core/random.h"
#include "internal/jobs.h"
#include "internal/log.h"
#include "internal/membership.h"
#include "internal/requests.h"

namespace basilspread::internal::ownership {
namespace {

constexpr std::string_view kPart = "ownership";
constexpr Duration kCheckInterval = std::chrono::milliseconds(100);

std::uint64_t RankWeight(const NodeName& node, const ShardId& shard) {
  return StableHash(node.value + "|" + shard.value);
}

/// Place of this process among the live ones for the shard, from 0.
/// Algorithm: rendezvous hashing (Thaler and Ravishankar, 1998).
std::int64_t OwnRank(const Context& context, const ShardId& shard) {
  const std::uint64_t own = RankWeight(context.state.settings.self.node, shard);
  std::int64_t rank = 0;
  for (const auto& [node, peer] : context.state.membership.peers) {
    const bool is_candidate =
        membership::IsLive(context, peer) && !peer.last_heartbeat.stopping;
    if (is_candidate && RankWeight(node, shard) > own) {
      ++rank;
    }
  }
  return rank;
}

bool HasLiveOwner(const Context& context, const ShardOwnership& ownership) {
  return ownership.owner && membership::IsLive(context, *ownership.owner);
}

void Claim(Context& context, ShardOwnership& ownership) {
  ownership.claiming = true;
  ClaimRecord claim;
  claim.shard = ownership.shard;
  claim.epoch = Epoch{ownership.epoch.value + 1};
  claim.claimant = context.state.settings.self;
  log::Append(context, StreamOf(ownership.shard), claim);
}

void ConsiderClaim(Context& context, ShardOwnership& ownership) {
  if (HasLiveOwner(context, ownership)) {
    ownership.orphaned_since.reset();
    return;
  }
  if (!ownership.orphaned_since) {
    ownership.orphaned_since = context.now;
  }
  const LogStream& stream =
      context.state.log.streams[StreamOf(ownership.shard)];
  if (ownership.claiming || !stream.at_end || context.state.stopping) {
    return;
  }
  const Duration delay = context.state.settings.claim_delay *
                         (1 + OwnRank(context, ownership.shard));
  if (context.now - *ownership.orphaned_since >= delay) {
    Claim(context, ownership);
  }
}

void AddShard(Context& context, const Pool& pool, const ShardId& shard) {
  ShardOwnership ownership;
  ownership.shard = shard;
  ownership.pool = pool.name;
  context.state.ownership.shards.emplace(shard, ownership);
  log::Follow(context, StreamOf(shard));
}

void Gain(Context& context, const ShardId& shard, TakeoverKind kind) {
  requests::OnShardGained(context, shard, kind);
  jobs::OnShardGained(context, shard, kind);
  requests::OnShardReady(context, shard);
  jobs::OnShardReady(context, shard);
}

void Lose(Context& context, const ShardId& shard) {
  requests::OnShardLost(context, shard);
  jobs::OnShardLost(context, shard);
}

}  // namespace

void Start(Context& context) {
  context.ArmIn(TimerKind::kOwnership, kCheckInterval);
}

void OnOwnershipTimer(Context& context) {
  for (auto& [shard, ownership] : context.state.ownership.shards) {
    ConsiderClaim(context, ownership);
  }
  context.ArmIn(TimerKind::kOwnership, kCheckInterval);
}

void OnTablesChanged(Context& context) {
  for (const auto& [name, pool] : context.state.configuration.tables.pools) {
    for (std::uint32_t index = 0; index < pool.shards; ++index) {
      const ShardId shard = ShardAt(name, index);
      if (!context.state.ownership.shards.contains(shard)) {
        AddShard(context, pool, shard);
      }
    }
  }
  requests::OnHostsChanged(context);
  jobs::OnHostsChanged(context);
}

void OnClaim(Context& context, const ClaimRecord& record) {
  const auto found = context.state.ownership.shards.find(record.shard);
  if (found == context.state.ownership.shards.end()) {
    return;
  }
  ShardOwnership& ownership = found->second;
  const bool is_own = record.claimant == context.state.settings.self;
  if (is_own) {
    ownership.claiming = false;
  }
  if (record.epoch.value != ownership.epoch.value + 1) {
    return;
  }
  const bool was_own = ownership.owned_by_self;
  const TakeoverKind kind =
      ownership.owner ? TakeoverKind::kUnclean : TakeoverKind::kClean;
  ownership.epoch = record.epoch;
  ownership.owner = record.claimant;
  ownership.owned_by_self = is_own;
  ownership.orphaned_since.reset();
  context.Log(LogLevel::kInfo, kPart,
              fmt::format("Shard has an owner. shard={} epoch={} owner={}",
                          record.shard.value, record.epoch.value,
                          record.claimant.node.value));
  if (was_own && !is_own) {
    Lose(context, record.shard);
  }
  if (!was_own && is_own) {
    Gain(context, record.shard, kind);
  }
}

void OnRelease(Context& context, const ReleaseRecord& record) {
  const auto found = context.state.ownership.shards.find(record.shard);
  if (found == context.state.ownership.shards.end()) {
    return;
  }
  ShardOwnership& ownership = found->second;
  if (record.epoch != ownership.epoch || ownership.owner != record.owner) {
    return;
  }
  ownership.owner.reset();
  if (ownership.owned_by_self) {
    ownership.owned_by_self = false;
    Lose(context, record.shard);
  }
}

ShardId ShardAt(const PoolName& pool, std::uint64_t index) {
  return ShardId{fmt::format("{}#{}", pool.value, index)};
}

ShardId ShardOf(const Pool& pool, const Host& host) {
  const std::uint64_t index = StableHash(host.rack) % pool.shards;
  return ShardAt(pool.name, index);
}

StreamName StreamOf(const ShardId& shard) {
  return StreamName{"shard-" + shard.value};
}

bool OwnsShard(const Context& context, const ShardId& shard) {
  const auto found = context.state.ownership.shards.find(shard);
  return found != context.state.ownership.shards.end() &&
         found->second.owned_by_self;
}

std::optional<TimePoint> MayActUntil(const Context& context,
                                     const ShardId& shard) {
  if (!OwnsShard(context, shard)) {
    return std::nullopt;
  }
  return context.now + context.state.settings.peer_timeout;
}

bool MayAct(const Context& context, const ShardId& shard) {
  const std::optional<TimePoint> until = MayActUntil(context, shard);
  return until && context.now < *until;
}

Epoch EpochOf(const Context& context, const ShardId& shard) {
  const auto found = context.state.ownership.shards.find(shard);
  return found == context.state.ownership.shards.end() ? Epoch{}
                                                       : found->second.epoch;
}

}  // namespace basilspread::internal::ownership
