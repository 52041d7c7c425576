#include "soak/fault.h"

#include <algorithm>

#include "platform/random.h"

namespace soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Faults of a series, the gaps between their starts, and the calm after them.
/// The longest calm exceeds the contact window and the longest bound.
constexpr std::size_t kMostFaults = 9;
constexpr milliseconds kLongestGap(2500);
constexpr seconds kShortestCalm(1);
constexpr seconds kLongestCalm(12);
constexpr double kRepeatShare = 0.25;

}  // namespace

std::vector<Fault> PlanFaults(std::uint64_t seed,
                              const std::vector<std::size_t>& kinds,
                              Duration from, Duration until) {
  standin::Random random(seed);
  std::vector<Fault> faults;
  Duration at = from;
  while (at < until) {
    const std::size_t count = 1 + standin::Below(random, kMostFaults);
    Duration end = at;
    std::size_t kind = standin::Pick(random, kinds);
    for (std::size_t i = 0; i < count && at < until; ++i) {
      // Some kinds come again and again.
      kind = standin::Chance(random, kRepeatShare)
                 ? kind
                 : standin::Pick(random, kinds);
      const FaultKind& row = FaultKinds()[kind];
      const Duration lasts =
          standin::Between(random, row.shortest, row.longest);
      faults.push_back({kind, at, std::min(lasts, until - at), random()});
      end = std::max(end, at + faults.back().lasts);
      at += standin::Between(random, Duration::zero(), kLongestGap);
    }
    at = std::max(at, end) +
         standin::Between(random, kShortestCalm, kLongestCalm);
  }
  return faults;
}

}  // namespace soak
