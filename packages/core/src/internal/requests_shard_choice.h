#ifndef BASILSPREAD_CORE_INTERNAL_REQUESTS_SHARD_CHOICE_H_
#define BASILSPREAD_CORE_INTERNAL_REQUESTS_SHARD_CHOICE_H_

#include <optional>

#include "basilspread/core/ids.h"
#include "basilspread/core/peer_message.h"
#include "basilspread/core/tables.h"
#include "internal/context.h"

namespace basilspread::internal::requests {

/// Where a request can be queued.
struct ShardOption {
  ShardId shard;
  /// The peer that owns the shard; unset for this process itself.
  std::optional<NodeName> owner;
  /// Load of the shard, as far as it is known here.
  ShardReport report;
};

/// The shard with its owner; unset when no live process is known to own it.
std::optional<ShardOption> FindOwner(const Context& context,
                                     const ShardId& shard);

/// The better for the route of two shards of its pool drawn at random by
/// their slots, other than `excluded`; unset when none has a host and a live
/// owner.
std::optional<ShardOption> ChooseShard(Context& context, const Route& route,
                                       const ShardId& excluded);

/// Keep the last report of a peer's shard close to its load, between two
/// reports, by what this process passes on and gets back.
void CountForwarded(Context& context, const NodeName& owner,
                    const ShardId& shard, bool is_long);
void CountReturned(Context& context, const NodeName& owner,
                   const ShardId& shard, bool is_long);

}  // namespace basilspread::internal::requests

#endif  // BASILSPREAD_CORE_INTERNAL_REQUESTS_SHARD_CHOICE_H_
