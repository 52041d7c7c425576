#ifndef BASILSPREAD_CORE_INTERNAL_REQUESTS_RUN_TIME_H_
#define BASILSPREAD_CORE_INTERNAL_REQUESTS_RUN_TIME_H_

#include "basilspread/core/tables.h"
#include "internal/context.h"

namespace basilspread::internal::requests {

/// The learned mean run time of the route, or the declared one before any.
Duration ExpectedRunTime(const Context& context, const Route& route);

/// A run time that most requests of the route exceed, for decisions that a
/// mean would make too strict. Zero while nothing of the route runs, so that
/// a wrong estimate is corrected by the next request.
Duration OptimisticRunTime(const Context& context, const Route& route);

/// Learns from one measured run.
void RecordRunTime(Context& context, const RouteName& route, Duration run_time);

}  // namespace basilspread::internal::requests

#endif  // BASILSPREAD_CORE_INTERNAL_REQUESTS_RUN_TIME_H_
