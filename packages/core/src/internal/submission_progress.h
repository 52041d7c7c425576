#ifndef BASILSPREAD_CORE_INTERNAL_SUBMISSION_PROGRESS_H_
#define BASILSPREAD_CORE_INTERNAL_SUBMISSION_PROGRESS_H_

#include "basilspread/core/fleet_call.h"
#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// What becomes of submissions, their steps and the runs of their tasks.
namespace basilspread::internal::submission_progress {

Submission* Find(Context& context, const SubmissionId& id);
/// Puts it in the queue if tasks of it are to be placed.
void Enqueue(Context& context, Submission& submission);
/// After a run of the step has ended: ends the submission if all has
/// succeeded, else queues what waits.
void GoOn(Context& context, Submission& submission, std::uint32_t step);
void Cancel(Context& context, Submission& submission);

void OnStarted(Context& context, const RunName& name);
void OnNotStarted(Context& context, const RunOrdered& event);
/// The answer to a start that was sent under `fence` is lost.
void OnStartLost(Context& context, const RunName& name, std::uint64_t fence);
void OnListed(Context& context, FleetWorker& worker, const ListedRun& run);
void OnEnded(Context& context, FleetWorker& worker, const ListedEnd& end);
/// The run does not run and left no end.
void OnLost(Context& context, const RunName& name);
/// Whether the answer to a look would list the run, if it existed.
bool MustBeListed(Context& context, const RunName& name,
                  const WorkerPolled& look);

/// Stops the members of a gang that runs, so that it starts anew.
void BreakGang(Context& context, Submission& submission, std::uint32_t step);

}  // namespace basilspread::internal::submission_progress

#endif  // BASILSPREAD_CORE_INTERNAL_SUBMISSION_PROGRESS_H_
