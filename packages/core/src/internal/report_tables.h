#ifndef BASILSPREAD_CORE_INTERNAL_REPORT_TABLES_H_
#define BASILSPREAD_CORE_INTERNAL_REPORT_TABLES_H_

#include "basilspread/core/report.h"
#include "internal/context.h"

/// Report sections for the tables in force, including draining rows.
namespace basilspread::internal::report {

ReportSection DescribeRoutes(const Context& context);
ReportSection DescribePools(const Context& context);
ReportSection DescribeQuotas(const Context& context);

}  // namespace basilspread::internal::report

#endif  // BASILSPREAD_CORE_INTERNAL_REPORT_TABLES_H_
