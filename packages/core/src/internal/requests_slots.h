#ifndef BASILSPREAD_CORE_INTERNAL_REQUESTS_SLOTS_H_
#define BASILSPREAD_CORE_INTERNAL_REQUESTS_SLOTS_H_

#include <optional>

#include "basilspread/core/requests.h"
#include "internal/context.h"

namespace basilspread::internal::requests {

/// The slots that the request could take on the minion; unset when none of
/// them is free or the minion must not get this request.
std::optional<SlotKind> FreeSlotFor(const Minion& minion,
                                    const Request& request);

void TakeSlot(Request& request, Minion& minion, SlotKind slot);
void ReleaseSlot(MinionShard& shard, const Request& request);

/// Counts a slot as used until `until`, since the minion may still work on
/// the request that had it.
void HoldSlot(MinionShard& shard, const Request& request, TimePoint until);

/// Counts all slots of a minion as used for as long as requests of the
/// shard's last owner may run; those that long ones never take come first.
void HoldAfterTakeover(const Context& context, MinionShard& shard,
                       Minion& minion);

/// Frees the held slots whose time has come.
void ReleaseHeldSlots(Context& context, MinionShard& shard);

/// Lets the queues be searched again: something became free.
void ClearSaturation(MinionShard& shard);

}  // namespace basilspread::internal::requests

#endif  // BASILSPREAD_CORE_INTERNAL_REQUESTS_SLOTS_H_
