#include "latency_histogram.h"

namespace basilspread::node {
namespace {

using Seconds = std::chrono::duration<double>;

/// Bucket bounds in seconds, about three per decade, from a call on an unloaded
/// network to the longest time that callers wait for a submission.
const std::vector<double> kBounds = {0.0,  0.001, 0.002, 0.005, 0.01, 0.02,
                                     0.05, 0.1,   0.2,   0.5,   1.0,  2.0,
                                     5.0,  10.0,  20.0,  60.0};

}  // namespace

LatencyHistogram::LatencyHistogram()
    : counts(boost::histogram::make_histogram(Axis(kBounds))) {}

void LatencyHistogram::Add(Duration duration) {
  this->counts(Seconds(duration).count());
  ++this->count;
  this->sum += duration;
}

std::vector<CumulativeBucket> LatencyHistogram::Buckets() const {
  std::vector<CumulativeBucket> buckets;
  std::uint64_t below = 0;
  for (int i = 0; i + 1 < static_cast<int>(kBounds.size()); ++i) {
    below +=
        static_cast<std::uint64_t>(static_cast<double>(this->counts.at(i)));
    buckets.push_back({std::chrono::duration_cast<Duration>(
                           Seconds(kBounds[static_cast<std::size_t>(i) + 1])),
                       below});
  }
  return buckets;
}

}  // namespace basilspread::node
