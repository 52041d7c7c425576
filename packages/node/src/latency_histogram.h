#ifndef BASILSPREAD_NODE_LATENCY_HISTOGRAM_H_
#define BASILSPREAD_NODE_LATENCY_HISTOGRAM_H_

// Boost.Histogram requires its users to include the headers of the axes.
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cstdint>
#include <tuple>
#include <vector>

#include "basilspread/core/time.h"

namespace basilspread::node {

/// Cumulative bucket: the number of durations of at most `bound`.
struct CumulativeBucket {
  Duration bound{};
  std::uint64_t count = 0;
};

/// Histogram of durations with bucket bounds from 1 ms to 60 s, based on
/// Boost.Histogram.
class LatencyHistogram {
 public:
  LatencyHistogram();

  void Add(Duration duration);
  std::vector<CumulativeBucket> Buckets() const;
  std::uint64_t Count() const { return this->count; }
  Duration Sum() const { return this->sum; }

 private:
  using Axis = boost::histogram::axis::variable<double>;
  using Counts =
      decltype(boost::histogram::make_histogram(std::declval<Axis>()));

  Counts counts;
  std::uint64_t count = 0;
  Duration sum{};
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_LATENCY_HISTOGRAM_H_
