#ifndef BASILSPREAD_CORE_OWNERSHIP_H_
#define BASILSPREAD_CORE_OWNERSHIP_H_

#include <map>
#include <optional>

#include "basilspread/core/ids.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// How a shard passed to its present owner.
enum class TakeoverKind {
  /// The shard never had an owner, or the previous owner drained and released
  /// it.
  kClean,
  /// The previous owner went silent; what it started may still run.
  kUnclean,
};

/// Who owns a shard, and whether this process may act on it.
struct ShardOwnership {
  ShardId shard;
  PoolName pool;

  /// Epoch in force as far as the stream was read; 0 before any claim.
  Epoch epoch;
  /// Owner in that epoch; unset before any claim and after a release.
  std::optional<ProcessId> owner;
  /// Node that the latest release names to claim the shard; empty while the
  /// shard has an owner, or when the release names none.
  NodeName successor;
  /// After a clean takeover: for how long, from reading the release, requests
  /// of owners before the one that released may still occupy slots.
  Duration unsettled{};
  /// How the shard passed to `owner`.
  TakeoverKind kind = TakeoverKind::kClean;
  /// The stream was read from its first record or from a checkpoint. While
  /// unset, a claim in force may have expired unread, and the next checkpoint
  /// names the owner.
  bool has_baseline = false;

  /// Process that reported in its heartbeats to own the shard, in the highest
  /// epoch.
  std::optional<ProcessId> reported_owner;
  Epoch reported_epoch;
  /// When the shard was last known to have a live owner, by heartbeats or by a
  /// new claim in the stream.
  std::optional<TimePoint> last_served_at;

  /// When this process, not being the owner, last began to follow the stream.
  std::optional<TimePoint> followed_since;
  /// A claim by this process was appended and not yet read back.
  bool claiming = false;
  /// Owner that the claim replaces; unset if the shard had none.
  std::optional<ProcessId> deposed;
  /// This process owns the shard: its claim was read back and is in force.
  bool owned_by_self = false;
  /// Until when this process, as owner, may act: no other process acts on the
  /// shard's hosts before then.
  TimePoint valid_until;
  /// Point at which the replaced owner has stopped acting; this process waits
  /// for it before it acts.
  TimePoint act_after;
  /// Requests and jobs have been told that they may act on the shard.
  bool ready = false;
  /// A release by this process was appended and not yet read back.
  bool releasing = false;
  /// When this process last appended the shard's checkpoint or gained it.
  std::optional<TimePoint> checkpointed_at;
};

/// Ownership of all shards.
struct OwnershipState {
  std::map<ShardId, ShardOwnership> shards;
  /// When a graceful stop gives up waiting and exits; set when it begins.
  std::optional<TimePoint> stop_deadline;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_OWNERSHIP_H_
