#include "basilspread/core/hooks.h"

#include <algorithm>

#include "basilspread/core/minion.h"
#include "basilspread/core/placement.h"

namespace basilspread {
namespace {

using Candidates = std::vector<const Minion*>;

/// Shorter requests may overtake a request for this many times its own expected
/// run time.
constexpr int kAgeingFactor = 10;

/// Head start of the urgent class over the others in the queue.
constexpr Duration kUrgentHeadStart = std::chrono::seconds(10);

const Minion* ChooseLeastLoaded(const Candidates& candidates,
                                std::uint64_t /*turn*/, Random& random) {
  // Starting at a random index breaks ties evenly.
  const std::size_t start = random.NextBelow(candidates.size());
  const Minion* best = candidates[start];
  for (std::size_t i = 1; i < candidates.size(); ++i) {
    const Minion* other = candidates[(start + i) % candidates.size()];
    if (UsedSlots(*other) < UsedSlots(*best)) {
      best = other;
    }
  }
  return best;
}

const Minion* ChooseRandom(const Candidates& candidates, std::uint64_t /*turn*/,
                           Random& random) {
  return candidates[random.NextBelow(candidates.size())];
}

const Minion* ChooseInTurn(const Candidates& candidates, std::uint64_t turn,
                           Random& /*random*/) {
  return candidates[turn % candidates.size()];
}

TimePoint OrderByArrival(const QueueEntry& entry) { return entry.arrived; }

/// Shortest expected run time first. The handicap of a long request depends on
/// its own run time and not on the length of the queue, so it can be overtaken
/// only for a bounded time, at most half of the time until its deadline.
TimePoint OrderByRunTime(const QueueEntry& entry) {
  const Duration limit = (entry.deadline - entry.arrived) / 2;
  const Duration handicap =
      std::min(entry.expected_run_time * kAgeingFactor, limit);
  const bool is_urgent = entry.service_class == ServiceClass::kUrgent;
  const Duration head_start = is_urgent ? kUrgentHeadStart : Duration::zero();
  return entry.arrived + handicap - head_start;
}

bool FitsDeadline(Duration wait, Duration run_time, Duration time_left) {
  return wait + run_time <= time_left;
}

bool Always(Duration /*wait*/, Duration /*run_time*/, Duration /*time_left*/) {
  return true;
}

}  // namespace

Hooks DefaultHooks() {
  Hooks hooks;
  hooks.minion_choices["least-loaded"] = ChooseLeastLoaded;
  hooks.minion_choices["random"] = ChooseRandom;
  hooks.minion_choices["round-robin"] = ChooseInTurn;
  hooks.queue_orders["shortest-first"] = OrderByRunTime;
  hooks.queue_orders["fifo"] = OrderByArrival;
  hooks.admission_rules["deadline-aware"] = FitsDeadline;
  hooks.admission_rules["always"] = Always;
  hooks.worker_choices["best-fit"] = ChooseBestFit;
  hooks.worker_choices["first-fit"] = ChooseFirstFit;
  hooks.worker_choices["random"] = ChooseRandomFit;
  return hooks;
}

}  // namespace basilspread
