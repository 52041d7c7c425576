#include "basilspread/core/minion.h"

#include <algorithm>

namespace basilspread {
namespace {

std::uint32_t FreeSlots(const SlotGroup& group) {
  const std::uint32_t used = group.busy + group.held;
  return group.slots > used ? group.slots - used : 0;
}

}  // namespace

std::uint32_t UsedSlots(const Minion& minion) {
  return minion.open.busy + minion.open.held + minion.reserved.busy +
         minion.reserved.held;
}

std::uint32_t TotalSlots(const Minion& minion) {
  return minion.open.slots + minion.reserved.slots;
}

std::uint32_t FreeSlots(const Minion& minion) {
  if (minion.leaving || minion.health.phase == HealthPhase::kEjected) {
    return 0;
  }
  const std::uint32_t free =
      FreeSlots(minion.open) + FreeSlots(minion.reserved);
  if (minion.health.phase == HealthPhase::kHealthy) {
    return free;
  }
  const std::uint32_t busy = minion.open.busy + minion.reserved.busy;
  const std::uint32_t concurrency_limit = minion.health.concurrency_limit;
  return std::min(free,
                  concurrency_limit > busy ? concurrency_limit - busy : 0);
}

std::uint32_t FreeOpenSlots(const Minion& minion) {
  return std::min(FreeSlots(minion), FreeSlots(minion.open));
}

}  // namespace basilspread
