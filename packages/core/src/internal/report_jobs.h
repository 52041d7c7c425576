#ifndef BASILSPREAD_CORE_INTERNAL_REPORT_JOBS_H_
#define BASILSPREAD_CORE_INTERNAL_REPORT_JOBS_H_

#include "basilspread/core/report.h"
#include "internal/context.h"

namespace basilspread::internal::report {

/// The workers of the owned shards with their reserved and free resources.
ReportSection DescribeWorkers(const Context& context);

/// The jobs whose home is an owned shard and that have not ended, with the
/// reason why a waiting job waits.
ReportSection DescribeJobs(const Context& context);

}  // namespace basilspread::internal::report

#endif  // BASILSPREAD_CORE_INTERNAL_REPORT_JOBS_H_
