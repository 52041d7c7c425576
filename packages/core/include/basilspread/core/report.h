#ifndef BASILSPREAD_CORE_REPORT_H_
#define BASILSPREAD_CORE_REPORT_H_

#include <string>
#include <utility>
#include <vector>

namespace basilspread {

/// One row of a report: pairs of column name and value, in display order.
using ReportRow = std::vector<std::pair<std::string, std::string>>;

/// A titled table of a state dump.
struct ReportSection {
  std::string title;
  std::vector<ReportRow> rows;
};

/// Dump of a process's state for an operator.
using StateReport = std::vector<ReportSection>;

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_REPORT_H_
