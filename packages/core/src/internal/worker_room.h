#ifndef BASILSPREAD_CORE_INTERNAL_WORKER_ROOM_H_
#define BASILSPREAD_CORE_INTERNAL_WORKER_ROOM_H_

#include "basilspread/core/fleet.h"
#include "internal/context.h"

/// The workers of each pool by their free room, so that a step finds those
/// with room without a walk over all.
namespace basilspread::internal::worker_room {

/// After a change of what the worker has or reserves.
void Update(Context& context, FleetWorker& worker);
/// The worker is forgotten.
void Remove(Context& context, FleetWorker& worker);

}  // namespace basilspread::internal::worker_room

#endif  // BASILSPREAD_CORE_INTERNAL_WORKER_ROOM_H_
