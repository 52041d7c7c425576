#ifndef BASILSPREAD_CORE_TIME_H_
#define BASILSPREAD_CORE_TIME_H_

#include <chrono>

namespace basilspread {

/// Points on one process's own monotonic clock. Points of two processes are
/// never compared; only durations cross a process boundary.
using TimePoint = std::chrono::steady_clock::time_point;

using Duration = std::chrono::nanoseconds;

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_TIME_H_
