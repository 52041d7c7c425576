#ifndef BASILSPREAD_CONFIG_TABLE_DIFF_H_
#define BASILSPREAD_CONFIG_TABLE_DIFF_H_

#include <string>
#include <vector>

#include "basilspread/core/record.h"

namespace basilspread::config {

/// One key that two versions of the tables state differently.
struct TableDifference {
  /// "routes" or "pools".
  std::string table;
  std::string section;
  /// Empty when the whole section was added or removed.
  std::string key;
  /// Empty when only the later version has it.
  std::string before;
  /// Empty when only the earlier version has it.
  std::string after;
};

/// What changes from `before` to `after`, in the order of the sections.
/// Comments and the order of lines do not count.
std::vector<TableDifference> DiffTables(const TablesRecord& before,
                                        const TablesRecord& after);

}  // namespace basilspread::config

#endif  // BASILSPREAD_CONFIG_TABLE_DIFF_H_
