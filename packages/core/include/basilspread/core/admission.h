#ifndef BASILSPREAD_CORE_ADMISSION_H_
#define BASILSPREAD_CORE_ADMISSION_H_

#include <array>
#include <cstdint>
#include <map>

#include "basilspread/core/ids.h"
#include "basilspread/core/queue_rank.h"
#include "basilspread/core/resources.h"
#include "basilspread/core/time.h"
#include "basilspread/core/work_by_time.h"

namespace basilspread {

/// A submission's share of PoolQueue::waiting.
struct CountedWork {
  PoolName pool;
  QueueRank rank;
  CoreTime work{};
};

/// What waits for a pool, and how fast the pool takes it on.
struct PoolQueue {
  /// Estimated work of waiting tasks by the latest start of their submissions,
  /// for each tier.
  std::array<WorkByTime, kQueueTiers> waiting;
  /// Estimated work of started tasks; each amount decays exponentially.
  std::chrono::duration<double> started{};
  TimePoint started_at;
  /// Cores of the usable workers, and the largest amounts that one of them has.
  double cores = 0;
  Resources largest;
};

/// The leader's estimate of the queue, by which submissions are admitted.
struct AdmissionState {
  std::map<PoolName, PoolQueue> pools;
  /// Submissions rejected since the last log line.
  std::uint32_t rejected = 0;
  std::uint32_t rejected_beyond_share = 0;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_ADMISSION_H_
