#ifndef BASILSPREAD_CORE_INTERNAL_REQUESTS_MINIONS_H_
#define BASILSPREAD_CORE_INTERNAL_REQUESTS_MINIONS_H_

#include "basilspread/core/requests.h"
#include "internal/context.h"

namespace basilspread::internal::requests {

/// Rebuilds the minions of the owned shards, and the list of shards that have
/// hosts, from the host list and the tables.
void RebuildMinions(Context& context);

/// Recomputes the slot totals of the eligible minions and the number of ejected
/// ones.
void CountCapacity(MinionShard& shard);

/// Maximum time for which a request can occupy a slot of this kind, which is
/// the longest deadline of the pool's routes that may use it.
Duration MaxRunTime(const Context& context, const PoolName& pool,
                    SlotKind slot);

}  // namespace basilspread::internal::requests

#endif  // BASILSPREAD_CORE_INTERNAL_REQUESTS_MINIONS_H_
