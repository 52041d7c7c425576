#ifndef BASILSPREAD_CORE_INTERNAL_REQUESTS_MINIONS_H_
#define BASILSPREAD_CORE_INTERNAL_REQUESTS_MINIONS_H_

#include "basilspread/core/requests.h"
#include "internal/context.h"

namespace basilspread::internal::requests {

/// Rebuilds the minions of the owned shards, and the list of shards that
/// hold a host, from the host list and the tables.
void RebuildMinions(Context& context);

/// Sums the slots of the minions that are in the choice.
void CountCapacity(MinionShard& shard);

/// How long a request of the classes that may use the slots can run, by the
/// deadlines of the pool's routes.
Duration MaxRunTime(const Context& context, const PoolName& pool,
                    SlotKind slot);

}  // namespace basilspread::internal::requests

#endif  // BASILSPREAD_CORE_INTERNAL_REQUESTS_MINIONS_H_
