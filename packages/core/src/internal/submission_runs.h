#ifndef BASILSPREAD_CORE_INTERNAL_SUBMISSION_RUNS_H_
#define BASILSPREAD_CORE_INTERNAL_SUBMISSION_RUNS_H_

#include <cstddef>
#include <cstdint>

#include "basilspread/core/submission_record.h"
#include "basilspread/core/submissions.h"

/// One submission's steps and the runs of their tasks, without effects.
namespace basilspread::internal::submission_runs {

/// A new submission with all of its steps waiting.
SubmissionPtr Make(const SubmissionSpecPtr& spec, const QueuePolicy& policy,
                   TimePoint arrived);

/// Whether all steps that the step waits for have succeeded.
bool IsReady(const Submission& submission, std::uint32_t step);
/// Whether all steps have succeeded.
bool HasSucceeded(const Submission& submission);
/// The run's task; null when the submission has no such task.
RunState* FindRun(Submission& submission, const RunName& name);
/// Whether this run of the task occupies room on a worker.
bool IsPresent(const RunState& task, const RunName& name);
/// Notes that a run is being started.
void BeginRun(Submission& submission, const RunName& name,
              const HostName& worker);
/// The run has ended; its task waits again unless it succeeded.
void Clear(RunState& task);

void MarkSucceeded(StepState& step, RunState& task);
/// One member's success stands for the gang's.
void Succeed(Submission& submission, const RunName& name);
/// Counts a failed run once; a gang's at its first member. Returns how many
/// runs have failed.
std::size_t CountFailure(Submission& submission, const RunName& name);

bool IsGang(const Submission& submission, std::uint32_t step);
/// Whether a member of the gang still occupies room for this run.
bool IsGangPresent(const StepState& step, Attempt run);
/// Once no member occupies room any longer, a broken gang waits anew.
void ResetGang(Submission& submission, std::uint32_t index);

}  // namespace basilspread::internal::submission_runs

#endif  // BASILSPREAD_CORE_INTERNAL_SUBMISSION_RUNS_H_
