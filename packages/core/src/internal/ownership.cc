#include "internal/ownership.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <variant>

#include "basilspread/core/random.h"
#include "internal/jobs.h"
#include "internal/log.h"
#include "internal/membership.h"
#include "internal/requests.h"
#include "internal/takeover.h"

namespace basilspread::internal::ownership {
namespace {

constexpr std::string_view kPart = "ownership";
constexpr std::string_view kStreamPrefix = "shard-";
/// Checkpoints per retention time of the log.
constexpr int kCheckpointsPerRetention = 4;

ShardOwnership* Find(Context& context, const ShardId& shard) {
  const auto found = context.state.ownership.shards.find(shard);
  return found == context.state.ownership.shards.end() ? nullptr
                                                       : &found->second;
}

const ShardOwnership* Find(const Context& context, const ShardId& shard) {
  const auto found = context.state.ownership.shards.find(shard);
  return found == context.state.ownership.shards.end() ? nullptr
                                                       : &found->second;
}

ShardOwnership* FindByStream(Context& context, const StreamName& stream) {
  if (!stream.value.starts_with(kStreamPrefix)) {
    return nullptr;
  }
  return Find(context, ShardId{stream.value.substr(kStreamPrefix.size())});
}

void AddShard(Context& context, const Pool& pool, const ShardId& shard) {
  ShardOwnership ownership;
  ownership.shard = shard;
  ownership.pool = pool.name;
  context.state.ownership.shards.emplace(shard, ownership);
}

void AppendCheckpoint(Context& context, ShardOwnership& ownership) {
  ownership.checkpointed_at = context.now;
  log::Append(context, StreamOf(ownership.shard),
              CheckpointRecord{ownership.shard, ownership.epoch,
                               context.state.settings.self});
  jobs::AppendCheckpoint(context, ownership.shard);
}

void Gain(Context& context, ShardOwnership& ownership) {
  const Settings& settings = context.state.settings;
  ownership.owned_by_self = true;
  ownership.releasing = false;
  ownership.ready = false;
  ownership.checkpointed_at = context.now;
  ownership.act_after = context.now;
  if (ownership.kind == TakeoverKind::kUnclean) {
    // The replaced owner may have read the stream just before the claim and may
    // act for the freshness time from then on.
    ownership.act_after +=
        settings.ownership_freshness + settings.ownership_margin;
  }
  context.Log(LogLevel::kInfo, kPart, "Gained a shard.",
              {{"shard", ownership.shard.value},
               {"epoch", ownership.epoch.value},
               {"after", ownership.kind == TakeoverKind::kClean ? "release"
                                                                : "silence"}});
  log::Follow(context, StreamOf(ownership.shard), settings.log_read_interval);
  if (!ownership.has_baseline) {
    AppendCheckpoint(context, ownership);
  }
  requests::OnShardGained(context, ownership.shard, ownership.kind);
  jobs::OnShardGained(context, ownership.shard, ownership.kind);
  membership::SendHeartbeats(context);
}

void Lose(Context& context, ShardOwnership& ownership) {
  ownership.owned_by_self = false;
  ownership.releasing = false;
  ownership.ready = false;
  ownership.valid_until = TimePoint{};
  ownership.followed_since = context.now;
  context.Log(
      LogLevel::kInfo, kPart, "Lost a shard.",
      {{"shard", ownership.shard.value}, {"epoch", ownership.epoch.value}});
  requests::OnShardLost(context, ownership.shard);
  jobs::OnShardLost(context, ownership.shard);
  membership::SendHeartbeats(context);
}

void NotifyIfReady(Context& context, ShardOwnership& ownership) {
  const bool may_act = MayAct(context, ownership.shard);
  const bool is_new = may_act && !ownership.ready;
  ownership.ready = may_act;
  if (is_new) {
    requests::OnShardReady(context, ownership.shard);
    jobs::OnShardReady(context, ownership.shard);
  }
}

/// Applies a change of epoch and owner that a record makes.
void SetOwner(Context& context, ShardOwnership& ownership, Epoch epoch,
              const std::optional<ProcessId>& owner) {
  ownership.epoch = epoch;
  ownership.owner = owner;
  ownership.successor = NodeName{};
  if (ownership.owned_by_self && owner != context.state.settings.self) {
    Lose(context, ownership);
  }
}

/// Whether the stream was read to its end before, so that a record that is read
/// now is new and not part of the history.
bool IsCaughtUp(const Context& context, const ShardId& shard) {
  const auto found = context.state.log.streams.find(StreamOf(shard));
  return found != context.state.log.streams.end() && found->second.caught_up_at;
}

/// Checks whether a record is valid at its position in a stream.
struct InForceCheck {
  const Context& context;
  const StreamName& stream;
  const ProcessId& writer;

  bool operator()(const ClaimRecord& record) const {
    return this->stream == StreamOf(record.shard) &&
           this->writer == record.claimant;
  }
  bool operator()(const ReleaseRecord& record) const {
    return this->stream == StreamOf(record.shard) &&
           this->writer == record.owner;
  }
  bool operator()(const CheckpointRecord& record) const {
    return this->stream == StreamOf(record.shard) &&
           this->writer == record.owner;
  }
  template <typename Record>
  bool operator()(const Record& record) const {
    if constexpr (requires { record.shard.value, record.epoch.value; }) {
      const ShardOwnership* ownership = Find(this->context, record.shard);
      return ownership != nullptr && this->stream == StreamOf(record.shard) &&
             record.epoch == ownership->epoch &&
             ownership->owner == this->writer;
    }
    return true;
  }
};

}  // namespace

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

void OnStreamRestart(Context& context, const StreamName& stream,
                     bool complete) {
  ShardOwnership* ownership = FindByStream(context, stream);
  if (ownership == nullptr) {
    return;
  }
  SetOwner(context, *ownership, Epoch{}, std::nullopt);
  ownership->has_baseline = complete;
  jobs::OnStreamReset(context, ownership->shard);
}

void OnClaim(Context& context, const ClaimRecord& record) {
  ShardOwnership* ownership = Find(context, record.shard);
  if (ownership == nullptr) {
    return;
  }
  const bool is_own = record.claimant == context.state.settings.self;
  if (is_own) {
    ownership->claiming = false;
  }
  if (record.epoch <= ownership->epoch) {
    return;
  }
  const bool is_released = ownership->has_baseline && !ownership->owner;
  ownership->kind = is_released ? TakeoverKind::kClean : TakeoverKind::kUnclean;
  SetOwner(context, *ownership, record.epoch, record.claimant);
  if (!is_own && IsCaughtUp(context, record.shard)) {
    ownership->last_served_at = context.now;
    membership::OnSeenInLog(context, record.claimant);
  }
}

void OnRelease(Context& context, const ReleaseRecord& record) {
  ShardOwnership* ownership = Find(context, record.shard);
  if (ownership == nullptr) {
    return;
  }
  const bool is_in_force =
      record.epoch == ownership->epoch && ownership->owner == record.owner;
  const bool is_first =
      !ownership->has_baseline && record.epoch > ownership->epoch;
  if (is_in_force || is_first) {
    SetOwner(context, *ownership, record.epoch, std::nullopt);
    ownership->successor = record.successor;
    ownership->unsettled = record.unsettled;
  }
}

void OnCheckpoint(Context& context, const CheckpointRecord& record) {
  ShardOwnership* ownership = Find(context, record.shard);
  if (ownership == nullptr || ownership->has_baseline ||
      record.epoch < ownership->epoch) {
    return;
  }
  // Earlier records may be of an owner that was replaced by a claim that has
  // expired. All records that are still needed follow the checkpoint.
  ownership->has_baseline = true;
  ownership->kind = TakeoverKind::kUnclean;
  SetOwner(context, *ownership, record.epoch, record.owner);
  jobs::OnStreamReset(context, ownership->shard);
}

void OnStreamCaughtUp(Context& context, const StreamName& stream,
                      TimePoint read_at) {
  ShardOwnership* ownership = FindByStream(context, stream);
  if (ownership == nullptr) {
    return;
  }
  if (ownership->owner != context.state.settings.self) {
    takeover::OnStreamCaughtUp(context, *ownership);
    return;
  }
  ownership->valid_until =
      std::max(ownership->valid_until,
               read_at + context.state.settings.ownership_freshness);
  if (!ownership->owned_by_self) {
    Gain(context, *ownership);
  }
  NotifyIfReady(context, *ownership);
}

void OnClaimRefused(Context& context, const ShardId& shard) {
  if (ShardOwnership* ownership = Find(context, shard)) {
    ownership->claiming = false;
  }
}

void OnHeardByAll(Context& context, TimePoint heard_at) {
  const TimePoint until = heard_at + context.state.settings.ownership_freshness;
  for (auto& [shard, ownership] : context.state.ownership.shards) {
    // Confirmations only extend a right that has not lapsed. A lapsed one
    // returns by reading the stream, which may hold another claim by now.
    if (ownership.owned_by_self && context.now < ownership.valid_until) {
      ownership.valid_until = std::max(ownership.valid_until, until);
    }
  }
}

void Maintain(Context& context) {
  const Duration interval =
      context.state.settings.log_retention / kCheckpointsPerRetention;
  for (auto& [shard, ownership] : context.state.ownership.shards) {
    if (!ownership.owned_by_self) {
      continue;
    }
    NotifyIfReady(context, ownership);
    if (context.now - *ownership.checkpointed_at >= interval &&
        log::IsAvailable(context) && !ownership.releasing) {
      AppendCheckpoint(context, ownership);
    }
  }
}

bool IsInForce(const Context& context, const StreamName& stream,
               const ProcessId& writer, const LogRecord& record) {
  return std::visit(InForceCheck{context, stream, writer}, record);
}

ShardId ShardAt(const PoolName& pool, std::uint64_t index) {
  return ShardId{fmt::format("{}#{}", pool.value, index)};
}

ShardId ShardOf(const Pool& pool, const Host& host) {
  const std::uint64_t index = StableHash(host.rack) % pool.shards;
  return ShardAt(pool.name, index);
}

StreamName StreamOf(const ShardId& shard) {
  return StreamName{std::string(kStreamPrefix) + shard.value};
}

bool OwnsShard(const Context& context, const ShardId& shard) {
  const ShardOwnership* ownership = Find(context, shard);
  return ownership != nullptr && ownership->owned_by_self;
}

bool AcceptsWork(const Context& context, const ShardId& shard) {
  const ShardOwnership* ownership = Find(context, shard);
  return ownership != nullptr && ownership->owned_by_self &&
         !ownership->releasing;
}

std::optional<TimePoint> MayActUntil(const Context& context,
                                     const ShardId& shard) {
  const ShardOwnership* ownership = Find(context, shard);
  if (ownership == nullptr || !AcceptsWork(context, shard) ||
      context.now < ownership->act_after ||
      context.now >= ownership->valid_until) {
    return std::nullopt;
  }
  return ownership->valid_until;
}

bool MayAct(const Context& context, const ShardId& shard) {
  return MayActUntil(context, shard).has_value();
}

std::optional<ProcessId> OwnerOf(const Context& context, const ShardId& shard) {
  const ShardOwnership* ownership = Find(context, shard);
  if (ownership == nullptr) {
    return std::nullopt;
  }
  const bool is_served = ownership->reported_owner &&
                         ownership->reported_epoch >= ownership->epoch;
  return is_served ? ownership->reported_owner : ownership->owner;
}

Epoch OwnerEpoch(const Context& context, const ShardId& shard) {
  const ShardOwnership* ownership = Find(context, shard);
  return ownership == nullptr
             ? Epoch{}
             : std::max(ownership->epoch, ownership->reported_epoch);
}

Epoch EpochOf(const Context& context, const ShardId& shard) {
  const ShardOwnership* ownership = Find(context, shard);
  return ownership == nullptr ? Epoch{} : ownership->epoch;
}

bool IsDeposing(const Context& context, const ProcessId& process) {
  const auto& shards = context.state.ownership.shards;
  return std::any_of(
      shards.begin(), shards.end(), [&context, &process](const auto& entry) {
        const ShardOwnership& ownership = entry.second;
        const bool is_waiting =
            ownership.owned_by_self && context.now < ownership.act_after;
        return ownership.deposed == process &&
               (ownership.claiming || is_waiting);
      });
}

}  // namespace basilspread::internal::ownership
