#ifndef BASILSPREAD_CONFIG_TABLES_H_
#define BASILSPREAD_CONFIG_TABLES_H_

#include <string>

#include "basilspread/core/record.h"
#include "basilspread/core/result.h"
#include "basilspread/core/tables.h"

namespace basilspread::config {

/// File names of the two tables in error messages.
struct TableFileNames {
  std::string routes = "routes.ini";
  std::string pools = "pools.ini";
};

/// Parses and checks both tables of an edit. The version is left at 0.
/// Errors: kInvalidTables with all errors, one per line.
Result<Tables> ParseTables(const TablesRecord& record);

/// As ParseTables, with the given file names in error messages.
Result<Tables> ParseTableFiles(const TablesRecord& record,
                               const TableFileNames& names);

}  // namespace basilspread::config

#endif  // BASILSPREAD_CONFIG_TABLES_H_
