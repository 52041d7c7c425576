#ifndef BASILSPREAD_CORE_MINION_H_
#define BASILSPREAD_CORE_MINION_H_

#include <cstdint>
#include <string>

#include "basilspread/core/ids.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// Group of a minion's slots that a request occupies. Long requests use open
/// slots only; the other classes take reserved slots first.
enum class SlotKind { kOpen, kReserved };

/// Slot counts of one group of a minion.
struct SlotGroup {
  std::uint32_t slots = 0;
  /// Slots that run a request of this process.
  std::uint32_t busy = 0;
  /// Slots that an earlier request may still occupy.
  std::uint32_t held = 0;
};

/// State of a minion's outlier detection.
enum class HealthPhase {
  kHealthy,
  /// Gets no requests until `MinionHealth::ejected_until`.
  kEjected,
  /// Gets one idempotent request at a time.
  kProbing,
  /// Gets an increasing number of concurrent requests.
  kRecovering,
};

/// Health of a minion as derived from the outcomes of its requests.
struct MinionHealth {
  HealthPhase phase = HealthPhase::kHealthy;
  /// Moving average of the share of failed requests, from 0 to 1.
  double failure_rate = 0;
  /// Number of outcomes since the phase began.
  std::uint32_t outcomes = 0;
  std::uint32_t consecutive_failures = 0;
  TimePoint ejected_until;
  /// Length of the last ejection; doubles while the minion keeps failing.
  Duration ejection_time{};
  /// Maximum number of concurrent requests in kProbing and kRecovering.
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

/// Slots that are busy or held.
std::uint32_t UsedSlots(const Minion& minion);
std::uint32_t TotalSlots(const Minion& minion);
/// Slots that a request could take; 0 while the minion is leaving or ejected.
std::uint32_t FreeSlots(const Minion& minion);
/// Free slots that a long request could take.
std::uint32_t FreeOpenSlots(const Minion& minion);

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_MINION_H_
