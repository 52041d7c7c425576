#ifndef BASILSPREAD_BENCH_LEADER_REDUCE_WATCH_H_
#define BASILSPREAD_BENCH_LEADER_REDUCE_WATCH_H_

#include <functional>

#include "basilspread/core/event.h"
#include "basilspread/core/state.h"
#include "basilspread/core/time.h"

namespace basilspread::bench {

/// Called after each event with the processor time that its thread took.
using ReduceWatch =
    std::function<void(const State&, const Event&, Duration taken)>;

/// Watches every call of the reducer until the next call; empty: none.
void WatchReduce(ReduceWatch watch);

}  // namespace basilspread::bench

#endif  // BASILSPREAD_BENCH_LEADER_REDUCE_WATCH_H_
