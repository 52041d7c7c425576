#ifndef BASILSPREAD_CORE_WORK_BY_TIME_H_
#define BASILSPREAD_CORE_WORK_BY_TIME_H_

#include <chrono>
#include <cstdint>
#include <unordered_map>

#include "basilspread/core/time.h"

namespace basilspread {

/// Processor time summed over cores.
using CoreTime = std::chrono::microseconds;

/// Amounts of work by the time at which they are due, with sums up to a time.
/// Algorithm: binary indexed tree (Fenwick, Software: Practice and Experience
/// 24(3), 1994) over slots of time, of which only those in use take memory. The
/// cost of each operation is logarithmic in the number of slots.
class WorkByTime {
 public:
  /// Adds the work; a negative amount removes what was added at the same time.
  void Add(TimePoint due, CoreTime work);
  /// Work that is due in an earlier slot than the time.
  CoreTime SumBefore(TimePoint time) const;
  CoreTime Total() const { return this->total; }
  bool IsEmpty() const { return this->sums.empty(); }

 private:
  std::unordered_map<std::uint64_t, CoreTime> sums;
  CoreTime total{};
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_WORK_BY_TIME_H_
