#ifndef BASILSPREAD_CORE_INTERNAL_SUBMISSION_RUNS_H_
#define BASILSPREAD_CORE_INTERNAL_SUBMISSION_RUNS_H_

#include <cstddef>
#include <cstdint>

#include "basilspread/core/submission_record.h"
#include "basilspread/core/submissions.h"

/// Operations on one submission's steps, tasks and runs, without effects.
namespace basilspread::internal::submission_runs {

/// Creates a submission with all steps waiting.
SubmissionPtr Make(const SubmissionSpecPtr& spec, const QueuePolicy& policy,
                   TimePoint arrived);

/// Whether all steps that the step depends on have succeeded.
bool IsReady(const Submission& submission, std::uint32_t step);
/// Whether all steps have succeeded.
bool HasSucceeded(const Submission& submission);
/// The run's task; null when the submission has no such task.
RunState* FindRun(Submission& submission, const RunName& name);
/// Whether this run of the task occupies capacity on a worker.
bool IsOnWorker(const RunState& task, const RunName& name);
/// Records that a run is being started on the worker.
void BeginRun(Submission& submission, const RunName& name,
              const HostName& worker);
/// Records that the run is off its worker; the task waits again unless it
/// succeeded.
void ClearRun(RunState& task);

void MarkSucceeded(StepState& step, RunState& task);
/// Records a run's success; one member's success counts for its whole gang.
void RecordSuccess(Submission& submission, const RunName& name);
/// Counts a failed run once, that of a gang at its first member. Returns the
/// number of failed runs.
std::size_t CountFailure(Submission& submission, const RunName& name);

/// What each task of the step reserves.
RunReservation ReservationOf(const Submission& submission, std::uint32_t step);

bool IsGang(const Submission& submission, std::uint32_t step);
/// The run that all members of a started gang share.
Attempt CurrentRunOfGang(const StepState& step);
/// Whether this run of a gang member still occupies capacity on a worker.
bool IsGangOnWorkers(const StepState& step, Attempt run);
/// Makes a gang wait for placement again once no member is on a worker.
void ResetGang(Submission& submission, std::uint32_t index);

}  // namespace basilspread::internal::submission_runs

#endif  // BASILSPREAD_CORE_INTERNAL_SUBMISSION_RUNS_H_
