#ifndef BASILSPREAD_CORE_TESTS_SUPPORT_STORE_WORLD_TIMES_H_
#define BASILSPREAD_CORE_TESTS_SUPPORT_STORE_WORLD_TIMES_H_

#include <chrono>

#include "basilspread/core/ids.h"
#include "basilspread/core/time.h"

/// Times of the stand-ins of a StoreWorld.
namespace basilspread::test {

/// From a call to its answer.
inline constexpr Duration kCallTime = std::chrono::milliseconds(2);
/// From a call to its being given up.
inline constexpr Duration kTimeout = std::chrono::milliseconds(800);
/// Processes and workers are spread over the zones in turn.
inline ZoneName ZoneOf(int index) {
  return ZoneName{index % 2 == 0 ? "east" : "west"};
}

/// A look that waits sees an end within this.
inline constexpr Duration kTick = std::chrono::milliseconds(5);

}  // namespace basilspread::test

#endif  // BASILSPREAD_CORE_TESTS_SUPPORT_STORE_WORLD_TIMES_H_
