#include "reduce_watch.h"

#include <time.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "basilspread/core/reducer.h"

namespace basilspread::bench {
namespace {

constexpr int kCalibrations = 20'000;

ReduceWatch& TheWatch() {
  static ReduceWatch watch;
  return watch;
}

Duration ThreadTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

/// What two readings of the clock add.
Duration MeasureOverhead() {
  Duration sum{};
  for (int i = 0; i < kCalibrations; ++i) {
    const Duration before = ThreadTime();
    sum += ThreadTime() - before;
  }
  return sum / kCalibrations;
}

}  // namespace

void WatchReduce(ReduceWatch watch) { TheWatch() = std::move(watch); }

// The linker puts these in the reducer's place (--wrap), so that the stand-ins
// of earlier commits can be watched as they are.
Effects RealReduce(State& state, const Event& event) __asm__(
    "__real__ZN11basilspread6ReduceERNS_5StateERKNS_5EventE");
Effects WatchedReduce(State& state, const Event& event) __asm__(
    "__wrap__ZN11basilspread6ReduceERNS_5StateERKNS_5EventE");

Effects WatchedReduce(State& state, const Event& event) {
  static const Duration kOverhead = MeasureOverhead();
  if (!TheWatch()) {
    return RealReduce(state, event);
  }
  const Duration before = ThreadTime();
  Effects effects = RealReduce(state, event);
  const Duration taken = ThreadTime() - before - kOverhead;
  TheWatch()(state, event, std::max(taken, Duration::zero()));
  return effects;
}

}  // namespace basilspread::bench
