#ifndef BASILSPREAD_CORE_INTERNAL_OWNERSHIP_H_
#define BASILSPREAD_CORE_INTERNAL_OWNERSHIP_H_

#include <optional>
#include <string>

#include "basilspread/core/host.h"
#include "basilspread/core/record.h"
#include "basilspread/core/tables.h"
#include "internal/context.h"

namespace basilspread::internal::ownership {

void Start(Context& context);
void OnOwnershipTimer(Context& context);

/// Matches the shards to the pools of the tables in force.
void OnTablesChanged(Context& context);
void OnClaim(Context& context, const ClaimRecord& record);
void OnRelease(Context& context, const ReleaseRecord& record);

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

/// Until when this process, as owner, may start something on the shard's
/// hosts; unset when it may not now. Goes into the not-after time of effects.
std::optional<TimePoint> MayActUntil(const Context& context,
                                     const ShardId& shard);

/// Whether this process owns the shard and may act on its hosts now.
bool MayAct(const Context& context, const ShardId& shard);

/// The epoch in force as far as the stream was read; 0 before any claim.
Epoch EpochOf(const Context& context, const ShardId& shard);

}  // namespace basilspread::internal::ownership

#endif  // BASILSPREAD_CORE_INTERNAL_OWNERSHIP_H_
