#ifndef BASILSPREAD_CORE_INTERNAL_STEP_PLACEMENT_H_
#define BASILSPREAD_CORE_INTERNAL_STEP_PLACEMENT_H_

#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// Places tasks on workers, the submissions with the least slack first. A pass
/// considers only submissions for which something has changed.
namespace basilspread::internal::step_placement {

/// Schedules a placement pass.
void Request(Context& context);
/// Makes the next pass consider the submission.
void Wake(Context& context, Submission& submission);
/// The next passes consider all submissions.
void WakeAll(Context& context);
/// Wakes the submissions that may run on the worker, which may have more free
/// capacity now.
void OnCapacityFreed(Context& context, FleetWorker& worker);
/// Wakes some of the submissions that wait to query the advisor.
void OnAskerAvailable(Context& context);
void OnTimer(Context& context);

}  // namespace basilspread::internal::step_placement

#endif  // BASILSPREAD_CORE_INTERNAL_STEP_PLACEMENT_H_
