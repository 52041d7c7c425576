#ifndef BASILSPREAD_CORE_TIME_H_
#define BASILSPREAD_CORE_TIME_H_

#include <chrono>

namespace basilspread {

/// Points on one process's own monotonic clock. Points of two processes are
/// never compared; only durations cross a process boundary.
using TimePoint = std::chrono::steady_clock::time_point;

using Duration = std::chrono::nanoseconds;

/// The time of day as a process's own host tells it. Those of two hosts differ
/// by the errors of their clocks.
using TimeOfDay = std::chrono::time_point<std::chrono::system_clock, Duration>;

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_TIME_H_
