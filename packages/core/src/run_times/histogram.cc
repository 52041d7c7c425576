#include "run_times/histogram.h"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <cmath>
#include <numeric>

namespace basilspread::internal::run_times {
namespace {

namespace axis = boost::histogram::axis;

using LogAxis = axis::regular<double, axis::transform::log, axis::null_type,
                              axis::option::none_t>;

using RunTimeSeconds = std::array<double, kRunTimeBuckets>;

constexpr double kBucketsPerDoubling = 4;
/// Binary logarithm of the first edge of either axis, in seconds or as a ratio.
/// The axis of times ends at 48 days, above limits::kMaxExpectedWork.
constexpr double kFirstTime = -10;
constexpr double kFirstRatio = -16;

LogAxis MakeAxis(double first) {
  constexpr double kDoublings = kRunTimeBuckets / kBucketsPerDoubling;
  return {kRunTimeBuckets, std::exp2(first), std::exp2(first + kDoublings)};
}

const LogAxis& TimeAxis() {
  static const LogAxis kAxis = MakeAxis(kFirstTime);
  return kAxis;
}

const LogAxis& RatioAxis() {
  static const LogAxis kAxis = MakeAxis(kFirstRatio);
  return kAxis;
}

std::size_t BucketOf(const LogAxis& axis, double value) {
  // The logarithm of zero lies outside every axis.
  const double positive = std::max(value, axis.value(0));
  return static_cast<std::size_t>(std::clamp<int>(
      axis.index(positive), 0, static_cast<int>(kRunTimeBuckets) - 1));
}

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

/// Time at a position on the axis of times, in buckets from its begin.
Duration TimeAt(double position) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(TimeAxis().value(position)));
}

/// Middles of the buckets of run times, in seconds. Computed once, since each
/// takes an exponential.
const RunTimeSeconds& Middles() {
  static const RunTimeSeconds kMiddles = [] {
    constexpr double kMiddle = 0.5;
    RunTimeSeconds middles = {};
    for (std::size_t i = 0; i < middles.size(); ++i) {
      middles.at(i) = TimeAxis().value(static_cast<double>(i) + kMiddle);
    }
    return middles;
  }();
  return kMiddles;
}

}  // namespace

std::size_t TimeBucket(Duration time) {
  return BucketOf(TimeAxis(), Seconds(time));
}

std::size_t RatioBucket(double ratio) { return BucketOf(RatioAxis(), ratio); }

void Add(RunTimeWeights& weights, std::size_t bucket, double weight,
         double kept) {
  // Smaller ones count for nothing, and would decay to subnormal numbers, with
  // which processors are slow.
  constexpr float kLeastWeight = 1e-4F;
  for (float& each : weights) {
    each *= static_cast<float>(kept);
    each = each < kLeastWeight ? 0 : each;
  }
  weights.at(bucket) += static_cast<float>(weight);
}

double Total(const RunTimeWeights& weights) {
  return std::accumulate(weights.begin(), weights.end(), 0.0);
}

RunTimeWeights Scaled(const RunTimeWeights& ratios, Duration declared) {
  constexpr auto kLast = static_cast<std::int64_t>(kRunTimeBuckets) - 1;
  const std::int64_t shift = std::llround(
      kBucketsPerDoubling *
      (std::log2(std::max(Seconds(declared), TimeAxis().value(0))) +
       kFirstRatio - kFirstTime));
  RunTimeWeights times = {};
  for (std::size_t i = 0; i < ratios.size(); ++i) {
    const std::int64_t bucket = static_cast<std::int64_t>(i) + shift;
    times.at(static_cast<std::size_t>(
        std::clamp<std::int64_t>(bucket, 0, kLast))) += ratios.at(i);
  }
  return times;
}

RunTimeWeights Blend(const RunTimeWeights& specific,
                     const RunTimeWeights& general, double strength) {
  const double total = Total(general);
  RunTimeWeights blended = specific;
  if (total > 0) {
    const auto factor = static_cast<float>(strength / total);
    for (std::size_t i = 0; i < blended.size(); ++i) {
      blended.at(i) += general.at(i) * factor;
    }
  }
  return blended;
}

std::size_t QuantileBucket(const RunTimeWeights& weights, double q) {
  const double target = Total(weights) * std::clamp(q, 0.0, 1.0);
  double below = 0;
  std::size_t last = 0;
  for (std::size_t i = 0; i < weights.size(); ++i) {
    if (weights.at(i) <= 0) {
      continue;
    }
    last = i;
    below += weights.at(i);
    if (below >= target) {
      break;
    }
  }
  return last;
}

Duration Quantile(const RunTimeWeights& times, double q) {
  const double total = Total(times);
  if (total <= 0) {
    return Duration::zero();
  }
  const std::size_t bucket = QuantileBucket(times, q);
  const double below = std::accumulate(
      times.begin(), times.begin() + static_cast<std::ptrdiff_t>(bucket), 0.0);
  const double within = (total * q - below) / times.at(bucket);
  return TimeAt(static_cast<double>(bucket) + std::clamp(within, 0.0, 1.0));
}

Duration MeanOfLongest(const RunTimeWeights& times, std::uint32_t count) {
  const double total = Total(times);
  if (total <= 0) {
    return Duration::zero();
  }
  double mean = 0;
  double below = 0;
  double share_before = 0;
  const RunTimeSeconds& middles = Middles();
  for (std::size_t i = 0; i < times.size(); ++i) {
    if (times.at(i) <= 0) {
      continue;
    }
    below += times.at(i);
    // All of the runs are at most this long with the power of the share.
    const double one = std::min(1.0, below / total);
    const double share = count <= 1 ? one : std::pow(one, count);
    mean += (share - share_before) * middles.at(i);
    share_before = share;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(mean));
}

Duration MeanRemaining(const RunTimeWeights& times, Duration elapsed) {
  double weight = 0;
  double sum = 0;
  for (std::size_t i = 0; i < times.size(); ++i) {
    const double middle = Middles().at(i);
    if (times.at(i) > 0 && middle > Seconds(elapsed)) {
      weight += times.at(i);
      sum += times.at(i) * (middle - Seconds(elapsed));
    }
  }
  return weight <= 0 ? elapsed
                     : std::chrono::duration_cast<Duration>(
                           std::chrono::duration<double>(sum / weight));
}

}  // namespace basilspread::internal::run_times
