#ifndef BASILSPREAD_NODE_DURATION_STATS_H_
#define BASILSPREAD_NODE_DURATION_STATS_H_

// Boost 1.74 uses std::ostringstream here without including it.
// clang-format off
#include <sstream>
// clang-format on

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>

#include "basilspread/core/time.h"

namespace basilspread::node {

/// Summary statistics of a set of durations.
struct DurationSummary {
  std::uint64_t count = 0;
  Duration mean{};
  Duration p50{};
  Duration p90{};
  Duration p99{};
  Duration max{};
};

/// Collects durations and estimates their quantiles in constant memory, with
/// the extended P-square algorithm (Raatikainen, 1987) of Boost.Accumulators.
class DurationStats {
 public:
  DurationStats();

  void Add(Duration duration);
  DurationSummary Summarize() const;

 private:
  using Statistics = boost::accumulators::stats<
      boost::accumulators::tag::count, boost::accumulators::tag::mean,
      boost::accumulators::tag::max,
      boost::accumulators::tag::extended_p_square_quantile>;

  boost::accumulators::accumulator_set<double, Statistics> nanoseconds;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_DURATION_STATS_H_
