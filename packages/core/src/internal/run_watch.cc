#include "internal/run_watch.h"

#include <algorithm>

#include "run_times/run_times.h"

namespace basilspread::internal::run_watch {
namespace {

/// Workers report progress in whole percents and are polled at least every
/// 1.5 s, so that a run that makes progress shows it within one more poll.
constexpr Duration kMinStallTimeout = std::chrono::milliseconds(2200);
/// A percent may take this many times as long as those before it.
constexpr std::int64_t kSlowFactor = 6;
constexpr std::int64_t kPercent = 100;

/// Few tasks take longer, and those that do show it by their own speed later.
constexpr double kHighQuantile = 0.95;
/// Stops of the same task in turn after which the time-out grows no more.
constexpr std::uint32_t kMaxDoublings = 8;

/// Time per percent, by the run's own speed, or by a high quantile of its step
/// before the first gain.
Duration TimePerPercent(const Context& context, const Submission& submission,
                        const RunName& name, const RunState& task) {
  const std::uint32_t gained = task.percent - task.first_percent;
  if (gained > 0) {
    return (task.progressed_at - task.started_at) / gained;
  }
  return run_times::Quantile(context, submission, name.task.step,
                             kHighQuantile) /
         kPercent;
}

bool IsGangComplete(const StepState& step) {
  return std::all_of(step.tasks.begin(), step.tasks.end(),
                     [](const RunState& member) {
                       return member.phase == RunPhase::kRunning ||
                              member.phase == RunPhase::kSucceeded;
                     });
}

}  // namespace

void RecordProgress(const Context& context, RunState& task,
                    const ListedRun& run) {
  if (!task.has_reported_progress) {
    task.has_reported_progress = true;
    task.first_percent = run.percent;
    task.percent = run.percent;
    task.progressed_at = context.now;
    return;
  }
  if (run.percent != task.percent) {
    task.first_percent = std::min(task.first_percent, run.percent);
    task.percent = run.percent;
    task.progressed_at = context.now;
    // From now on the run's own speed counts, and not an estimate.
    task.stuck_runs = 0;
  }
}

bool IsStuck(const Context& context, const Submission& submission,
             const RunName& name) {
  const StepState& step = submission.steps[name.task.step];
  const RunState& task = step.tasks[name.task.index];
  const bool is_gang = submission.spec->steps[name.task.step].gang;
  // A gang member at 100 percent waits for the others to finish.
  const bool is_complete = task.percent >= kPercent;
  if (!task.has_reported_progress || is_complete ||
      (is_gang && !IsGangComplete(step))) {
    return false;
  }
  const Duration timeout =
      std::max(kMinStallTimeout,
               TimePerPercent(context, submission, name, task) * kSlowFactor);
  // The estimate may be too short. A task that is stopped each time before its
  // first gain would never end.
  return context.now >=
         task.progressed_at +
             timeout * (1U << std::min(task.stuck_runs, kMaxDoublings));
}

}  // namespace basilspread::internal::run_watch
