#ifndef BASILSPREAD_CORE_TESTS_RANDOM_SCENARIO_H_
#define BASILSPREAD_CORE_TESTS_RANDOM_SCENARIO_H_

#include <cstdint>
#include <iosfwd>
#include <vector>

#include "basilspread/core/time.h"

namespace random_test {

using basilspread::Duration;

enum class FaultKind {
  kKill,
  kPause,
  kStop,
  kLogDown,
  kLogLoseAnswers,
  kLogSlow,
  kLogCut,
  kPeerCut,
  kPeerSilent,
  kPeerSlow,
  kListLag,
  kMinionRefuses,
  kMinionFreezes,
  kMinionLosesAnswers,
  kMinionFails,
  kHostLeaves,
  kWorkerCut,
  kWorkerUnreachable,
  kWorkerLosesAnswers,
  kWorkerSlow,
  kWorkerFails,
  kEdit,
  kRacingEdits,
};

inline constexpr int kFaultKinds =
    static_cast<int>(FaultKind::kRacingEdits) + 1;

/// One fault. `first` and `second` choose what it affects, each modulo the
/// number of candidates.
struct Fault {
  FaultKind kind = FaultKind::kKill;
  Duration at{};
  Duration duration{};
  std::uint32_t first = 0;
  std::uint32_t second = 0;
};

/// All inputs of a run; the same scenario gives the same run.
struct Scenario {
  std::uint64_t seed = 0;
  std::vector<Fault> faults;
};

/// Faults begin between the first two points and have ended by kFaultsEnd.
inline constexpr Duration kFirstFault = std::chrono::seconds(5);
inline constexpr Duration kLastFaultStart = std::chrono::seconds(30);
inline constexpr Duration kMaxFaultDuration = std::chrono::seconds(20);
inline constexpr Duration kFaultsEnd = kLastFaultStart + kMaxFaultDuration;

std::ostream& operator<<(std::ostream& out, const Scenario& scenario);

}  // namespace random_test

#endif  // BASILSPREAD_CORE_TESTS_RANDOM_SCENARIO_H_
