#ifndef BASILSPREAD_CONFIG_TABLES_H_
#define BASILSPREAD_CONFIG_TABLES_H_

#include <string>

#include "basilspread/core/record.h"
#include "basilspread/core/result.h"
#include "basilspread/core/tables.h"

namespace basilspread::config {

/// What the faults of the two tables call their files.
struct TableFileNames {
  std::string routes = "routes.ini";
  std::string pools = "pools.ini";
};

/// Parses both tables of an edit. The version is left at 0.
/// Errors: kInvalidTables with every fault, one a line.
Result<Tables> ParseTables(const TablesRecord& record);

/// The same for tables that stand in files of these names.
Result<Tables> ParseTableFiles(const TablesRecord& record,
                               const TableFileNames& names);

}  // namespace basilspread::config

#endif  // BASILSPREAD_CONFIG_TABLES_H_
