#include "basilspread/core/work_by_time.h"

#include <algorithm>

namespace basilspread {
namespace {

/// Well below the shortest latency targets, which are about a second.
constexpr Duration kSlot = std::chrono::milliseconds(20);
/// Number of slots, which cover more than two years; later times share the
/// last one.
constexpr std::uint64_t kSlots = std::uint64_t{1} << 32U;

/// Number of the slot, from 1.
std::uint64_t SlotOf(TimePoint time) {
  const auto slot = time.time_since_epoch() / kSlot;
  return static_cast<std::uint64_t>(std::clamp<std::int64_t>(
             slot, 0, static_cast<std::int64_t>(kSlots) - 1)) +
         1;
}

constexpr std::uint64_t LowestBit(std::uint64_t value) {
  return value & (~value + 1);
}

}  // namespace

void WorkByTime::Add(TimePoint due, CoreTime work) {
  this->total += work;
  for (std::uint64_t slot = SlotOf(due); slot <= kSlots;
       slot += LowestBit(slot)) {
    const auto sum = this->sums.try_emplace(slot).first;
    sum->second += work;
    if (sum->second == CoreTime::zero()) {
      this->sums.erase(sum);
    }
  }
}

CoreTime WorkByTime::SumBefore(TimePoint time) const {
  CoreTime sum{};
  for (std::uint64_t slot = SlotOf(time) - 1; slot > 0;
       slot -= LowestBit(slot)) {
    const auto found = this->sums.find(slot);
    sum += found == this->sums.end() ? CoreTime::zero() : found->second;
  }
  return sum;
}

}  // namespace basilspread
