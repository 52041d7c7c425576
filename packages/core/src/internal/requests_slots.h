#ifndef BASILSPREAD_CORE_INTERNAL_REQUESTS_SLOTS_H_
#define BASILSPREAD_CORE_INTERNAL_REQUESTS_SLOTS_H_

#include <optional>

#include "basilspread/core/requests.h"
#include "internal/context.h"

namespace basilspread::internal::requests {

/// The kind of slot that the request could take on the minion; unset when none
/// is free or the minion must not get this request.
std::optional<SlotKind> FreeSlotFor(const Minion& minion,
                                    const Request& request);

void TakeSlot(Request& request, Minion& minion, SlotKind slot);
void ReleaseSlot(MinionShard& shard, const Request& request);

/// Holds the slot of a request until `until`, since the minion may still run
/// the request.
void HoldSlot(MinionShard& shard, const Request& request, TimePoint until);

/// Holds all slots of a minion for as long as requests of the shard's earlier
/// owners may run. Reserved slots are released earlier, since long requests
/// never take them.
void HoldAfterTakeover(const Context& context, MinionShard& shard,
                       Minion& minion);

/// Releases the held slots that are due.
void ReleaseHeldSlots(Context& context, MinionShard& shard);

/// Marks all queues as not saturated, after a slot may have become free.
void ClearSaturation(MinionShard& shard);

}  // namespace basilspread::internal::requests

#endif  // BASILSPREAD_CORE_INTERNAL_REQUESTS_SLOTS_H_
