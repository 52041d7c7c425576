#include "attempts/budget.h"

#include <algorithm>
#include <cstddef>
#include <set>
#include <string_view>

#include "internal/fleet.h"
#include "internal/long_running.h"
#include "internal/submission_runs.h"
#include "internal/worker_room.h"

namespace basilspread::internal::attempts {
namespace {

constexpr std::string_view kPart = "submissions";

/// Runs of a gang have one number for all members, which keep their failures at
/// the first one.
std::size_t CountOfGang(const StepState& step) {
  std::set<Attempt> runs = step.tasks.front().failed_runs;
  for (const RunState& member : step.tasks) {
    for (const RunOnWorker& run : member.unresolved_runs) {
      runs.insert(run.run);
    }
  }
  return runs.size();
}

std::size_t CountOf(const RunState& task) {
  const auto unresolved =
      std::count_if(task.unresolved_runs.begin(), task.unresolved_runs.end(),
                    [&task](const RunOnWorker& run) {
                      return !task.failed_runs.contains(run.run);
                    });
  return task.failed_runs.size() + static_cast<std::size_t>(unresolved);
}

}  // namespace

bool IsUsedUp(const Submission& submission, std::uint32_t step,
              std::uint32_t index) {
  const StepState& state = submission.steps[step];
  const std::size_t count = submission_runs::IsGang(submission, step)
                                ? CountOfGang(state)
                                : CountOf(state.tasks[index]);
  return count > 0 && count >= submission.policy.max_attempts;
}

void AwaitOutcome(Context& context, Submission& submission,
                  const HostName& worker, const RunName& name) {
  RunState* task = submission_runs::FindRun(submission, name);
  if (task == nullptr ||
      long_running::IsLongRunning(submission, name.task.step) ||
      !task->unresolved_runs.insert({worker, name.run}).second) {
    return;
  }
  context.Log(LogLevel::kInfo, kPart,
              "The outcome of an earlier run is unknown; it counts as an "
              "attempt until its worker lists it or its leases lapse.",
              {{"run", ToString(name)},
               {"worker", worker.value},
               {"failures", task->failed_runs.size()},
               {"unresolved", task->unresolved_runs.size()},
               {"max_attempts", submission.policy.max_attempts}});
}

void AwaitOutcomeOfEnded(Context& context, Submission& submission,
                         FleetWorker& worker, const RunName& name) {
  if (long_running::IsLongRunning(submission, name.task.step)) {
    return;
  }
  worker_room::Free(context, worker, name);
  fleet::Adopt(context, worker, name, {});
  AwaitOutcome(context, submission, worker.entry.name, name);
}

bool Resolve(Submission& submission, const HostName& worker,
             const RunName& name) {
  RunState* task = submission_runs::FindRun(submission, name);
  return task != nullptr && task->unresolved_runs.erase({worker, name.run}) > 0;
}

}  // namespace basilspread::internal::attempts
