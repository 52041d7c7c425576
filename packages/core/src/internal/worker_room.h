#ifndef BASILSPREAD_CORE_INTERNAL_WORKER_ROOM_H_
#define BASILSPREAD_CORE_INTERNAL_WORKER_ROOM_H_

#include "basilspread/core/fleet.h"
#include "internal/context.h"

/// Index of the workers of each pool by free capacity, so that placing a step
/// needs no scan of all workers.
namespace basilspread::internal::worker_room {

/// To be called after a change of the worker's pool, capacity or reservations.
void Update(Context& context, FleetWorker& worker);
/// Reserves capacity for a run, unless the run has a reservation; returns
/// whether it had none.
bool Reserve(Context& context, FleetWorker& worker, const RunName& name,
             RunReservation reservation);
/// Frees what the run reserves; returns whether it had a reservation.
bool Free(Context& context, FleetWorker& worker, const RunName& name);
/// Removes the worker from the index.
void Remove(Context& context, FleetWorker& worker);

}  // namespace basilspread::internal::worker_room

#endif  // BASILSPREAD_CORE_INTERNAL_WORKER_ROOM_H_
