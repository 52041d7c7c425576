#ifndef BASILSPREAD_CONFIG_TABLE_DIFF_H_
#define BASILSPREAD_CONFIG_TABLE_DIFF_H_

#include <string>
#include <vector>

#include "basilspread/core/record.h"

namespace basilspread::config {

/// A difference between two versions of the tables in one key or section.
struct TableDifference {
  /// "routes" or "pools".
  std::string table;
  std::string section;
  /// Empty when the whole section was added or removed.
  std::string key;
  /// Value in the earlier version; empty when only the later one has the key.
  std::string before;
  /// Value in the later version; empty when only the earlier one has the key.
  std::string after;
};

/// Returns the differences from `before` to `after`, ordered by table, section
/// name and key. Comments and the order of lines are ignored.
std::vector<TableDifference> DiffTables(const TablesRecord& before,
                                        const TablesRecord& after);

}  // namespace basilspread::config

#endif  // BASILSPREAD_CONFIG_TABLE_DIFF_H_
