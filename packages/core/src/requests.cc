#include "basilspread/core/requests.h"

namespace basilspread {

std::uint32_t QueuedRequests(const MinionShard& shard) {
  std::uint32_t queued = 0;
  for (const ClassQueue& queue : shard.queues) {
    queued += queue.count;
  }
  return queued;
}

void FillShardLoad(const MinionShard& shard, ShardReport& report) {
  report.queued = QueuedRequests(shard);
  report.queued_long =
      shard.queues[static_cast<std::size_t>(ServiceClass::kLong)].count;
  report.free_slots = 0;
  report.free_open_slots = 0;
  for (const auto& [name, minion] : shard.minions) {
    report.free_slots += FreeSlots(minion);
    report.free_open_slots += FreeOpenSlots(minion);
  }
}

}  // namespace basilspread
