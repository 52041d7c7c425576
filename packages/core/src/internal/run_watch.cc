#include "internal/run_watch.h"

#include <algorithm>

#include "internal/step_order.h"

namespace basilspread::internal::run_watch {
namespace {

/// Workers tell the progress in whole percents, and are looked at every 1.5 s
/// at the latest: a run that moves shows it within one more look.
constexpr Duration kLeastPatience = std::chrono::milliseconds(2200);
/// A percent may take this much longer than those before it.
constexpr std::int64_t kSlowFactor = 6;
constexpr std::int64_t kPercent = 100;

/// How long one percent takes, by the run's own speed, or by its kind's while
/// it has none.
Duration TimePerPercent(const Context& context, const Submission& submission,
                        const RunName& name, const RunState& task) {
  const std::uint32_t gained = task.percent - task.first_percent;
  if (gained > 0) {
    return (task.progressed_at - task.started_at) / gained;
  }
  return step_order::LikelyRunTime(context, submission, name.task.step) /
         kPercent;
}

bool IsGangWhole(const StepState& step) {
  return std::all_of(step.tasks.begin(), step.tasks.end(),
                     [](const RunState& member) {
                       return member.phase == RunPhase::kRunning ||
                              member.phase == RunPhase::kSucceeded;
                     });
}

}  // namespace

void Note(const Context& context, RunState& task, const ListedRun& run) {
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
  }
}

bool IsStuck(const Context& context, const Submission& submission,
             const RunName& name) {
  const StepState& step = submission.steps[name.task.step];
  const RunState& task = step.tasks[name.task.index];
  const bool is_gang = submission.spec->steps[name.task.step].gang;
  // A member of a gang that is through waits for the others.
  const bool is_through = task.percent >= kPercent;
  if (!task.has_reported_progress || is_through ||
      (is_gang && !IsGangWhole(step))) {
    return false;
  }
  const Duration patience =
      std::max(kLeastPatience,
               TimePerPercent(context, submission, name, task) * kSlowFactor);
  return context.now >= task.progressed_at + patience;
}

}  // namespace basilspread::internal::run_watch
