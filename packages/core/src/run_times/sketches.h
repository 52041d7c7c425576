#ifndef BASILSPREAD_CORE_RUN_TIMES_SKETCHES_H_
#define BASILSPREAD_CORE_RUN_TIMES_SKETCHES_H_

#include <vector>

#include "basilspread/core/submissions.h"

/// The learned distributions by key, and how they combine to an estimate.
namespace basilspread::internal::run_times {

/// Runs of a kind after which its estimate is sure. The tasks of one submission
/// count as four runs at most, so that it takes two of them.
inline constexpr double kSureWeight = 8;

/// Keys of a task of the step, from the most general to the most specific.
std::vector<RunTimeKey> KeysOf(const Submission& submission,
                               std::uint32_t step);

/// Distribution of the run times of the step's tasks; empty if nothing is known
/// and the caller declares none.
RunTimeWeights Predict(const RunTimesState& state, const Submission& submission,
                       std::uint32_t step);

/// Whether the histogram has enough runs for a sure estimate.
bool IsSure(const RunTimeSketch& sketch);

/// The sketch of the key. Makes room for a new one, at the expense of the
/// oldest sketch that is not sure, or of the oldest one.
RunTimeSketch& FindOrAdd(RunTimesState& state, const RunTimeKey& key);

/// A run to learn from.
struct RunSample {
  Duration run_time{};
  /// Zero: the caller declares none.
  Duration declared{};
  /// Share of a run for which it counts, between 0 and 1.
  double weight = 1;
};

/// Adds a run. Returns whether the latest runs were all on one side of the
/// median, upon which the sketch has forgotten most of the earlier ones.
bool Learn(RunTimeSketch& sketch, const RunSample& sample);

}  // namespace basilspread::internal::run_times

#endif  // BASILSPREAD_CORE_RUN_TIMES_SKETCHES_H_
