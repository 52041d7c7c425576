#include "internal/worker_room.h"

#include <algorithm>
#include <utility>

#include "quota/ledger.h"

namespace basilspread::internal::worker_room {
namespace {

void UpdateUnattributed(Context& context, const FleetWorker& worker) {
  const bool has_unattributed =
      std::any_of(worker.runs.begin(), worker.runs.end(),
                  [](const auto& run) { return run.second.is_unattributed; });
  if (!has_unattributed) {
    context.state.submissions.fleet.with_unattributed.erase(worker.entry.name);
  }
}

}  // namespace

void Update(Context& context, FleetWorker& worker) {
  FleetState& fleet = context.state.submissions.fleet;
  if (worker.number == 0) {
    worker.number = ++fleet.last_number;
  }
  const Resources free = worker.entry.capacity - worker.reserved;
  Remove(context, worker);
  PoolFreeCapacity& room = fleet.free_by_pool[worker.entry.pool];
  worker.index_key = FreeCpuKey{free.cpu_millicores, worker.number, &worker};
  worker.indexed_pool = worker.entry.pool;
  worker.indexed_free = free;
  room.workers.insert(*worker.index_key);
  room.free += free;
}

bool Reserve(Context& context, FleetWorker& worker, const RunName& name,
             RunReservation reservation) {
  const auto [run, is_new] = worker.runs.emplace(name, std::move(reservation));
  if (!is_new) {
    return false;
  }
  worker.reserved += run->second.demand;
  if (run->second.is_unattributed) {
    context.state.submissions.fleet.with_unattributed.insert(worker.entry.name);
  }
  if (run->second.is_long_running) {
    worker.long_running += run->second.demand;
  }
  quota::OnReserved(context, name, run->second);
  Update(context, worker);
  return true;
}

bool Free(Context& context, FleetWorker& worker, const RunName& name) {
  const auto run = worker.runs.extract(name);
  if (run.empty()) {
    return false;
  }
  worker.reserved -= run.mapped().demand;
  if (run.mapped().is_unattributed) {
    UpdateUnattributed(context, worker);
  }
  if (run.mapped().is_long_running) {
    worker.long_running -= run.mapped().demand;
  }
  quota::OnFreed(context, name, run.mapped());
  Update(context, worker);
  return true;
}

void Remove(Context& context, FleetWorker& worker) {
  if (!worker.index_key) {
    return;
  }
  PoolFreeCapacity& room =
      context.state.submissions.fleet.free_by_pool[worker.indexed_pool];
  room.workers.erase(*worker.index_key);
  room.free -= worker.indexed_free;
  worker.index_key.reset();
}

}  // namespace basilspread::internal::worker_room
