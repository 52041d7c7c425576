#include "run_times/sketches.h"

#include <algorithm>
#include <bit>
#include <cmath>

#include "run_times/histogram.h"

namespace basilspread::internal::run_times {
namespace {

/// Weight of the more general estimate, in runs, beside a sketch without any.
/// It falls as runs come in: an estimate that is off by 100 would otherwise
/// dominate the mean of many runs.
constexpr double kGeneralWeight = 4;
/// Runs that a histogram remembers. A tail of 3% has three runs in it.
constexpr double kMemory = 100;
/// Weight of consecutive runs on one side of the median that counts as a
/// shift: twelve fair coins agree once in 2,000 throws.
constexpr double kShiftWeight = 12;
/// Share of the earlier runs that is kept after a shift.
constexpr double kKeptAfterShift = 0.01;
constexpr double kErrorRate = 0.05;
/// The median's error must be smaller by this factor before a histogram is
/// preferred to the usual one.
constexpr double kPreferredError = 0.8;
/// A scaled ratio may exceed the run times seen by this factor. A kind's run
/// times are known; of a route's other kinds, declared times may be wrong by a
/// factor of 10.
constexpr double kKindReach = 2;
constexpr double kRouteReach = 10;
/// 1.2 KB each with names of usual length, and 1.5 KB at most.
constexpr std::size_t kMaxSketches = 512;
constexpr double kMedian = 0.5;

std::uint8_t MagnitudeOf(std::int64_t amount) {
  return static_cast<std::uint8_t>(std::bit_width(
      static_cast<std::uint64_t>(std::max<std::int64_t>(amount, 0))));
}

/// Whether declared times, corrected by the ratios, predict better than the run
/// times do.
bool UsesRatios(const RunTimeSketch& sketch, RunTimeScope scope,
                const RunTimeWeights& scaled) {
  constexpr double kLow = 0.01;
  constexpr double kHigh = 0.99;
  const bool is_route = scope == RunTimeScope::kRoute;
  const bool is_better =
      is_route ? sketch.time_error >= sketch.ratio_error * kPreferredError
               : sketch.ratio_error < sketch.time_error * kPreferredError;
  const double reach = is_route ? kRouteReach : kKindReach;
  const Duration median = Quantile(scaled, kMedian);
  return is_better && median * reach >= Quantile(sketch.times, kLow) &&
         median <= Quantile(sketch.times, kHigh) * reach;
}

RunTimeWeights DistributionOf(const RunTimeSketch& sketch, RunTimeScope scope,
                              Duration declared) {
  if (declared <= Duration::zero() || Total(sketch.ratios) <= 0) {
    return sketch.times;
  }
  const RunTimeWeights scaled = Scaled(sketch.ratios, declared);
  return UsesRatios(sketch, scope, scaled) ? scaled : sketch.times;
}

/// Updates a moving average of the distance between the median and the bucket
/// of a new value, as a natural logarithm.
void UpdateError(const RunTimeWeights& weights, std::size_t bucket,
                 double weight, double& error) {
  constexpr double kLogPerBucket = 0.17328679513998632;  // A quarter of log(2).
  if (Total(weights) <= 0) {
    return;
  }
  const double median = static_cast<double>(QuantileBucket(weights, kMedian));
  const double found =
      std::abs(static_cast<double>(bucket) - median) * kLogPerBucket;
  error += (found - error) * kErrorRate * weight;
}

/// Returns whether the latest runs were all on one side of the median.
bool HasShifted(RunTimeSketch& sketch, std::size_t bucket, double weight) {
  const std::size_t median = QuantileBucket(sketch.times, kMedian);
  if (bucket == median || Total(sketch.times) < kShiftWeight) {
    sketch.one_sided = 0;
    return false;
  }
  sketch.one_sided = bucket > median ? std::max(sketch.one_sided, 0.0) + weight
                                     : std::min(sketch.one_sided, 0.0) - weight;
  return std::abs(sketch.one_sided) >= kShiftWeight;
}

}  // namespace

std::vector<RunTimeKey> KeysOf(const Submission& submission,
                               std::uint32_t step) {
  const StepSpec& spec = submission.spec->steps[step];
  std::vector<RunTimeKey> keys(1);
  keys[0].route = submission.route;
  RunTimeKey kind = keys[0];
  kind.scope = RunTimeScope::kKind;
  kind.step = step;
  kind.image = spec.image;
  kind.size = {MagnitudeOf(spec.demand.cpu_millicores),
               MagnitudeOf(spec.demand.memory_mebibytes),
               MagnitudeOf(spec.demand.accelerators)};
  keys.push_back(kind);
  if (!submission.spec->workspace.value.empty()) {
    kind.scope = RunTimeScope::kWorkspace;
    kind.workspace = submission.spec->workspace;
    keys.push_back(std::move(kind));
  }
  return keys;
}

RunTimeWeights Predict(const RunTimesState& state, const Submission& submission,
                       std::uint32_t step) {
  const Duration declared = submission.spec->steps[step].expected_run_time;
  RunTimeWeights weights = {};
  if (declared > Duration::zero()) {
    weights.at(TimeBucket(declared)) = 1;
  }
  for (const RunTimeKey& key : KeysOf(submission, step)) {
    const auto found = state.sketches.find(key);
    if (found != state.sketches.end()) {
      const double runs = Total(found->second.times);
      weights =
          Blend(DistributionOf(found->second, key.scope, declared), weights,
                kGeneralWeight * kGeneralWeight / (kGeneralWeight + runs));
    }
  }
  return weights;
}

bool IsSure(const RunTimeSketch& sketch) {
  return Total(sketch.times) >= kSureWeight;
}

RunTimeSketch& FindOrAdd(RunTimesState& state, const RunTimeKey& key) {
  const auto found = state.sketches.find(key);
  if (found != state.sketches.end()) {
    return found->second;
  }
  if (state.sketches.size() >= kMaxSketches) {
    // Callers choose images and sizes at will. Kinds of a single run must not
    // displace those of many.
    const auto oldest = std::min_element(
        state.sketches.begin(), state.sketches.end(),
        [](const auto& left, const auto& right) {
          return std::pair(IsSure(left.second), left.second.last_run) <
                 std::pair(IsSure(right.second), right.second.last_run);
        });
    state.sketches.erase(oldest);
  }
  return state.sketches[key];
}

bool Learn(RunTimeSketch& sketch, const RunSample& sample) {
  const std::size_t time = TimeBucket(sample.run_time);
  const bool has_shifted = HasShifted(sketch, time, sample.weight);
  const double kept =
      has_shifted ? kKeptAfterShift : std::exp(-sample.weight / kMemory);
  sketch.one_sided = has_shifted ? 0 : sketch.one_sided;
  UpdateError(sketch.times, time, sample.weight, sketch.time_error);
  Add(sketch.times, time, sample.weight, kept);
  if (sample.declared > Duration::zero()) {
    const std::size_t ratio =
        RatioBucket(std::chrono::duration<double>(sample.run_time) /
                    std::chrono::duration<double>(sample.declared));
    UpdateError(sketch.ratios, ratio, sample.weight, sketch.ratio_error);
    Add(sketch.ratios, ratio, sample.weight, kept);
  }
  return has_shifted;
}

}  // namespace basilspread::internal::run_times
