#ifndef BASILSPREAD_CORE_INTERNAL_REQUESTS_EJECTION_H_
#define BASILSPREAD_CORE_INTERNAL_REQUESTS_EJECTION_H_

#include "basilspread/core/requests.h"
#include "internal/context.h"

namespace basilspread::internal::requests {

/// Updates a minion's health by the outcome of one request. Ejects the minion
/// when it fails far more often than the others, and lets it recover in steps.
void RecordMinionOutcome(Context& context, MinionShard& shard,
                         const HostName& host, bool failed);

/// Ends the ejections that are due. The minions are then probed if `can_probe`
/// is true, that is if the pool has an idempotent route; otherwise they recover
/// without probes.
void EndEjections(Context& context, MinionShard& shard, bool can_probe);

}  // namespace basilspread::internal::requests

#endif  // BASILSPREAD_CORE_INTERNAL_REQUESTS_EJECTION_H_
