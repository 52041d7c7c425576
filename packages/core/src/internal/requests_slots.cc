#include "internal/requests_slots.h"

#include <algorithm>

namespace basilspread::internal::requests {
namespace {

SlotGroup& GroupOf(Minion& minion, SlotKind slot) {
  return slot == SlotKind::kOpen ? minion.open : minion.reserved;
}

bool HasFree(const SlotGroup& group) {
  return group.busy + group.held < group.slots;
}

/// Whether the minion's health phase allows this request now.
bool IsAllowed(const Minion& minion, const Request& request) {
  const std::uint32_t busy = minion.open.busy + minion.reserved.busy;
  switch (minion.health.phase) {
    case HealthPhase::kHealthy:
      return true;
    case HealthPhase::kEjected:
      return false;
    case HealthPhase::kProbing:
      return request.idempotent && busy < minion.health.concurrency_limit;
    case HealthPhase::kRecovering:
      return busy < minion.health.concurrency_limit;
  }
  return false;
}

void HoldSlots(MinionShard& shard, Minion& minion, SlotKind slot,
               std::uint32_t count, TimePoint until) {
  if (count == 0) {
    return;
  }
  GroupOf(minion, slot).held += count;
  shard.held.emplace(until, HeldSlots{minion.name, slot, count});
}

}  // namespace

std::optional<SlotKind> FreeSlotFor(const Minion& minion,
                                    const Request& request) {
  const bool was_tried =
      std::find(request.attempted_hosts.begin(), request.attempted_hosts.end(),
                minion.name) != request.attempted_hosts.end();
  if (minion.leaving || was_tried || !IsAllowed(minion, request)) {
    return std::nullopt;
  }
  // Checking each group is not enough: a change of the reserve may leave one
  // group with more requests than slots.
  if (UsedSlots(minion) >= TotalSlots(minion)) {
    return std::nullopt;
  }
  const bool is_long = request.service_class == ServiceClass::kLong;
  if (!is_long && HasFree(minion.reserved)) {
    return SlotKind::kReserved;
  }
  if (HasFree(minion.open)) {
    return SlotKind::kOpen;
  }
  return std::nullopt;
}

void TakeSlot(Request& request, Minion& minion, SlotKind slot) {
  ++GroupOf(minion, slot).busy;
  request.host = minion.name;
  request.slot = slot;
}

void ReleaseSlot(MinionShard& shard, const Request& request) {
  const auto minion = shard.minions.find(request.host);
  if (minion == shard.minions.end()) {
    return;
  }
  --GroupOf(minion->second, request.slot).busy;
  ClearSaturation(shard);
}

void HoldSlot(MinionShard& shard, const Request& request, TimePoint until) {
  const auto minion = shard.minions.find(request.host);
  if (minion != shard.minions.end()) {
    HoldSlots(shard, minion->second, request.slot, 1, until);
  }
}

void HoldAfterTakeover(const Context& context, MinionShard& shard,
                       Minion& minion) {
  if (shard.open_held_until > context.now) {
    HoldSlots(shard, minion, SlotKind::kOpen, minion.open.slots,
              shard.open_held_until);
  }
  if (shard.reserved_held_until > context.now) {
    HoldSlots(shard, minion, SlotKind::kReserved, minion.reserved.slots,
              shard.reserved_held_until);
  }
}

void ReleaseHeldSlots(Context& context, MinionShard& shard) {
  while (!shard.held.empty() && shard.held.begin()->first <= context.now) {
    const HeldSlots held = shard.held.begin()->second;
    shard.held.erase(shard.held.begin());
    const auto minion = shard.minions.find(held.host);
    if (minion != shard.minions.end()) {
      GroupOf(minion->second, held.slot).held -= held.count;
    }
    ClearSaturation(shard);
  }
}

void ClearSaturation(MinionShard& shard) {
  for (ClassQueue& queue : shard.queues) {
    queue.saturated = false;
  }
}

}  // namespace basilspread::internal::requests
