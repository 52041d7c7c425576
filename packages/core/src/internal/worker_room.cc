#include "internal/worker_room.h"

namespace basilspread::internal::worker_room {

void Update(Context& context, FleetWorker& worker) {
  FleetState& fleet = context.state.submissions.fleet;
  if (worker.number == 0) {
    worker.number = ++fleet.last_number;
  }
  const Resources free = worker.entry.capacity - worker.reserved;
  Remove(context, worker);
  PoolRoom& room = fleet.rooms[worker.entry.pool];
  worker.place = RoomKey{free.cpu_millicores, worker.number, &worker};
  worker.place_pool = worker.entry.pool;
  worker.place_free = free;
  room.workers.insert(*worker.place);
  room.free += free;
}

void Remove(Context& context, FleetWorker& worker) {
  if (!worker.place) {
    return;
  }
  PoolRoom& room = context.state.submissions.fleet.rooms[worker.place_pool];
  room.workers.erase(*worker.place);
  room.free -= worker.place_free;
  worker.place.reset();
}

}  // namespace basilspread::internal::worker_room
