#ifndef BASILSPREAD_CORE_INTERNAL_WORKER_EJECTION_H_
#define BASILSPREAD_CORE_INTERNAL_WORKER_EJECTION_H_

#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// Temporary ejection of workers that fail, hang or refuse runs although they
/// report that they are healthy.
namespace basilspread::internal::worker_ejection {

void OnSuccess(FleetWorker& worker);
/// A run of the submission has failed there.
void OnFailure(Context& context, FleetWorker& worker,
               const SubmissionId& submission);
void OnStartRefused(Context& context, FleetWorker& worker);
/// A run there has made no progress for too long.
void OnStuck(Context& context, FleetWorker& worker);

/// Whether the worker is not ejected and may get another run. After an ejection
/// it gets one run at a time until one succeeds.
bool AllowsStart(const Context& context, const FleetWorker& worker);

}  // namespace basilspread::internal::worker_ejection

#endif  // BASILSPREAD_CORE_INTERNAL_WORKER_EJECTION_H_
