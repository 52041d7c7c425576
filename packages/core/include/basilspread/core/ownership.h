#ifndef BASILSPREAD_CORE_OWNERSHIP_H_
#define BASILSPREAD_CORE_OWNERSHIP_H_

#include <map>
#include <optional>

#include "basilspread/core/ids.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// How a shard came to its present owner.
enum class TakeoverKind {
  /// It never had an owner, or its last owner drained and released it.
  kClean,
  /// Its last owner went silent; what that one started may still run.
  kUnclean,
};

/// Who owns a shard, as far as this process has read its stream.
struct ShardOwnership {
  ShardId shard;
  PoolName pool;
  /// Highest epoch read; 0 before any claim.
  Epoch epoch;
  std::optional<ProcessId> owner;
  /// Since when no live process is known to own it.
  std::optional<TimePoint> orphaned_since;
  /// A claim of this process awaits its read-back.
  bool claiming = false;
  bool owned_by_self = false;
};

struct OwnershipState {
  std::map<ShardId, ShardOwnership> shards;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_OWNERSHIP_H_
