#ifndef BASILSPREAD_CORE_RUN_TIMES_HISTOGRAM_H_
#define BASILSPREAD_CORE_RUN_TIMES_HISTOGRAM_H_

#include <cstdint>

#include "basilspread/core/run_times.h"
#include "basilspread/core/time.h"

/// Decayed histograms on a logarithmic axis. A bucket is 19% wide.
namespace basilspread::internal::run_times {

/// Bucket of a run time or a ratio; values beyond the axis count in its first
/// or last bucket.
std::size_t TimeBucket(Duration time);
std::size_t RatioBucket(double ratio);

/// Scales all buckets by `kept`, then adds `weight` to one.
void Add(RunTimeWeights& weights, std::size_t bucket, double weight,
         double kept);

double Total(const RunTimeWeights& weights);

/// Histogram of run times of tasks that declare `declared`, given the histogram
/// of their ratios.
RunTimeWeights Scaled(const RunTimeWeights& ratios, Duration declared);

/// Adds `general` to `specific`, with the total weight `strength`.
RunTimeWeights Blend(const RunTimeWeights& specific,
                     const RunTimeWeights& general, double strength);

/// Index of the bucket that contains the quantile.
std::size_t QuantileBucket(const RunTimeWeights& weights, double q);
/// The time that a share `q` of the runs does not exceed; zero for an empty
/// histogram.
Duration Quantile(const RunTimeWeights& times, double q);

/// Mean of the longest of `count` independent runs; zero for an empty
/// histogram.
Duration MeanOfLongest(const RunTimeWeights& times, std::uint32_t count);

/// Mean time that runs longer than `elapsed` still take. `elapsed` itself once
/// it exceeds all run times, since such tails tend to be scale-free.
Duration MeanRemaining(const RunTimeWeights& times, Duration elapsed);

}  // namespace basilspread::internal::run_times

#endif  // BASILSPREAD_CORE_RUN_TIMES_HISTOGRAM_H_
