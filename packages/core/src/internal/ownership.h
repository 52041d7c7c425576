#ifndef BASILSPREAD_CORE_INTERNAL_OWNERSHIP_H_
#define BASILSPREAD_CORE_INTERNAL_OWNERSHIP_H_

#include <optional>
#include <string>

#include "basilspread/core/host.h"
#include "basilspread/core/record.h"
#include "basilspread/core/tables.h"
#include "internal/context.h"

/// Shard ownership as decided by the shard's log stream, and when the owner may
/// act.
namespace basilspread::internal::ownership {

/// Adds the shards that the tables in force define, and updates the hosts of
/// requests and jobs.
void OnTablesChanged(Context& context);

/// Resets the shard because its stream is read from the oldest kept record;
/// `complete` tells that no earlier record has expired.
void OnStreamRestart(Context& context, const StreamName& stream, bool complete);
void OnClaim(Context& context, const ClaimRecord& record);
void OnRelease(Context& context, const ReleaseRecord& record);
void OnCheckpoint(Context& context, const CheckpointRecord& record);
/// A read that began at `read_at` has reached the end of the stream.
/// Extends the right of an owner to act.
void OnStreamCaughtUp(Context& context, const StreamName& stream,
                      TimePoint read_at);
/// Withdraws a claim by this process that was certainly not stored.
void OnClaimRefused(Context& context, const ShardId& shard);

/// Extends the right to act: every peer that can claim still heard this process
/// at `heard_at`.
void OnHeardByAll(Context& context, TimePoint heard_at);

/// Notifies requests and jobs of shards that may be acted on again, and appends
/// the checkpoints that are due.
void Maintain(Context& context);

/// Whether a record is valid at its position in the stream. A record that names
/// a shard and an epoch must be written by the owner in that epoch.
bool IsInForce(const Context& context, const StreamName& stream,
               const ProcessId& writer, const LogRecord& record);

/// The shard that a host belongs to. It depends on the rack only, so that every
/// process assigns alike and hosts of a rack share a shard.
ShardId ShardOf(const Pool& pool, const Host& host);

/// The shard of the pool with this index.
ShardId ShardAt(const PoolName& pool, std::uint64_t index);

/// The stream that holds the claims and records of a shard.
StreamName StreamOf(const ShardId& shard);

/// Whether this process is the owner as far as it has read the stream. It may
/// start work on the shard's hosts only if MayAct holds too.
bool OwnsShard(const Context& context, const ShardId& shard);

/// Whether this process owns the shard and is not releasing it.
bool AcceptsWork(const Context& context, const ShardId& shard);

/// Until when this process, as owner, may start work on the shard's hosts;
/// unset when it may not now. Effects carry it as their `not_after`.
std::optional<TimePoint> MayActUntil(const Context& context,
                                     const ShardId& shard);

/// Whether this process owns the shard and may act on its hosts now.
bool MayAct(const Context& context, const ShardId& shard);

/// The owner as far as this process knows: the one that heartbeats report, or
/// the one in the shard's stream if its epoch is higher.
std::optional<ProcessId> OwnerOf(const Context& context, const ShardId& shard);

/// The epoch of the owner that OwnerOf returns; 0 when none is known.
Epoch OwnerEpoch(const Context& context, const ShardId& shard);

/// The epoch in force as far as the stream was read; 0 before any claim.
Epoch EpochOf(const Context& context, const ShardId& shard);

/// Whether this process is taking over a shard from `process`. Heartbeats of
/// that process must then not be confirmed, as that would extend its right to
/// act.
bool IsDeposing(const Context& context, const ProcessId& process);

}  // namespace basilspread::internal::ownership

#endif  // BASILSPREAD_CORE_INTERNAL_OWNERSHIP_H_
