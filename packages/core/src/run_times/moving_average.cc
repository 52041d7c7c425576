#include "run_times/moving_average.h"

#include <algorithm>

namespace basilspread::internal::moving_average {
namespace {

/// Weight of the newest run in the moving average, which then covers about
/// twenty runs.
constexpr double kNewestWeight = 0.05;
/// Bounds the ratio of a single run in both directions, since run times have a
/// heavy tail.
constexpr double kMaxRatio = 8;

}  // namespace

Duration Expected(const Context& context, const Submission& submission,
                  std::uint32_t step) {
  const StepSpec& spec = submission.spec->steps[step];
  const auto& averages = context.state.submissions.run_times.averages;
  const auto found = averages.find({submission.route, spec.image});
  const double ratio = found == averages.end() ? 1.0 : found->second.ratio;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(spec.expected_run_time) * ratio);
}

void RecordRun(Context& context, const Submission& submission,
               std::uint32_t step, Duration run_time) {
  const StepSpec& spec = submission.spec->steps[step];
  if (spec.expected_run_time <= Duration::zero()) {
    return;
  }
  const double ratio = std::chrono::duration<double>(run_time) /
                       std::chrono::duration<double>(spec.expected_run_time);
  RunTimeStatistics& statistics = context.state.submissions.run_times
                                      .averages[{submission.route, spec.image}];
  statistics.ratio +=
      (std::clamp(ratio, 1 / kMaxRatio, kMaxRatio) - statistics.ratio) *
      kNewestWeight;
  ++statistics.samples;
}

}  // namespace basilspread::internal::moving_average
