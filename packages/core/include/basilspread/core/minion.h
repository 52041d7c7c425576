#ifndef BASILSPREAD_CORE_MINION_H_
#define BASILSPREAD_CORE_MINION_H_

#include <cstdint>
#include <string>

#include "basilspread/core/ids.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// Which part of a minion's slots a request takes: long ones use open slots
/// only, the other classes reserved ones first.
enum class SlotKind { kOpen, kReserved };

/// One part of a minion's slots.
struct SlotGroup {
  std::uint32_t slots = 0;
  /// Slots with a request of this process.
  std::uint32_t busy = 0;
  /// Slots that an earlier request may still use.
  std::uint32_t held = 0;
};

enum class HealthPhase {
  kHealthy,
  /// Left out of the choice until a point in time.
  kEjected,
  /// Tried with one idempotent request at a time.
  kProbing,
  /// Given a growing number of requests at once.
  kRecovering,
};

/// What the outcomes of a minion's requests say about it.
struct MinionHealth {
  HealthPhase phase = HealthPhase::kHealthy;
  /// Moving average of failures among requests, from 0 to 1.
  double failure_rate = 0;
  /// Outcomes since the phase began.
  std::uint32_t outcomes = 0;
  std::uint32_t consecutive_failures = 0;
  TimePoint ejected_until;
  /// Length of the last ejection; grows while the minion keeps failing.
  Duration ejection_time{};
  /// Requests at once in kProbing and kRecovering.
  std::uint32_t concurrency_limit = 0;
};

/// A minion of a shard that this process owns.
struct Minion {
  HostName name;
  std::string address;
  SlotGroup open;
  SlotGroup reserved;
  bool leaving = false;
  MinionHealth health;
};

/// Slots that are in use or may be.
std::uint32_t UsedSlots(const Minion& minion);
std::uint32_t TotalSlots(const Minion& minion);
/// Slots that a request could take; 0 while leaving or ejected.
std::uint32_t FreeSlots(const Minion& minion);
/// Those of the free slots that a long request could take.
std::uint32_t FreeOpenSlots(const Minion& minion);

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_MINION_H_
