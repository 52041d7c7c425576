#include "soak/outages.h"

#include <algorithm>

#include "platform/bounds.h"

namespace soak {
namespace {

/// The longest gap that begins in the span, or that the begin falls into.
Duration LongestGap(const std::vector<TimePoint>& served, TimePoint begin,
                    TimePoint end) {
  Duration longest{};
  TimePoint last = begin;
  for (auto next = std::upper_bound(served.begin(), served.end(), begin);
       next != served.end() && last < end; ++next) {
    longest = std::max(longest, *next - last);
    last = *next;
  }
  return longest;
}

}  // namespace

std::map<std::size_t, std::vector<Duration>> FindOutages(const World& world) {
  std::map<std::size_t, std::vector<Duration>> outages;
  for (const FaultRecord& fault : world.Faults()) {
    outages[fault.kind].push_back(
        LongestGap(world.GetLedger().Acceptances(), fault.begin,
                   fault.end + standin::bounds::kContactWindow));
  }
  for (auto& [kind, times] : outages) {
    std::sort(times.begin(), times.end());
  }
  return outages;
}

}  // namespace soak
