#ifndef BASILSPREAD_CORE_INTERNAL_REQUESTS_SHARD_CHOICE_H_
#define BASILSPREAD_CORE_INTERNAL_REQUESTS_SHARD_CHOICE_H_

#include <optional>

#include "basilspread/core/ids.h"
#include "basilspread/core/peer_message.h"
#include "basilspread/core/tables.h"
#include "internal/context.h"

namespace basilspread::internal::requests {

/// A shard in which a request can be queued.
struct ShardOption {
  ShardId shard;
  /// The peer that owns the shard; unset for this process itself.
  std::optional<NodeName> owner;
  /// Load of the shard as known to this process.
  ShardReport report;
};

/// Returns the shard with its owner; unset when no live owner is known.
std::optional<ShardOption> FindOwner(const Context& context,
                                     const ShardId& shard);

/// Draws two shards of the route's pool other than `excluded`, weighted by
/// their slots, and returns the one with the larger share of free slots; unset
/// when no shard has both a host and a live owner.
std::optional<ShardOption> ChooseShard(Context& context, const Route& route,
                                       const ShardId& excluded);

/// Adjust the last report of a peer's shard by the requests that this process
/// forwards and gets back, until the next report.
void CountForwarded(Context& context, const NodeName& owner,
                    const ShardId& shard, bool is_long);
void CountReturned(Context& context, const NodeName& owner,
                   const ShardId& shard, bool is_long);

}  // namespace basilspread::internal::requests

#endif  // BASILSPREAD_CORE_INTERNAL_REQUESTS_SHARD_CHOICE_H_
