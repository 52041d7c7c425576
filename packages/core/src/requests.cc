#include "basilspread/core/requests.h"

namespace basilspread {

std::uint32_t QueuedRequests(const MinionShard& shard) {
  std::uint32_t queued = 0;
  for (const ClassQueue& queue : shard.queues) {
    queued += queue.count;
  }
  return queued;
}

std::uint32_t FreeSlots(const MinionShard& shard) {
  std::uint32_t free = 0;
  for (const auto& [name, minion] : shard.minions) {
    free += FreeSlots(minion);
  }
  return free;
}

}  // namespace basilspread
