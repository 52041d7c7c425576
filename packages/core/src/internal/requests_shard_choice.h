#ifndef BASILSPREAD_CORE_INTERNAL_REQUESTS_SHARD_CHOICE_H_
#define BASILSPREAD_CORE_INTERNAL_REQUESTS_SHARD_CHOICE_H_

#include <cstdint>
#include <optional>

#include "basilspread/core/ids.h"
#include "internal/context.h"

namespace basilspread::internal::requests {

/// Where a request can be queued.
struct ShardOption {
  ShardId shard;
  /// The peer that owns the shard; unset for this process itself.
  std::optional<NodeName> owner;
  /// Free slots less waiting requests.
  std::int64_t free_slots = 0;
};

/// The shard with its owner; unset when no live process is known to own it.
std::optional<ShardOption> FindOwner(const Context& context,
                                     const ShardId& shard);

/// The better of two shards of the pool drawn at random, other than
/// `excluded`; unset when none has a host and a live owner.
std::optional<ShardOption> ChooseShard(Context& context, const PoolName& pool,
                                       const ShardId& excluded);

/// Counts a request that was passed to the shard's owner since its report.
void CountForwarded(Context& context, const ShardOption& option);

}  // namespace basilspread::internal::requests

#endif  // BASILSPREAD_CORE_INTERNAL_REQUESTS_SHARD_CHOICE_H_
