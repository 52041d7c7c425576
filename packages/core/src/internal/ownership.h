#ifndef BASILSPREAD_CORE_INTERNAL_OWNERSHIP_H_
#define BASILSPREAD_CORE_INTERNAL_OWNERSHIP_H_

#include <optional>
#include <string>

#include "basilspread/core/host.h"
#include "basilspread/core/record.h"
#include "basilspread/core/tables.h"
#include "internal/context.h"

/// Who owns a shard by its stream, and whether the owner may act.
namespace basilspread::internal::ownership {

/// Matches the shards to the pools of the tables in force.
void OnTablesChanged(Context& context);

/// Reading of a stream starts at its oldest kept record; `complete` when
/// nothing before it has expired.
void OnStreamRestart(Context& context, const StreamName& stream, bool complete);
void OnClaim(Context& context, const ClaimRecord& record);
void OnRelease(Context& context, const ReleaseRecord& record);
void OnCheckpoint(Context& context, const CheckpointRecord& record);
/// A read that began at `read_at` has reached the end of the stream.
void OnStreamCaughtUp(Context& context, const StreamName& stream,
                      TimePoint read_at);
/// A claim of this process surely was not stored and is withdrawn.
void OnClaimRefused(Context& context, const ShardId& shard);

/// Every peer that could claim still heard this process at `heard_at`.
void OnHeardByAll(Context& context, TimePoint heard_at);

/// Tells the other concerns of shards that may be acted on again, and
/// appends the checkpoints that are due.
void Maintain(Context& context);

/// Whether a record counts at its place of the stream: one that names a
/// shard and an epoch was written by the owner in that epoch.
bool IsInForce(const Context& context, const StreamName& stream,
               const ProcessId& writer, const LogRecord& record);

/// The shard that a host belongs to: hosts of a rack stay together, and the
/// list's order does not matter, so that every process decides alike.
ShardId ShardOf(const Pool& pool, const Host& host);

/// The shard of the pool with this index.
ShardId ShardAt(const PoolName& pool, std::uint64_t index);

/// The stream that holds the claims and records of a shard.
StreamName StreamOf(const ShardId& shard);

/// Whether this process is the owner as far as it has read the stream. To
/// start anything on the shard's hosts it also needs MayAct.
bool OwnsShard(const Context& context, const ShardId& shard);

/// Whether this process owns the shard and is not about to release it.
bool AcceptsWork(const Context& context, const ShardId& shard);

/// Until when this process, as owner, may start something on the shard's
/// hosts; unset when it may not now. Goes into the not-after time of effects.
std::optional<TimePoint> MayActUntil(const Context& context,
                                     const ShardId& shard);

/// Whether this process owns the shard and may act on its hosts now.
bool MayAct(const Context& context, const ShardId& shard);

/// The owner as far as this process knows: by the heartbeats of the one that
/// serves the shard, or by the shard's stream if that tells of a later epoch.
std::optional<ProcessId> OwnerOf(const Context& context, const ShardId& shard);

/// The epoch of that owner; 0 when none is known.
Epoch OwnerEpoch(const Context& context, const ShardId& shard);

/// The epoch in force as far as the stream was read; 0 before any claim.
Epoch EpochOf(const Context& context, const ShardId& shard);

/// Whether this process is taking a shard over from that one, which must not
/// be told that it is still heard.
bool IsDeposing(const Context& context, const ProcessId& process);

}  // namespace basilspread::internal::ownership

#endif  // BASILSPREAD_CORE_INTERNAL_OWNERSHIP_H_
