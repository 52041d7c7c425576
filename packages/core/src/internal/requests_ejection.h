#ifndef BASILSPREAD_CORE_INTERNAL_REQUESTS_EJECTION_H_
#define BASILSPREAD_CORE_INTERNAL_REQUESTS_EJECTION_H_

#include "basilspread/core/requests.h"
#include "internal/context.h"

namespace basilspread::internal::requests {

/// Judges a minion by the outcome of one request: ejects it when it fails
/// far more often than the others, and brings it back by steps.
void RecordMinionOutcome(Context& context, MinionShard& shard,
                         const HostName& host, bool failed);

/// Lets minions whose ejection is over be probed. `can_probe` says whether
/// the pool has an idempotent route.
void EndEjections(Context& context, MinionShard& shard, bool can_probe);

}  // namespace basilspread::internal::requests

#endif  // BASILSPREAD_CORE_INTERNAL_REQUESTS_EJECTION_H_
