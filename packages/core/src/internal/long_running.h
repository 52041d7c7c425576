#ifndef BASILSPREAD_CORE_INTERNAL_LONG_RUNNING_H_
#define BASILSPREAD_CORE_INTERNAL_LONG_RUNNING_H_

#include <cstddef>
#include <cstdint>

#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// Long-running tasks: they restart however their runs end, never use up
/// attempts, and are taken down by the scheduler only within the disruption
/// budget of their step.
namespace basilspread::internal::long_running {

bool IsLongRunning(const Submission& submission, std::uint32_t step);
/// Whether any step of the submission is long-running.
bool HasLongRunning(const Submission& submission);

/// Whether the pool can keep the long-running tasks of another submission at
/// work beside those that it has. True for one without such tasks.
bool FitsPool(const Context& context, const SubmissionSpec& spec,
              const PoolName& pool);
/// Delay after which a caller may submit one again that did not fit.
Duration RetryAfter(Context& context);

/// Whether the task has completed its startup and is not being stopped.
bool IsAtWork(const RunState& task);
std::uint32_t CountAtWork(const StepState& step);
/// Adds the submission's long-running tasks, and those of them at work.
void CountTasks(const Submission& submission, std::size_t& tasks,
                std::size_t& at_work);
/// Number of tasks at work that the scheduler may take down now.
std::uint32_t DisruptionsLeft(const StepSpec& spec, const StepState& step);

/// Whether a long-running task on the worker has not completed its startup.
bool HasStartup(Context& context, const FleetWorker& worker);

/// Follows the progress of a listed run; called after each report of it.
void OnProgress(Context& context, const Submission& submission,
                FleetWorker& worker, RunState& task);
/// A run of the task ended on the worker. `was_at_work` tells whether it had
/// completed its startup.
void OnEnded(Context& context, const Submission& submission,
             FleetWorker& worker, RunState& task, RunEnd end, bool was_at_work);
/// The task is off its worker; `was_at_work` is as in OnEnded.
void OnDown(Context& context, const Submission& submission, RunState& task,
            bool was_at_work);

/// The worker began to drain: queues the submissions whose tasks are to move.
void OnDraining(Context& context, const FleetWorker& worker);
/// Moves tasks of the step off draining workers, as far as others have room and
/// the disruption budget allows. Returns whether some are still to be moved.
bool MoveOffDraining(Context& context, Submission& submission,
                     std::uint32_t step);

}  // namespace basilspread::internal::long_running

#endif  // BASILSPREAD_CORE_INTERNAL_LONG_RUNNING_H_
