#ifndef BASILSPREAD_CORE_QUEUE_RANK_H_
#define BASILSPREAD_CORE_QUEUE_RANK_H_

#include <compare>
#include <cstddef>

#include "basilspread/core/time.h"

namespace basilspread {

/// Tiers in the order in which they are served.
enum class QueueTier {
  kOnTime,
  kLate,
  /// On time or late, and beyond the share of its workspace.
  kBeyondShare,
  kTooLate,
};

constexpr std::size_t kQueueTiers =
    static_cast<std::size_t>(QueueTier::kTooLate) + 1;

/// Position of a submission in the queue; the lowest is served first.
struct QueueRank {
  QueueTier tier = QueueTier::kOnTime;
  /// Latest time to start and still meet the latency target.
  TimePoint latest_start;

  friend auto operator<=>(const QueueRank&, const QueueRank&) = default;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_QUEUE_RANK_H_
