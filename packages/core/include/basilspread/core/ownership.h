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

/// Who owns a shard, and whether this process may act on it.
struct ShardOwnership {
  ShardId shard;
  PoolName pool;

  /// Highest epoch in log order, as far as the stream was read.
  Epoch epoch;
  /// Owner in that epoch; unset before any claim and after a release.
  std::optional<ProcessId> owner;
  /// Whom the release in force names; empty without one.
  NodeName successor;
  /// Of a clean takeover: how long, from its reading, slots stay in use by
  /// requests of an owner before the one that released the shard.
  Duration unsettled{};
  /// How the owner came to it.
  TakeoverKind kind = TakeoverKind::kClean;
  /// Unset while the stream's oldest kept record may follow a claim that has
  /// expired: then a checkpoint decides.
  bool has_baseline = false;

  /// Who serves it by the latest heartbeats, and when that was last known.
  std::optional<ProcessId> reported_owner;
  Epoch reported_epoch;
  std::optional<TimePoint> last_served_at;

  /// Since when its stream is followed, by a process that is not its owner.
  std::optional<TimePoint> followed_since;
  /// A claim of this process awaits its read-back.
  bool claiming = false;
  /// Whom that claim deposes.
  std::optional<ProcessId> deposed;
  bool owned_by_self = false;
  /// Until when no other process can act on the shard's hosts.
  TimePoint valid_until;
  /// When a deposed owner has stopped acting at the latest.
  TimePoint act_after;
  /// Whether the other concerns were told that it may be acted on.
  bool ready = false;
  /// A release of this process awaits its read-back.
  bool releasing = false;
  std::optional<TimePoint> checkpointed_at;
};

struct OwnershipState {
  std::map<ShardId, ShardOwnership> shards;
  /// When the releases of a graceful stop are no longer waited for.
  std::optional<TimePoint> stop_deadline;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_OWNERSHIP_H_
