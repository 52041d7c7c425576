#ifndef BASILSPREAD_CONFIG_TABLES_H_
#define BASILSPREAD_CONFIG_TABLES_H_

#include "basilspread/core/record.h"
#include "basilspread/core/result.h"
#include "basilspread/core/tables.h"

namespace basilspread::config {

/// Parses both tables of an edit. The version is left at 0.
/// Errors: kInvalidTables with every fault, one a line.
Result<Tables> ParseTables(const TablesRecord& record);

}  // namespace basilspread::config

#endif  // BASILSPREAD_CONFIG_TABLES_H_
