#ifndef BASILSPREAD_CORE_INTERNAL_JOB_CALLS_H_
#define BASILSPREAD_CORE_INTERNAL_JOB_CALLS_H_

#include "internal/context.h"
#include "internal/jobs.h"

namespace basilspread::internal::jobs {

/// Answers the callers of this process whose deadline has passed.
void ExpireCallers(Context& context);

}  // namespace basilspread::internal::jobs

#endif  // BASILSPREAD_CORE_INTERNAL_JOB_CALLS_H_
