#ifndef BASILSPREAD_CORE_INTERNAL_REPORT_H_
#define BASILSPREAD_CORE_INTERNAL_REPORT_H_

#include "basilspread/core/report.h"
#include "internal/context.h"

namespace basilspread::internal::report {

/// Builds the report of the complete state for an operator.
StateReport Describe(const Context& context);

}  // namespace basilspread::internal::report

#endif  // BASILSPREAD_CORE_INTERNAL_REPORT_H_
