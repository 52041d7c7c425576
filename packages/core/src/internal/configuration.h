#ifndef BASILSPREAD_CORE_INTERNAL_CONFIGURATION_H_
#define BASILSPREAD_CORE_INTERNAL_CONFIGURATION_H_

#include "basilspread/core/ids.h"
#include "basilspread/core/record.h"
#include "basilspread/core/report.h"
#include "internal/context.h"

namespace basilspread::internal::configuration {

void Start(Context& context);
void OnTimer(Context& context);

/// To be called before the records of a read of the tables stream.
void OnReadBegins(Context& context, Offset from, Offset first_kept);
void OnTablesRecord(Context& context, Offset offset,
                    const TablesRecord& record);
void OnCheckpoint(Context& context, const TablesCheckpointRecord& record);
/// To be called after the records of a read were applied; `next` is the offset
/// after the last of them.
void OnReadEnds(Context& context, Offset next, bool at_end);

/// Whether requests may be accepted: the stream has been read to its end and
/// tables are in force.
bool IsReady(const Context& context);

/// Reports the version in force, the newest accepted version, and the reason
/// when they differ.
ReportSection Describe(const Context& context);

}  // namespace basilspread::internal::configuration

#endif  // BASILSPREAD_CORE_INTERNAL_CONFIGURATION_H_
