#ifndef BASILSPREAD_CORE_INTERNAL_REPORT_JOBS_H_
#define BASILSPREAD_CORE_INTERNAL_REPORT_JOBS_H_

#include "basilspread/core/report.h"
#include "internal/context.h"

namespace basilspread::internal::report {

/// The workers of the owned shards with what is reserved and free there.
ReportSection DescribeWorkers(const Context& context);

/// The jobs at home in the owned shards that have not ended, with the reason
/// why a waiting one waits.
ReportSection DescribeJobs(const Context& context);

}  // namespace basilspread::internal::report

#endif  // BASILSPREAD_CORE_INTERNAL_REPORT_JOBS_H_
