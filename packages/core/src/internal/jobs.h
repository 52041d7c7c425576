#ifndef BASILSPREAD_CORE_INTERNAL_JOBS_H_
#define BASILSPREAD_CORE_INTERNAL_JOBS_H_

#include "basilspread/core/ids.h"
#include "basilspread/core/ownership.h"
#include "internal/context.h"

namespace basilspread::internal::jobs {

/// Reading of the shard's stream starts over: drops what was read of it.
void OnStreamReset(Context& context, const ShardId& shard);
/// This process owns the shard, and its stream was read up to the claim.
void OnShardGained(Context& context, const ShardId& shard, TakeoverKind kind);
/// An owned shard may be acted on, at first or again.
void OnShardReady(Context& context, const ShardId& shard);
void OnShardLost(Context& context, const ShardId& shard);
/// Appends what is live in the shard anew, before older records expire.
void AppendCheckpoint(Context& context, const ShardId& shard);

/// Whether nothing here keeps a graceful stop from releasing the shards.
bool IsIdle(const Context& context);

}  // namespace basilspread::internal::jobs

#endif  // BASILSPREAD_CORE_INTERNAL_JOBS_H_
