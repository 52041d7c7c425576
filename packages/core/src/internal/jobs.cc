#include "internal/jobs.h"

namespace basilspread::internal::jobs {

void OnStreamReset(Context& /*context*/, const ShardId& /*shard*/) {}

void OnShardGained(Context& /*context*/, const ShardId& /*shard*/,
                   TakeoverKind /*kind*/) {}

void OnShardReady(Context& /*context*/, const ShardId& /*shard*/) {}

void OnShardLost(Context& /*context*/, const ShardId& /*shard*/) {}

void AppendCheckpoint(Context& /*context*/, const ShardId& /*shard*/) {}

bool IsIdle(const Context& /*context*/) { return true; }

}  // namespace basilspread::internal::jobs
