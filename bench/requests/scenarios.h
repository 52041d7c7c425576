#ifndef BASILSPREAD_BENCH_SCENARIOS_H_
#define BASILSPREAD_BENCH_SCENARIOS_H_

#include <cstdint>

#include "requests/result_table.h"

namespace bench {

/// p99 of short requests with one in 20 a hundred times longer, against that
/// without the long ones.
Figures MeasureHeadOfLineBlocking(std::uint64_t seed);

/// Ten times the mean rate for 5 s over a pool sized for twice the mean.
Figures MeasureBurst(std::uint64_t seed);

/// Demand that moves to another entry process every second: requests passed
/// to the owner of the slots, against slots lent to entry processes.
Figures MeasureMovingDemand(std::uint64_t seed);

/// Processor time of the reducer for a refused and for a served request.
Figures MeasureRefusalCost(std::uint64_t seed);

/// Requests over real processes: directly to a minion, and through an entry
/// process.
Figures MeasureEntryOverhead();

}  // namespace bench

#endif  // BASILSPREAD_BENCH_SCENARIOS_H_
