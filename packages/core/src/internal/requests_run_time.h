#ifndef BASILSPREAD_CORE_INTERNAL_REQUESTS_RUN_TIME_H_
#define BASILSPREAD_CORE_INTERNAL_REQUESTS_RUN_TIME_H_

#include "basilspread/core/tables.h"
#include "internal/context.h"

namespace basilspread::internal::requests {

/// Mean of the measured run times of the route; the configured run time before
/// the first measurement.
Duration ExpectedRunTime(const Context& context, const Route& route);

/// A low estimate of the run time, which most requests of the route exceed, for
/// decisions for which the mean would be too strict. Zero while no request of
/// the route runs, so that the next request is admitted and corrects a wrong
/// estimate.
Duration OptimisticRunTime(const Context& context, const Route& route);

/// Updates the averages with one measured run.
void RecordRunTime(Context& context, const RouteName& route, Duration run_time);

}  // namespace basilspread::internal::requests

#endif  // BASILSPREAD_CORE_INTERNAL_REQUESTS_RUN_TIME_H_
