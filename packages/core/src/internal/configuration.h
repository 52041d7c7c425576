#ifndef BASILSPREAD_CORE_INTERNAL_CONFIGURATION_H_
#define BASILSPREAD_CORE_INTERNAL_CONFIGURATION_H_

#include "basilspread/core/ids.h"
#include "basilspread/core/record.h"
#include "internal/context.h"

namespace basilspread::internal::configuration {

/// The stream that operators publish tables on.
StreamName TablesStream();

void OnTablesRecord(Context& context, const TablesRecord& record);

/// Whether requests may be taken: some tables are in force.
bool IsReady(const Context& context);

}  // namespace basilspread::internal::configuration

#endif  // BASILSPREAD_CORE_INTERNAL_CONFIGURATION_H_
