#include "basilspread/core/hooks.h"

#include "basilspread/core/placement.h"
#include "basilspread/core/requests.h"

namespace basilspread {
namespace {

const Minion* ChooseLeastLoaded(const std::vector<const Minion*>& candidates,
                                Random& random) {
  // Starting at a random place spreads ties.
  const std::size_t start = random.Below(candidates.size());
  const Minion* best = candidates[start];
  for (std::size_t i = 1; i < candidates.size(); ++i) {
    const Minion* other = candidates[(start + i) % candidates.size()];
    if (other->busy < best->busy) {
      best = other;
    }
  }
  return best;
}

const Minion* ChooseRandom(const std::vector<const Minion*>& candidates,
                           Random& random) {
  return candidates[random.Below(candidates.size())];
}

}  // namespace

Hooks DefaultHooks() {
  Hooks hooks;
  hooks.minion_choices["least-loaded"] = ChooseLeastLoaded;
  hooks.minion_choices["random"] = ChooseRandom;
  hooks.worker_choices["best-fit"] = ChooseBestFit;
  hooks.worker_choices["first-fit"] = ChooseFirstFit;
  hooks.worker_choices["random"] = ChooseRandomFit;
  return hooks;
}

}  // namespace basilspread
