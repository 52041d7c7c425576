#ifndef BASILSPREAD_CORE_INTERNAL_STEP_PLACEMENT_H_
#define BASILSPREAD_CORE_INTERNAL_STEP_PLACEMENT_H_

#include <cstdint>
#include <vector>

#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// Which worker runs which task, in the order of the least slack.
namespace basilspread::internal::step_placement {

/// Has the queue looked at soon.
void Request(Context& context);
void OnTimer(Context& context);

/// Whether some known worker could hold a task of each step, if it were idle.
bool CanEverFit(const Context& context, const SubmissionSpec& spec,
                const PoolName& pool);

}  // namespace basilspread::internal::step_placement

#endif  // BASILSPREAD_CORE_INTERNAL_STEP_PLACEMENT_H_
