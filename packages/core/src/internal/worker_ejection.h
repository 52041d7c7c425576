#ifndef BASILSPREAD_CORE_INTERNAL_WORKER_EJECTION_H_
#define BASILSPREAD_CORE_INTERNAL_WORKER_EJECTION_H_

#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// Which workers are left out for a while. Answers workers that fail, hang or
/// refuse what they are given while they say that they are well.
namespace basilspread::internal::worker_ejection {

void OnSuccess(FleetWorker& worker);
/// A run of the submission has failed there.
void OnFailure(Context& context, FleetWorker& worker,
               const SubmissionId& submission);
void OnStartRefused(Context& context, FleetWorker& worker);
/// A run there has made no progress for too long.
void OnStuck(Context& context, FleetWorker& worker);

/// Whether a task may be started there now, as far as trust goes. A worker
/// that was left out gets one run at a time until one succeeds.
bool AllowsStart(const Context& context, const FleetWorker& worker);

}  // namespace basilspread::internal::worker_ejection

#endif  // BASILSPREAD_CORE_INTERNAL_WORKER_EJECTION_H_
