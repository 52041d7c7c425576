#ifndef BASILSPREAD_CORE_INTERNAL_STEP_PLACEMENT_H_
#define BASILSPREAD_CORE_INTERNAL_STEP_PLACEMENT_H_

#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// Which worker runs which task, in the order of the least slack. A pass looks
/// only at submissions for which something has changed.
namespace basilspread::internal::step_placement {

/// Has what is due looked at soon.
void Request(Context& context);
/// Has the next pass look at the submission.
void Wake(Context& context, Submission& submission);
/// The worker may have room for more: wakes those that may run there.
void OnCapacityFreed(Context& context, FleetWorker& worker);
/// An advisor's line has become shorter: wakes some of those that would ask.
void OnLineFree(Context& context);
void OnTimer(Context& context);

}  // namespace basilspread::internal::step_placement

#endif  // BASILSPREAD_CORE_INTERNAL_STEP_PLACEMENT_H_
