#ifndef BASILSPREAD_CORE_INTERNAL_CONFIGURATION_H_
#define BASILSPREAD_CORE_INTERNAL_CONFIGURATION_H_

#include "basilspread/core/ids.h"
#include "basilspread/core/record.h"
#include "basilspread/core/report.h"
#include "internal/context.h"

namespace basilspread::internal::configuration {

void Start(Context& context);
void OnTimer(Context& context);

/// A read of the tables stream begins to be applied.
void OnReadBegins(Context& context, Offset from, Offset first_kept);
void OnTablesRecord(Context& context, Offset offset,
                    const TablesRecord& record);
void OnCheckpoint(Context& context, const TablesCheckpointRecord& record);
/// A read of the tables stream was applied up to `next`.
void OnReadEnds(Context& context, Offset next, bool at_end);

/// Whether requests may be taken: the tables in force are surely known.
bool IsReady(const Context& context);

/// What is in force, and why when the newest version is not.
ReportSection Describe(const Context& context);

}  // namespace basilspread::internal::configuration

#endif  // BASILSPREAD_CORE_INTERNAL_CONFIGURATION_H_
