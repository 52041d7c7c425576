#ifndef BASILSPREAD_CORE_INTERNAL_SUBMISSION_PROGRESS_H_
#define BASILSPREAD_CORE_INTERNAL_SUBMISSION_PROGRESS_H_

#include "basilspread/core/fleet_call.h"
#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// Life cycle of submissions, their steps and the runs of their tasks.
namespace basilspread::internal::submission_progress {

Submission* Find(Context& context, const SubmissionId& id);
/// Queues the submission for placement unless it has ended.
void Enqueue(Context& context, Submission& submission);
/// Continues after a run of the step has ended: ends the submission if all
/// steps have succeeded, else queues it again.
void Advance(Context& context, Submission& submission, std::uint32_t step);
void Cancel(Context& context, Submission& submission);
/// Updates SubmissionsState::waiting. To be called after a change of whether
/// the submission is accepted, has started or has ended.
void UpdateWaiting(Context& context, Submission& submission);

void OnStarted(Context& context, const RunName& name);
void OnNotStarted(Context& context, const RunOrdered& event);
/// The response to a start that was sent under `fence` is lost.
void OnStartLost(Context& context, const RunName& name, std::uint64_t fence);
/// The work log lists a run on a worker that has not answered this leader.
void OnRecorded(Context& context, FleetWorker& worker, const RunName& name);
void OnListed(Context& context, FleetWorker& worker, const ListedRun& run);
void OnEnded(Context& context, FleetWorker& worker, const ListedEnd& end);
/// The run is gone without a reported end.
void OnLost(Context& context, const FleetWorker& worker, const RunName& name);
/// Whether the answer to the poll would list the run if it existed.
bool MustBeListed(Context& context, const RunName& name,
                  const WorkerPolled& poll);

/// Stops all members of a running gang so that it restarts.
void BreakGang(Context& context, Submission& submission, std::uint32_t step);

}  // namespace basilspread::internal::submission_progress

#endif  // BASILSPREAD_CORE_INTERNAL_SUBMISSION_PROGRESS_H_
