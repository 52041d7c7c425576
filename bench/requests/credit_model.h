#ifndef BASILSPREAD_BENCH_CREDIT_MODEL_H_
#define BASILSPREAD_BENCH_CREDIT_MODEL_H_

#include <functional>
#include <vector>

#include "requests/workload.h"

namespace bench {

/// What a run of either way to share slots gave.
struct SharingResult {
  /// Idle slots, as a share of all, while requests waited.
  double idle_while_waiting = 0;
  std::vector<double> response_milliseconds;
};

/// Slots lent to entry processes for a time, each process first come first
/// served on what it holds. At each renewal every credit that is not in use
/// goes where the demand of the last period was. Kinder than any real one:
/// the lender knows all demand at once and no message is late.
SharingResult RunCreditModel(
    std::size_t entries, std::uint32_t slots, Duration renewal,
    const std::vector<Arrival>& arrivals,
    const std::function<std::size_t(const Arrival&)>& entry);

}  // namespace bench

#endif  // BASILSPREAD_BENCH_CREDIT_MODEL_H_
