#ifndef BASILSPREAD_CORE_RUN_TIMES_MOVING_AVERAGE_H_
#define BASILSPREAD_CORE_RUN_TIMES_MOVING_AVERAGE_H_

#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// Estimates for deployments without learned run times: the caller's estimate,
/// corrected by the measured ratio of tasks with the same route and image.
namespace basilspread::internal::moving_average {

Duration Expected(const Context& context, const Submission& submission,
                  std::uint32_t step);

void RecordRun(Context& context, const Submission& submission,
               std::uint32_t step, Duration run_time);

}  // namespace basilspread::internal::moving_average

#endif  // BASILSPREAD_CORE_RUN_TIMES_MOVING_AVERAGE_H_
