#ifndef BASILSPREAD_BENCH_CAPACITY_USAGE_H_
#define BASILSPREAD_BENCH_CAPACITY_USAGE_H_

#include <malloc.h>

#include <chrono>
#include <ctime>

namespace capacity {

/// Processor time of this process so far.
inline std::chrono::nanoseconds CpuTime() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

/// Bytes that this process holds from the allocator.
inline double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

inline double Microseconds(std::chrono::nanoseconds time) {
  return std::chrono::duration<double, std::micro>(time).count();
}

}  // namespace capacity

#endif  // BASILSPREAD_BENCH_CAPACITY_USAGE_H_
