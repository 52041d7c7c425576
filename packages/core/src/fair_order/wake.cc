#include "fair_order/wake.h"

#include <cstddef>

#include "internal/own_load.h"
#include "internal/step_placement.h"
#include "internal/submission_progress.h"

namespace basilspread::internal::fair_order {
namespace {

/// A freed run makes room for few tasks, and each of these frees room again.
constexpr std::size_t kMaxWoken = 4;
/// Bounds the search past submissions that wait for something else.
constexpr std::size_t kMaxVisited = 32;

}  // namespace

void WakeMostUrgent(Context& context, const PoolName& pool) {
  if (own_load::StandingDelay(context) > Duration::zero()) {
    // Further passes would delay other events; the sweep finds the room.
    return;
  }
  const auto& queue = context.state.submissions.queue;
  std::size_t woken = 0;
  std::size_t visited = 0;
  for (auto entry = queue.begin();
       entry != queue.end() && woken < kMaxWoken && visited < kMaxVisited;
       ++entry, ++visited) {
    Submission* submission = submission_progress::Find(context, entry->second);
    if (submission != nullptr && submission->policy.pool == pool &&
        !submission->policy.advice) {
      step_placement::Wake(context, *submission);
      ++woken;
    }
  }
}

}  // namespace basilspread::internal::fair_order
