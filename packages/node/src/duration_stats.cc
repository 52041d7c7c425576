#include "duration_stats.h"

#include <array>

namespace basilspread::node {
namespace {

using boost::accumulators::extended_p_square_probabilities;
using boost::accumulators::quantile_probability;

// The first and last markers bound the others, so that those are interpolated.
constexpr std::array kProbabilities = {0.01, 0.5, 0.9, 0.99, 0.999};

Duration FromNanoseconds(double nanoseconds) {
  return Duration(static_cast<Duration::rep>(nanoseconds));
}

}  // namespace

DurationStats::DurationStats()
    : nanoseconds(extended_p_square_probabilities = kProbabilities) {}

void DurationStats::Add(Duration duration) {
  this->nanoseconds(static_cast<double>(duration.count()));
}

DurationSummary DurationStats::Summarize() const {
  namespace acc = boost::accumulators;
  DurationSummary summary;
  summary.count = acc::count(this->nanoseconds);
  if (summary.count == 0) {
    return summary;
  }
  const auto quantile = [this](double probability) {
    return FromNanoseconds(
        acc::quantile(this->nanoseconds, quantile_probability = probability));
  };
  summary.mean = FromNanoseconds(acc::mean(this->nanoseconds));
  summary.p50 = quantile(0.5);
  summary.p90 = quantile(0.9);
  summary.p99 = quantile(0.99);
  summary.max = FromNanoseconds((acc::max)(this->nanoseconds));
  return summary;
}

}  // namespace basilspread::node
